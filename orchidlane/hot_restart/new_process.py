"""The new process of a hot restart as a state machine: events with a clock in, actions out. No I/O.

    CONNECTING --offer-->          RECEIVING    sockets and rows are received
    RECEIVING  --copy complete-->  CHECKING     the self-check runs
    CHECKING   --passed-->         READY
    READY      --final state-->    PROBATION    it serves, and reports each step before taking it, so that the
                                                old process can recover if this one dies
    PROBATION  --release-->        INDEPENDENT
    PROBATION  --reclaim-->        RETURNING    it has stopped serving; it exits after its last request

The channel is the fence (see ``old_process``): the old process closes its end only when it dies or after
``Abort``. A channel that closes without ``Abort`` therefore means that the old process is dead, and the next
step depends on what was received. Without the sockets the new process exits. With the sockets but before the
handover, it serves alone as after a cold start, since the units spent since the copy are unknown. After the
handover it has the whole state. Before it serves alone it makes sure that the old process is dead.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum
from typing import Any, NamedTuple


class Phase(Enum):
    """Phase of the new process; the values are logged."""

    CONNECTING = "calling"
    RECEIVING = "receiving"
    CHECKING = "checking"
    READY = "warm"
    PROBATION = "trial"
    RETURNING = "returning"
    INDEPENDENT = "free"
    ENDED = "ended"


class Timeouts(NamedTuple):
    """How long each step may take, and the interval of heartbeats, in microseconds."""

    offer_us: int = 5_000_000
    copy_us: int = 60_000_000  # for the copy of the state, and again for the self-check
    handover_us: int = 10_000_000  # from ready to the final state
    heartbeat_interval_us: int = 200_000


# Events


class OfferReceived(NamedTuple):
    """The old process accepted the handshake; sockets and rows follow."""


class CopyCompleteReceived(NamedTuple):
    """All sockets were received, and every row at least once."""


class SelfCheckPassed(NamedTuple):
    """The self-check passed."""


class FailureDetected(NamedTuple):
    """The self-check failed, or the old process sent something invalid."""

    reason: str


class FinalStateReceived(NamedTuple):
    """The handover: the state was built from what was received."""


class ReclaimReceived(NamedTuple):
    """The old process requests all clients back."""

    reason: str


class ReleaseReceived(NamedTuple):
    """Probation has passed."""


class AbortReceived(NamedTuple):
    """The old process aborted the hot restart and continues to serve."""

    reason: str


class ChannelClosed(NamedTuple):
    """The old process's end of the channel is closed."""


class TimerFired(NamedTuple):
    """A timer set by ``SetTimer`` has fired."""


class Drained(NamedTuple):
    """The last request is finished, and every client is disconnected or returned."""


class StopRequested(NamedTuple):
    """The process is requested to exit (SIGTERM)."""


# Actions


class SendHello(NamedTuple):
    """Send ``Hello``."""


class RunSelfCheck(NamedTuple):
    """Check that everything was received and that this build can use it."""


class SendReady(NamedTuple):
    """Send ``Ready``."""


class StartServing(NamedTuple):
    """Serve from the final state, and send ``Started``."""


class SendHeartbeat(NamedTuple):
    """Send ``Heartbeat``."""


class ServeAlone(NamedTuple):
    """Make sure that the old process is dead, then serve from the received state or after a cold start."""

    cold_start: bool


class StopServing(NamedTuple):
    """Accept no more requests, return idle clients, and send ``ServingStopped``.

    The other clients are returned as they become idle.
    """


class EndProbation(NamedTuple):
    """Send no more reports; still respond to the old process's messages until it exits."""


class Exit(NamedTuple):
    """Exit this process; it does not serve."""

    reason: str


class SetTimer(NamedTuple):
    """Send ``TimerFired`` after a delay in microseconds."""

    delay_us: int


Event = (
    OfferReceived
    | CopyCompleteReceived
    | SelfCheckPassed
    | FailureDetected
    | FinalStateReceived
    | ReclaimReceived
    | ReleaseReceived
    | AbortReceived
    | ChannelClosed
    | TimerFired
    | Drained
    | StopRequested
)
Action = (
    SendHello
    | RunSelfCheck
    | SendReady
    | StartServing
    | SendHeartbeat
    | ServeAlone
    | StopServing
    | EndProbation
    | Exit
    | SetTimer
)


