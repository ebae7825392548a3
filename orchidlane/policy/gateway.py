"""The entry points of ``orchidlane/policy/``: takes timestamped events and returns actions.

The states of a request: arrived -> admitted by its quota -> sent to the endpoint with the lowest expected
cost -> outcome -> possibly a retry -> exactly one final response. Quotas are grow-only counters that are
spread by gossip; see docs/design.md. Each module handles one concern, as functions on a shared
``PolicyState``.
"""

from __future__ import annotations

from orchidlane.policy import admission, endpoint_registry, gossip, retries, token_owner
from orchidlane.policy.actions import Action, SetTimer, WatchEndpoints
from orchidlane.policy.constants import GOSSIP_ROUND_TIMER, REPLY_TIMEOUT_TIMER, REQUEST_TIMER_OFFSET
from orchidlane.policy.events import (
    AttemptFinished,
    ClientDisconnected,
    CountRecovered,
    EndpointListReceived,
    Event,
    PeerMessageReceived,
    QuotaRequested,
    ReplicaSetChanged,
    RequestArrived,
    TimerFired,
)
from orchidlane.policy.state import PolicyState


class Gateway(PolicyState):
    """The policy of one gateway. Call ``handle`` for each event, and carry out the actions in their order."""

    def start(self) -> list[Action]:
        """Return the actions to carry out once the gateway has started."""
        actions: list[Action] = [SetTimer(gossip.GOSSIP_INTERVAL_US, GOSSIP_ROUND_TIMER)]
        if self.settings.polls_endpoint_list:
            actions.append(WatchEndpoints())
        return actions

    def handle(self, now: int, event: Event) -> list[Action]:
        """Handle one event at clock time ``now`` in microseconds; return the actions.

        Event types without a case below need no action.
        """
        self.now = now
        self.actions = []
        match event:
            case RequestArrived():
                retries.request_arrived(self, event)
            case AttemptFinished():
                retries.attempt_finished(self, event)
            case PeerMessageReceived():
                gossip.peer_message_received(self, event)
            case TimerFired():
                self._timer_fired(event.token)
            case QuotaRequested():
                admission.quota_requested(self, event)
            case ClientDisconnected():
                retries.client_disconnected(self, event)
            case EndpointListReceived():
                endpoint_registry.endpoint_list_received(self, event)
            case CountRecovered():
                admission.count_recovered(self, event)
            case ReplicaSetChanged():
                admission.replica_set_changed(self, event)
        return self.actions

    def _timer_fired(self, token: int) -> None:
        if token == GOSSIP_ROUND_TIMER:
            gossip.gossip_round(self)
        elif token == REPLY_TIMEOUT_TIMER:
            token_owner.reply_timeout_fired(self)
        else:
            retries.held_request_timer_fired(self, token - REQUEST_TIMER_OFFSET)
