"""The old process of a hot restart as a state machine: events with a clock in, actions out. No I/O.

    SERVING    --hello-->               OFFERED      the state is copied while it serves
    OFFERED    --ready-->               COMMITTED    from here on the new process decides, on probation
    OFFERED    --anything else-->       SERVING      nothing has happened
    COMMITTED  --probation passed-->    DRAINING     the new process is released; we exit with our requests
    COMMITTED  --degraded-->            RECLAIMING   it is asked to return everything
    COMMITTED  --no heartbeat-->        FENCING      it is killed
    COMMITTED, RECLAIMING --stopped-->  RETURNED     we serve again; it answers what it still has in progress
    any of these --channel closed-->    SERVING

The channel is the fence. A new process that serves never closes its end before it has stopped, and the kernel
closes the end of a process that died. So a closed channel, or ``ServingStopped``, proves that nobody else
serves; until then we don't, whatever time has passed, and a process that hangs is killed first. Our own end
is closed only after ``Abort`` or by our death, so that the new process can tell the two apart.
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

    copy_us: int = 60_000_000  # of the state, and the self-check
    start_us: int = 2_000_000  # from the handover to ``Started``
    heartbeat_us: int = 1_500_000  # between two heartbeats: without one the new process hangs
    max_tick_delay_us: int = 250_000  # a timer that is later says that this process stood still
    probation_us: int = 5_000_000
    reclaim_us: int = 1_000_000  # to stop serving
    drain_us: int = 15_000_000  # to answer what is in progress after that


# Events


class HelloReceived(NamedTuple):
    """A process asks to take over, on a channel of its own."""

    channel: int
    hello: Hello


class ReadyReceived(NamedTuple):
    """The new process has the copied state and passed its self-check."""

    channel: int


class StartedReceived(NamedTuple):
    """The new process serves."""

    channel: int


class HeartbeatReceived(NamedTuple):
    """Answers of the new process in probation, and of this one before the handover."""

    channel: int
    responses: ResponseCounts
    baseline: ResponseCounts


class FailureDetected(NamedTuple):
    """The new process gives up, or sent something invalid."""

    channel: int
    reason: str


class ServingStoppedReceived(NamedTuple):
    """The new process has stopped serving, and returned its idle clients."""

    channel: int


class ChannelClosed(NamedTuple):
    """The new process's end of the channel is closed: it is dead or does not serve."""

    channel: int


class TimerFired(NamedTuple):
    """A timer set by ``SetTimer`` has fired."""


class Drained(NamedTuple):
    """The last request is answered, and the clients are gone or handed over."""


class StopRequested(NamedTuple):
    """The process is asked to exit (SIGTERM)."""


# Actions


class SendOffer(NamedTuple):
    """Accept the handshake, pass the sockets, and copy the state."""

    channel: int


class Reject(NamedTuple):
    """Send ``Abort`` with the reason and close the channel; drop the copy."""

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
    """Serve again: nobody else does. Idle clients are ours again."""

    reason: str


class AnswerOrphanedClients(NamedTuple):
    """The new process is gone: close the channel, and answer the clients that it owed an answer."""

    channel: int


class Release(NamedTuple):
    """Send ``Release``, and close the retained connections."""

    channel: int


class Exit(NamedTuple):
    """Nothing is left to do here."""


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
OrderedEvent = ReadyReceived | StartedReceived | HeartbeatReceived
EVENT_NAMES: dict[type, str] = {
    ReadyReceived: "ready",
    StartedReceived: "started",
    HeartbeatReceived: "heartbeat",
}


@dataclass
class OldProcess:
    """One gateway that may be upgraded; feed events, carry out the actions in their order."""

    identity: GatewayIdentity
    timeouts: Timeouts = field(default_factory=Timeouts)
    phase: Phase = Phase.SERVING
    channel: int | None = None
    deadline_us: int = 0  # of the current step
    probation_ends_us: int = 0  # 0 until the new process has started
    last_outcome: str = "none"  # of the latest upgrade
    actions: list[Action] = field(default_factory=list)

    def handle(self, now: int, event: Event) -> list[Action]:
        """Return the actions for one event; events of other channels are ignored."""
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

    # -- until the handover

    def _hand_over(self, now: int, event: ReadyReceived) -> None:
        self.phase = Phase.COMMITTED
        self.probation_ends_us = 0
        self.actions.append(HandOver(event.channel))
        self._set_deadline(now, self.timeouts.start_us)

    def _abandon(self, _now: int, event: FailureDetected) -> None:
        self._return_to_serving(f"abandoned: {event.reason}")
        self.actions.append(Reject(event.channel, event.reason))

    def _abandon_disconnected(self, now: int, event: ChannelClosed) -> None:
        self._abandon(now, FailureDetected(event.channel, "its process ended"))

    def _check_copy_deadline(self, now: int, _event: TimerFired) -> None:
        if now < self.deadline_us:
            return
        assert self.channel is not None
        self.actions.append(Reject(self.channel, "it took too long"))
        self._return_to_serving("abandoned: it took too long")

    def _withdraw_offer(self, _now: int, _event: StopRequested) -> None:
        assert self.channel is not None
        self.actions.append(Reject(self.channel, "the gateway is asked to end"))
        self._return_to_serving("abandoned: the gateway was asked to end")

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
        """Fence at the deadline. A late timer says that we stood still: received messages may wait."""
        if now > self.deadline_us + self.timeouts.max_tick_delay_us:
            self._set_deadline(now, self.timeouts.heartbeat_us)
        elif now >= self.deadline_us:
            self._fence("it hangs")

    def _fence_failed(self, _now: int, event: FailureDetected) -> None:
        """It failed and still has everything, or sends garbage: it is not asked to return anything."""
        self._fence(event.reason)

    def _reject_out_of_order(self, event: OrderedEvent) -> None:
        """A message out of order is treated like garbage."""
        reason = f"{EVENT_NAMES[type(event)]} while {self.phase.value}"
        if self.phase is Phase.OFFERED:
            self._abandon(0, FailureDetected(event.channel, reason))
        elif self.phase is Phase.COMMITTED:
            self._fence(reason)

    def _fence(self, reason: str) -> None:
        assert self.channel is not None
        self.phase = Phase.FENCING
        self.last_outcome = f"ended by force: {reason}"
        self.actions.append(KillNewProcess(self.channel))

    # -- reclaim, exit

    def _reclaim(self, _now: int, event: ChannelClosed) -> None:
        if self.phase is Phase.COMMITTED:
            self.last_outcome = "taken back: its process ended"
        self._return_to_serving(self.last_outcome)
        self.actions.append(ResumeServing(self.last_outcome))
        self.actions.append(AnswerOrphanedClients(event.channel))

    def _resume_while_draining(self, now: int, _event: ServingStoppedReceived) -> None:
        if self.phase is Phase.COMMITTED:
            self.last_outcome = "given back: it was asked to end"
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
        """SIGTERM in probation: the new process goes on without the rest of it."""
        self._release("let go early: the old one was asked to end")

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
