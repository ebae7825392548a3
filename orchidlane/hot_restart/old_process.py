"""The old process of a hot restart as a state machine: events with a clock in, actions out. No I/O.

    SERVING    --hello-->               OFFERED      the state is copied while the old process serves
    OFFERED    --ready-->               COMMITTED    from here on the new process decides, on probation
    OFFERED    --anything else-->       SERVING      the hot restart is abandoned without any effect
    COMMITTED  --probation passed-->    DRAINING     the new process is released; the old one finishes its
                                                     requests and exits
    COMMITTED  --degraded-->            RECLAIMING   the new process is requested to return everything
    COMMITTED  --no heartbeat-->        FENCING      the new process is killed
    COMMITTED, RECLAIMING --stopped-->  RETURNED     the old process serves again; the new one finishes its
                                                     requests
    any of these --channel closed-->    SERVING

The channel is the fence. A new process that serves never closes its end before it has stopped serving, and
the kernel closes the end of a process that died. So a closed channel, or ``ServingStopped``, proves that the
new process does not serve. Until then the old process does not serve either, however much time has passed; a
new process that hangs is killed first. The old process's end is closed only after ``Abort`` or by its death,
so that the new process can distinguish the two.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum
from typing import Any, NamedTuple

from orchidlane.hot_restart.handshake import GatewayIdentity, rejection_reason
from orchidlane.hot_restart.messages import Hello
from orchidlane.hot_restart.probation import ResponseCounts, degradation_reason


class Phase(Enum):
    """Phase of the old process; the values are logged and sent in ``Status``."""

    SERVING = "serving"
    OFFERED = "offered"
    COMMITTED = "committed"
    RECLAIMING = "recalling"
    RETURNED = "returned"
    FENCING = "fencing"
    DRAINING = "parting"
    ENDED = "ended"


class Timeouts(NamedTuple):
    """How long each step may take, in microseconds."""

    copy_us: int = 60_000_000  # the copy of the state and the self-check together
    start_us: int = 2_000_000  # from the handover to ``Started``
    heartbeat_us: int = 1_500_000  # between two heartbeats; after that the new process counts as hanging
    max_tick_delay_us: int = 250_000  # a timer that fires later than this shows that this process was stalled
    probation_us: int = 5_000_000
    reclaim_us: int = 1_000_000  # from ``Reclaim`` until the new process has stopped serving
    drain_us: int = 15_000_000  # after that, for the new process to finish its requests


# Events


class HelloReceived(NamedTuple):
    """A process requests a hot restart, on a channel of its own."""

    channel: int
    hello: Hello


class ReadyReceived(NamedTuple):
    """The new process has the copied state and passed its self-check."""

    channel: int


class StartedReceived(NamedTuple):
    """The new process has started to serve."""

    channel: int


class HeartbeatReceived(NamedTuple):
    """Responses of the new process in probation, and of this one before the handover."""

    channel: int
    responses: ResponseCounts
    baseline: ResponseCounts


class FailureDetected(NamedTuple):
    """The new process reported a failure, or sent something invalid."""

    channel: int
    reason: str


class ServingStoppedReceived(NamedTuple):
    """The new process has stopped serving, and returned its idle clients."""

    channel: int


class ChannelClosed(NamedTuple):
    """The new process's end of the channel is closed: the process is dead or does not serve."""

    channel: int


class TimerFired(NamedTuple):
    """A timer set by ``SetTimer`` has fired."""


class Drained(NamedTuple):
    """The last request is finished, and every client is disconnected or handed over."""


class StopRequested(NamedTuple):
    """The process is requested to exit (SIGTERM)."""


# Actions


class SendOffer(NamedTuple):
    """Accept the handshake, pass the sockets, and copy the state."""

    channel: int


class Reject(NamedTuple):
    """Send ``Abort`` with the reason, close the channel, and cancel the copy of the state."""

    channel: int
    reason: str


class HandOver(NamedTuple):
    """Stop serving, send the final state, and hand clients over as they become idle."""

    channel: int


class SendReclaim(NamedTuple):
    """Send ``Reclaim``."""

    channel: int
    reason: str


class KillNewProcess(NamedTuple):
    """Kill the process at the other end of the channel."""

    channel: int


class ResumeServing(NamedTuple):
    """Serve again, since no other process does. Idle clients belong to this process again."""

    reason: str


class AnswerOrphanedClients(NamedTuple):
    """The new process is dead: close the channel, and respond to clients that still wait for its response."""

    channel: int


class Release(NamedTuple):
    """Send ``Release``, and close the retained descriptors of handed-over connections."""

    channel: int


class Exit(NamedTuple):
    """Exit this process: it has nothing left to do."""


class SetTimer(NamedTuple):
    """Send ``TimerFired`` after a delay in microseconds."""

    delay_us: int


