"""The new side of an upgrade: events with a clock in, actions out. Decides without I/O.

    CALLING    --offer-->    RECEIVING   listeners and rows come
    RECEIVING  --whole-->    CHECKING    its own check runs
    CHECKING   --fit-->      WARM
    WARM       --final-->    TRIAL       it serves, and tells before it does anything that could be lost
    TRIAL      --release-->  FREE        it stands alone
    TRIAL      --recall-->   RETURNING   it has stopped; when its last request is answered it ends

The channel is the fence (``old_process``): its old side closes its end only in death or after ``Abort``. So a
channel that closes without a word means that the old one is dead, and what came decides: without the
listeners we end; with them and before the moment we stand alone like a cold start, since what was spent
meanwhile is not known; after the moment we have all. Whoever stands alone first makes sure of the other's
death.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum
from typing import Any, NamedTuple


class Phase(Enum):
    """Where the new side stands."""

    CALLING = "calling"
    RECEIVING = "receiving"
    CHECKING = "checking"
    WARM = "warm"
    TRIAL = "trial"
    RETURNING = "returning"
    FREE = "free"
    ENDED = "ended"


class Terms(NamedTuple):
    """Spans in microseconds."""

    answer: int = 5_000_000  # for the offer
    warm: int = 60_000_000  # for the copy
    moment: int = 10_000_000  # from our readiness to the moment
    pulse: int = 200_000


class Offered(NamedTuple):
    """The listeners follow."""


class CameWhole(NamedTuple):
    """Every row was told once, and the listeners are here."""


class WasFit(NamedTuple):
    """The own check passed."""


class WasUnfit(NamedTuple):
    """It did not, or what the old side says can't be understood."""

    why: str


class CameFinal(NamedTuple):
    """The moment is here; the state could be made from what came."""


class Recalled(NamedTuple):
    """Everything shall go back."""

    why: str


class Released(NamedTuple):
    """The trial is passed."""


class Aborted(NamedTuple):
    """The old side goes on by itself."""

    why: str


class Lost(NamedTuple):
    """The old side's end of the channel is closed."""


class Ticked(NamedTuple):
    """A time that was asked for has come."""


class Drained(NamedTuple):
    """Our last request is answered, and our clients are gone or passed back."""


class Stopped(NamedTuple):
    """We are asked to end (SIGTERM)."""


class SayHello(NamedTuple):
    """Call."""


class Check(NamedTuple):
    """Make the own check."""


class SayWarm(NamedTuple):
    """Say that all is in place."""


class Serve(NamedTuple):
    """Take requests, from the state of the moment, and say so."""


class SayPulse(NamedTuple):
    """Say how we fare."""


class StandAlone(NamedTuple):
    """Make sure that the old side is dead, then take requests: from what came, or ``cold``."""

    cold: bool


class StopServing(NamedTuple):
    """Take no more requests, give idle clients back, and say so; the others follow as they become idle."""


class BeFree(NamedTuple):
    """Nothing is told any more; the old side's questions are still answered until it is gone."""


class Exit(NamedTuple):
    """End this process; it serves nothing."""

    why: str


class Wake(NamedTuple):
    """Send ``Ticked`` after so many microseconds."""

    span: int


Event = (
    Offered
    | CameWhole
    | WasFit
    | WasUnfit
    | CameFinal
    | Recalled
    | Released
    | Aborted
    | Lost
    | Ticked
    | Drained
    | Stopped
)
Action = SayHello | Check | SayWarm | Serve | SayPulse | StandAlone | StopServing | BeFree | Exit | Wake