@dataclass
class NewProcess:
    """The process that is to replace the old one: feed it events, carry out the actions in their order."""

    timeouts: Timeouts = field(default_factory=Timeouts)
    phase: Phase = Phase.CONNECTING
    deadline_us: int = 0
    actions: list[Action] = field(default_factory=list)

    def start(self, now: int) -> list[Action]:
        """Return the first actions."""
        self.actions = [SendHello()]
        self._set_deadline(now, self.timeouts.offer_us)
        return self.actions

    def handle(self, now: int, event: Event) -> list[Action]:
        """Return the actions for one event; an event without a transition in this phase is ignored.

        ``now`` is the clock in microseconds.
        """
        self.actions = []
        handler = TRANSITIONS.get((self.phase, type(event)))
        if handler is not None:
            handler(self, now, event)
        return self.actions

    def _set_deadline(self, now: int, delay_us: int) -> None:
        self.deadline_us = now + delay_us
        self.actions.append(SetTimer(delay_us))

    # -- before the handover

    def _receive(self, now: int, _event: OfferReceived) -> None:
        self.phase = Phase.RECEIVING
        self._set_deadline(now, self.timeouts.copy_us)

    def _check(self, now: int, _event: CopyCompleteReceived) -> None:
        self.phase = Phase.CHECKING
        self.actions.append(RunSelfCheck())
        self._set_deadline(now, self.timeouts.copy_us)

    def _become_ready(self, now: int, _event: SelfCheckPassed) -> None:
        self.phase = Phase.READY
        self.actions.append(SendReady())
        self._set_deadline(now, self.timeouts.handover_us)

    def _give_up(self, _now: int, event: AbortReceived | FailureDetected) -> None:
        self._exit(event.reason)

    def _give_up_disconnected(self, _now: int, _event: ChannelClosed) -> None:
        self._exit("the old process exited before it accepted the handshake")

    def _check_deadline(self, now: int, _event: TimerFired) -> None:
        if now >= self.deadline_us:
            self._exit(f"the hot restart timed out in phase {self.phase.value}")

    def _exit(self, reason: str) -> None:
        self.phase = Phase.ENDED
        self.actions.append(Exit(reason))

    def _start_cold(self, _now: int, _event: ChannelClosed) -> None:
        self.phase = Phase.INDEPENDENT
        self.actions.append(ServeAlone(cold_start=True))

    # -- probation

    def _start_probation(self, now: int, _event: FinalStateReceived) -> None:
        self.phase = Phase.PROBATION
        self.actions.append(StartServing())
        self._set_deadline(now, self.timeouts.heartbeat_interval_us)

    def _send_heartbeat(self, now: int, _event: TimerFired) -> None:
        if now >= self.deadline_us:
            self.actions.append(SendHeartbeat())
            self._set_deadline(now, self.timeouts.heartbeat_interval_us)

    def _become_independent(self, _now: int, _event: ReleaseReceived | ChannelClosed) -> None:
        """End the probation: the old process released this one, or died and can't reclaim anything."""
        self.phase = Phase.INDEPENDENT
        self.actions.append(EndProbation())

    def _return_clients(self, _now: int, _event: ReclaimReceived | StopRequested) -> None:
        self.phase = Phase.RETURNING
        self.actions.append(StopServing())

    def _finish_returning(self, _now: int, _event: Drained) -> None:
        self._exit("recalled")

    def _serve_again(self, _now: int, _event: ChannelClosed) -> None:
        """Serve again: the old process died while clients were returned to it, so no process serves."""
        self.phase = Phase.INDEPENDENT
        self.actions.append(ServeAlone(cold_start=False))


Handler = Callable[[NewProcess, int, Any], None]
TRANSITIONS: dict[tuple[Phase, type], Handler] = {
    (Phase.CONNECTING, OfferReceived): NewProcess._receive,
    (Phase.CONNECTING, AbortReceived): NewProcess._give_up,
    (Phase.CONNECTING, FailureDetected): NewProcess._give_up,
    (Phase.CONNECTING, ChannelClosed): NewProcess._give_up_disconnected,
    (Phase.CONNECTING, TimerFired): NewProcess._check_deadline,
    (Phase.RECEIVING, CopyCompleteReceived): NewProcess._check,
    (Phase.RECEIVING, AbortReceived): NewProcess._give_up,
    (Phase.RECEIVING, FailureDetected): NewProcess._give_up,
    (Phase.RECEIVING, ChannelClosed): NewProcess._start_cold,
    (Phase.RECEIVING, TimerFired): NewProcess._check_deadline,
    (Phase.CHECKING, SelfCheckPassed): NewProcess._become_ready,
    (Phase.CHECKING, AbortReceived): NewProcess._give_up,
    (Phase.CHECKING, FailureDetected): NewProcess._give_up,
    (Phase.CHECKING, ChannelClosed): NewProcess._start_cold,
    (Phase.CHECKING, TimerFired): NewProcess._check_deadline,
    (Phase.READY, FinalStateReceived): NewProcess._start_probation,
    (Phase.READY, AbortReceived): NewProcess._give_up,
    (Phase.READY, FailureDetected): NewProcess._give_up,
    (Phase.READY, ChannelClosed): NewProcess._start_cold,
    (Phase.READY, TimerFired): NewProcess._check_deadline,
    (Phase.PROBATION, ReleaseReceived): NewProcess._become_independent,
    (Phase.PROBATION, ReclaimReceived): NewProcess._return_clients,
    (Phase.PROBATION, StopRequested): NewProcess._return_clients,
    (Phase.PROBATION, ChannelClosed): NewProcess._become_independent,
    (Phase.PROBATION, TimerFired): NewProcess._send_heartbeat,
    (Phase.RETURNING, Drained): NewProcess._finish_returning,
    (Phase.RETURNING, ChannelClosed): NewProcess._serve_again,
}