Event = (
    HelloReceived
    | ReadyReceived
    | StartedReceived
    | HeartbeatReceived
    | FailureDetected
    | ServingStoppedReceived
    | ChannelClosed
    | TimerFired
    | Drained
    | StopRequested
)
Action = (
    SendOffer
    | Reject
    | HandOver
    | SendReclaim
    | KillNewProcess
    | ResumeServing
    | AnswerOrphanedClients
    | Release
    | Exit
    | SetTimer
)
OrderedEvent = ReadyReceived | StartedReceived | HeartbeatReceived  # each is valid in certain phases only
ORDERED_EVENT_NAMES: dict[type, str] = {
    ReadyReceived: "ready",
    StartedReceived: "started",
    HeartbeatReceived: "heartbeat",
}


@dataclass
class OldProcess:
    """The running process of a gateway: feed it events, carry out the actions in their order."""

    identity: GatewayIdentity
    timeouts: Timeouts = field(default_factory=Timeouts)
    phase: Phase = Phase.SERVING
    channel: int | None = None  # of the new process, None if there is none
    deadline_us: int = 0  # of the current step
    probation_ends_us: int = 0  # 0 until the new process has started to serve
    last_outcome: str = "none"  # of the latest hot restart
    actions: list[Action] = field(default_factory=list)

    def handle(self, now: int, event: Event) -> list[Action]:
        """Return the actions for one event; events of other channels are ignored.

        ``now`` is the clock in microseconds.
        """
        self.actions = []
        match event:
            case HelloReceived():
                self._receive_hello(now, event)
            case TimerFired() | Drained() | StopRequested():
                self._dispatch(now, event)
            case _ if event.channel == self.channel:
                self._dispatch(now, event)
        return self.actions

    def _dispatch(self, now: int, event: Event) -> None:
        handler = TRANSITIONS.get((self.phase, type(event)))
        if handler is not None:
            handler(self, now, event)
        elif self.channel is not None and isinstance(event, OrderedEvent):
            self._reject_out_of_order(event)

    # -- handshake

    def _receive_hello(self, now: int, event: HelloReceived) -> None:
        in_progress = None if self.phase is Phase.SERVING else self.phase.value
        reason = rejection_reason(event.hello, self.identity, in_progress)
        if reason is not None:
            self.actions.append(Reject(event.channel, reason))
            return
        self.phase = Phase.OFFERED
        self.channel = event.channel
        self.actions.append(SendOffer(self.channel))
        self._set_deadline(now, self.timeouts.copy_us)

    def _set_deadline(self, now: int, delay_us: int) -> None:
        self.deadline_us = now + delay_us
        self.actions.append(SetTimer(delay_us))

    # -- before the handover

    def _hand_over(self, now: int, event: ReadyReceived) -> None:
        self.phase = Phase.COMMITTED
        self.probation_ends_us = 0
        self.actions.append(HandOver(event.channel))
        self._set_deadline(now, self.timeouts.start_us)

    def _abandon(self, _now: int, event: FailureDetected) -> None:
        self._return_to_serving(f"abandoned: {event.reason}")
        self.actions.append(Reject(event.channel, event.reason))

    def _abandon_disconnected(self, now: int, event: ChannelClosed) -> None:
        self._abandon(now, FailureDetected(event.channel, "the new process exited"))

    def _check_copy_deadline(self, now: int, _event: TimerFired) -> None:
        if now < self.deadline_us:
            return
        assert self.channel is not None
        self.actions.append(Reject(self.channel, "the copy or the self-check took too long"))
        self._return_to_serving("abandoned: the copy or the self-check took too long")

    def _withdraw_offer(self, _now: int, _event: StopRequested) -> None:
        assert self.channel is not None
        self.actions.append(Reject(self.channel, "the old process was requested to exit"))
        self._return_to_serving("abandoned: the old process was requested to exit")

    def _return_to_serving(self, outcome: str) -> None:
        self.phase = Phase.SERVING
        self.channel = None
        self.last_outcome = outcome

    # -- probation

    def _start_probation(self, now: int, _event: StartedReceived) -> None:
        if not self.probation_ends_us:
            self.probation_ends_us = now + self.timeouts.probation_us
            self._set_deadline(now, self.timeouts.heartbeat_us)

    def _receive_heartbeat(self, now: int, event: HeartbeatReceived) -> None:
        if not self.probation_ends_us:
            return self._reject_out_of_order(event)
        reason = degradation_reason(event.baseline, event.responses)
        if reason is not None:
            self.phase = Phase.RECLAIMING
            self.last_outcome = f"recalled: {reason}"
            self.actions.append(SendReclaim(event.channel, reason))
            return self._set_deadline(now, self.timeouts.reclaim_us)
        if now >= self.probation_ends_us:
            return self._release("passed")
        return self._set_deadline(now, self.timeouts.heartbeat_us)

    def _check_heartbeat_deadline(self, now: int, _event: TimerFired) -> None:
        """Kill the new process at the deadline.

        A late timer shows that this process was stalled: heartbeats may have arrived that it has not yet
        read, so the deadline is extended.
        """
        if now > self.deadline_us + self.timeouts.max_tick_delay_us:
            self._set_deadline(now, self.timeouts.heartbeat_us)
        elif now >= self.deadline_us:
            self._fence("the new process did not report in time")

    def _fence_failed(self, _now: int, event: FailureDetected) -> None:
        """Kill a new process that failed while it has all clients, or that sent something invalid.

        It is not requested to return anything.
        """
        self._fence(event.reason)

    def _reject_out_of_order(self, event: OrderedEvent) -> None:
        """Treat a message out of order like an invalid one."""
        reason = f"{ORDERED_EVENT_NAMES[type(event)]} message out of order in phase {self.phase.value}"
        if self.phase is Phase.OFFERED:
            self._abandon(0, FailureDetected(event.channel, reason))
        elif self.phase is Phase.COMMITTED:
            self._fence(reason)

    def _fence(self, reason: str) -> None:
        assert self.channel is not None
        self.phase = Phase.FENCING
        self.last_outcome = f"killed: {reason}"
        self.actions.append(KillNewProcess(self.channel))

    # -- reclaim, exit

    def _reclaim(self, _now: int, event: ChannelClosed) -> None:
        if self.phase is Phase.COMMITTED:
            self.last_outcome = "resumed: the new process exited"
        self._return_to_serving(self.last_outcome)
        self.actions.append(ResumeServing(self.last_outcome))
        self.actions.append(AnswerOrphanedClients(event.channel))

    def _resume_while_draining(self, now: int, _event: ServingStoppedReceived) -> None:
        if self.phase is Phase.COMMITTED:
            self.last_outcome = "returned: the new process was requested to exit"
        self.phase = Phase.RETURNED
        self.actions.append(ResumeServing(self.last_outcome))
        self._set_deadline(now, self.timeouts.drain_us)

    def _finish_reclaim(self, _now: int, event: ChannelClosed) -> None:
        self._return_to_serving(self.last_outcome)
        self.actions.append(AnswerOrphanedClients(event.channel))

    def _check_drain_deadline(self, now: int, _event: TimerFired) -> None:
        if now >= self.deadline_us:
            assert self.channel is not None
            self.actions.append(KillNewProcess(self.channel))

    def _finish(self, _now: int, _event: Drained) -> None:
        self.phase = Phase.ENDED
        self.actions.append(Exit())

    def _release_early(self, _now: int, _event: StopRequested) -> None:
        """Release the new process before its probation is over, since this process was requested to exit."""
        self._release("released early: the old process was requested to exit")

    def _release(self, outcome: str) -> None:
        assert self.channel is not None
        self.phase = Phase.DRAINING
        self.last_outcome = outcome
        self.actions.append(Release(self.channel))