@dataclass
class Taker:
    """One process that wants to take over; feed events, carry out actions in their order."""

    terms: Terms = field(default_factory=Terms)
    phase: Phase = Phase.CALLING
    deadline: int = 0
    actions: list[Action] = field(default_factory=list)

    def start(self, now: int) -> list[Action]:
        """The first actions."""
        self.actions = [SayHello()]
        self._wait(now, self.terms.answer)
        return self.actions

    def handle(self, now: int, event: Event) -> list[Action]:
        """What to do about one event; one that has no place where we stand changes nothing."""
        self.actions = []
        method = TABLE.get((self.phase, type(event)))
        if method is not None:
            method(self, now, event)
        return self.actions

    def _wait(self, now: int, span: int) -> None:
        self.deadline = now + span
        self.actions.append(Wake(span))

    # -- until the moment

    def _offered(self, now: int, _event: Offered) -> None:
        self.phase = Phase.RECEIVING
        self._wait(now, self.terms.warm)

    def _whole(self, now: int, _event: CameWhole) -> None:
        self.phase = Phase.CHECKING
        self.actions.append(Check())
        self._wait(now, self.terms.warm)

    def _fit(self, now: int, _event: WasFit) -> None:
        self.phase = Phase.WARM
        self.actions.append(SayWarm())
        self._wait(now, self.terms.moment)

    def _give_up(self, _now: int, event: Any) -> None:
        self._exit(getattr(event, "why", "the old side ended before it passed anything"))

    def _too_long(self, now: int, _event: Ticked) -> None:
        if now >= self.deadline:
            self._exit(f"the old side hangs: {self.phase.value}")

    def _exit(self, why: str) -> None:
        self.phase = Phase.ENDED
        self.actions.append(Exit(why))

    def _alone_cold(self, _now: int, _event: Lost) -> None:
        self.phase = Phase.FREE
        self.actions.append(StandAlone(cold=True))

    def _alone(self, _now: int, _event: Lost) -> None:
        self.phase = Phase.FREE
        self.actions.append(StandAlone(cold=False))

    # -- the trial

    def _serve(self, now: int, _event: CameFinal) -> None:
        self.phase = Phase.TRIAL
        self.actions.append(Serve())
        self._wait(now, self.terms.pulse)

    def _pulse(self, now: int, _event: Ticked) -> None:
        if now >= self.deadline:
            self.actions.append(SayPulse())
            self._wait(now, self.terms.pulse)

    def _free(self, _now: int, _event: Released) -> None:
        self.phase = Phase.FREE
        self.actions.append(BeFree())

    def _recalled(self, _now: int, _event: Recalled) -> None:
        self.phase = Phase.RETURNING
        self.actions.append(StopServing())

    def _stopped(self, _now: int, _event: Stopped) -> None:
        self.phase = Phase.RETURNING
        self.actions.append(StopServing())

    def _returned(self, _now: int, _event: Drained) -> None:
        self._exit("recalled")

    def _orphaned(self, _now: int, _event: Lost) -> None:
        """The old one died in the trial: all that it passed is ours."""
        self.phase = Phase.FREE
        self.actions.append(BeFree())

    def _orphaned_returning(self, _now: int, _event: Lost) -> None:
        """It died while we gave everything back: nobody else is left to serve."""
        self.phase = Phase.FREE
        self.actions.append(StandAlone(cold=False))


Method = Callable[[Taker, int, Any], None]
TABLE: dict[tuple[Phase, type], Method] = {
    (Phase.CALLING, Offered): Taker._offered,
    (Phase.CALLING, Aborted): Taker._give_up,
    (Phase.CALLING, WasUnfit): Taker._give_up,
    (Phase.CALLING, Lost): Taker._give_up,
    (Phase.CALLING, Ticked): Taker._too_long,
    (Phase.RECEIVING, CameWhole): Taker._whole,
    (Phase.RECEIVING, Aborted): Taker._give_up,
    (Phase.RECEIVING, WasUnfit): Taker._give_up,
    (Phase.RECEIVING, Lost): Taker._alone_cold,
    (Phase.RECEIVING, Ticked): Taker._too_long,
    (Phase.CHECKING, WasFit): Taker._fit,
    (Phase.CHECKING, Aborted): Taker._give_up,
    (Phase.CHECKING, WasUnfit): Taker._give_up,
    (Phase.CHECKING, Lost): Taker._alone_cold,
    (Phase.CHECKING, Ticked): Taker._too_long,
    (Phase.WARM, CameFinal): Taker._serve,
    (Phase.WARM, Aborted): Taker._give_up,
    (Phase.WARM, WasUnfit): Taker._give_up,
    (Phase.WARM, Lost): Taker._alone_cold,
    (Phase.WARM, Ticked): Taker._too_long,
    (Phase.TRIAL, Released): Taker._free,
    (Phase.TRIAL, Recalled): Taker._recalled,
    (Phase.TRIAL, Stopped): Taker._stopped,
    (Phase.TRIAL, Lost): Taker._orphaned,
    (Phase.TRIAL, Ticked): Taker._pulse,
    (Phase.RETURNING, Drained): Taker._returned,
    (Phase.RETURNING, Lost): Taker._orphaned_returning,
}