Handler = Callable[[OldProcess, int, Any], None]
TRANSITIONS: dict[tuple[Phase, type], Handler] = {
    (Phase.OFFERED, ReadyReceived): OldProcess._hand_over,
    (Phase.OFFERED, FailureDetected): OldProcess._abandon,
    (Phase.OFFERED, ChannelClosed): OldProcess._abandon_disconnected,
    (Phase.OFFERED, TimerFired): OldProcess._check_copy_deadline,
    (Phase.OFFERED, StopRequested): OldProcess._withdraw_offer,
    (Phase.COMMITTED, StartedReceived): OldProcess._start_probation,
    (Phase.COMMITTED, HeartbeatReceived): OldProcess._receive_heartbeat,
    (Phase.COMMITTED, TimerFired): OldProcess._check_heartbeat_deadline,
    (Phase.COMMITTED, FailureDetected): OldProcess._fence_failed,
    (Phase.COMMITTED, ChannelClosed): OldProcess._reclaim,
    (Phase.COMMITTED, StopRequested): OldProcess._release_early,
    (Phase.COMMITTED, ServingStoppedReceived): OldProcess._resume_while_draining,
    (Phase.RECLAIMING, ServingStoppedReceived): OldProcess._resume_while_draining,
    (Phase.RECLAIMING, ChannelClosed): OldProcess._reclaim,
    (Phase.RECLAIMING, TimerFired): OldProcess._check_heartbeat_deadline,
    (Phase.RECLAIMING, FailureDetected): OldProcess._fence_failed,
    (Phase.RETURNED, ChannelClosed): OldProcess._finish_reclaim,
    (Phase.RETURNED, TimerFired): OldProcess._check_drain_deadline,
    (Phase.FENCING, ChannelClosed): OldProcess._reclaim,
    (Phase.DRAINING, Drained): OldProcess._finish,
}
