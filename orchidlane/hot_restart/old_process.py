"""The old side of an upgrade: events with a clock in, actions out. Decides without I/O.

    SERVING    --call-->            OFFERED      the state is copied while traffic goes on OFFERED
    --warm-->            COMMITTED    from this moment on the successor decides; we keep a hold on all OFFERED
    --anything else-->   SERVING      nothing has happened COMMITTED  --started, trial-->  PARTING      the
    successor stands alone; we end with our last request COMMITTED  --sick-->            RECALLING    it is
    asked to give everything back COMMITTED  --silent-->          FENCING      it is killed: nobody can be
    asked COMMITTED, RECALLING  --returned-->  RETURNED  we serve again, it answers what it still holds any of
    these  --its end of the channel closes-->  SERVING

The channel is the fence. A successor that serves never lets its end go before it has stopped, and a kernel
closes the end of a process that died, so a closed channel, or its word that it has stopped, proves that
nobody else serves. Until then we do not serve, whatever time has passed; a successor that hangs is killed
first. Our own end is closed only after ``Abort`` or in death, so that the successor can tell the one from the
other.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum
from typing import Any, NamedTuple

from orchidlane.hot_restart.messages import FORMAT, Hello
from orchidlane.hot_restart.probation import Answers, why_sick


class Phase(Enum):
    """Where the old side stands."""

    SERVING = "serving"
    OFFERED = "offered"
    COMMITTED = "committed"
    RECALLING = "recalling"
    RETURNED = "returned"
    FENCING = "fencing"
    PARTING = "parting"
    ENDED = "ended"


class Terms(NamedTuple):
    """Spans in microseconds."""

    warm: int = 60_000_000  # for the copy and the successor's own check
    start: int = 2_000_000  # from the moment to its first word
    pulse: int = 200_000  # between two of its words in the trial
    silence: int = 1_500_000  # without one it hangs
    late: int = 250_000  # a tick later than that: we stood still ourselves
    trial: int = 5_000_000
    recall: int = 1_000_000  # to stop serving when it is asked to
    drain: int = 15_000_000  # to answer what it still holds after that


class Called(NamedTuple):
    """A process asks to take over, on a channel of its own."""

    channel: int
    hello: Hello


class WasWarm(NamedTuple):
    """It has all that was told, and found itself fit."""

    channel: int


class HasStarted(NamedTuple):
    """It serves."""

    channel: int


class Pulsed(NamedTuple):
    """How it fares, and how we did before."""

    channel: int
    answers: Answers
    before: Answers


class WasUnfit(NamedTuple):
    """It gives up, or what it says can't be understood."""

    channel: int
    why: str


class WasReturned(NamedTuple):
    """It has stopped serving, and given its idle clients back."""

    channel: int


class Lost(NamedTuple):
    """Its end of the channel is closed: it is gone, or does not serve any more."""

    channel: int


class Ticked(NamedTuple):
    """A time that was asked for has come."""


class Drained(NamedTuple):
    """Our last request is answered, and our clients are gone or passed."""


class Stopped(NamedTuple):
    """We are asked to end (SIGTERM)."""


class MakeOffer(NamedTuple):
    """Say that the call is welcome, pass the listeners, and copy the state."""

    channel: int


class TurnAway(NamedTuple):
    """Say why not, and close the channel; what was copied is dropped."""

    channel: int
    why: str


class Commit(NamedTuple):
    """Stop taking requests, tell what is left to tell, and pass the clients as they become idle."""

    channel: int


class AskBack(NamedTuple):
    """Say that everything shall come back."""

    channel: int
    why: str


class Kill(NamedTuple):
    """End the process on the other side."""

    channel: int


class TakeBack(NamedTuple):
    """Serve again: nobody else does. Clients that are idle are ours again."""

    why: str


class Settle(NamedTuple):
    """The other process is gone: close the channel; clients that it owed an answer get one that says so."""

    channel: int


class LetGo(NamedTuple):
    """Say that the trial is passed, and let all holds go."""

    channel: int


class End(NamedTuple):
    """Nothing is left to do here."""


class Wake(NamedTuple):
    """Send ``Ticked`` after so many microseconds."""

    span: int


Event = Called | WasWarm | HasStarted | Pulsed | WasUnfit | WasReturned | Lost | Ticked | Drained | Stopped
Action = MakeOffer | TurnAway | Commit | AskBack | Kill | TakeBack | Settle | LetGo | End | Wake


@dataclass
class Layout:
    """What a successor's state must fit."""

    gateway: str
    rank: int
    gateways: int
    plan_names: tuple[str, ...]


@dataclass
class Giver:
    """One gateway that may be upgraded; feed events, carry out actions in their order."""

    layout: Layout
    terms: Terms = field(default_factory=Terms)
    phase: Phase = Phase.SERVING
    channel: int | None = None
    deadline: int = 0  # of what is waited for now
    trial_ends: int = 0
    latest: str = "none"  # what became of the latest upgrade
    actions: list[Action] = field(default_factory=list)

    def handle(self, now: int, event: Event) -> list[Action]:
        """What to do about one event."""
        self.actions = []
        if isinstance(event, Called):
            self._called(now, event)
        elif (channel := getattr(event, "channel", self.channel)) == self.channel:
            method = TABLE.get((self.phase, type(event)))
            if method is not None:
                method(self, now, event)
            elif channel is not None and isinstance(event, WasWarm | HasStarted | Pulsed):
                self._out_of_turn(now, event)
        return self.actions

    # -- a call

    def _called(self, now: int, event: Called) -> None:
        why = self._why_not(event.hello)
        if why is not None:
            self.actions.append(TurnAway(event.channel, why))
            return
        self.phase, self.channel = Phase.OFFERED, event.channel
        self.actions.append(MakeOffer(event.channel))
        self._wait(now, self.terms.warm)

    def _why_not(self, hello: Hello) -> str | None:
        layout = self.layout
        if hello.format != FORMAT:
            return f"format {hello.format} of the protocol, this build speaks {FORMAT}"
        if self.phase is not Phase.SERVING:
            return f"another upgrade is under way: {self.phase.value}"
        if (hello.gateway, hello.rank) != (layout.gateway, layout.rank):
            return f"this is {layout.gateway}, rank {layout.rank}"
        if hello.gateways != layout.gateways or hello.plan_names != layout.plan_names:
            return "other gateways or plans in its settings: these need a restart"
        return None

    def _wait(self, now: int, span: int) -> None:
        self.deadline = now + span
        self.actions.append(Wake(span))

    # -- until the moment

    def _warm(self, now: int, event: WasWarm) -> None:
        self.phase = Phase.COMMITTED
        self.trial_ends = 0
        self.actions.append(Commit(event.channel))
        self._wait(now, self.terms.start)

    def _abandon(self, _now: int, event: Any) -> None:
        why = getattr(event, "why", "its process ended")
        self._back_to_serving(f"abandoned: {why}")
        self.actions.append(TurnAway(event.channel, why))

    def _too_long(self, now: int, _event: Ticked) -> None:
        if now < self.deadline:
            return
        assert self.channel is not None
        self.actions.append(TurnAway(self.channel, "it took too long"))
        self._back_to_serving("abandoned: it took too long")

    def _stop_offer(self, _now: int, _event: Stopped) -> None:
        assert self.channel is not None
        self.actions.append(TurnAway(self.channel, "the gateway is asked to end"))
        self._back_to_serving("abandoned: the gateway was asked to end")

    def _back_to_serving(self, latest: str) -> None:
        self.phase, self.channel, self.latest = Phase.SERVING, None, latest

    # -- the trial

    def _started(self, now: int, _event: HasStarted) -> None:
        if not self.trial_ends:
            self.trial_ends = now + self.terms.trial
            self._wait(now, self.terms.silence)

    def _pulsed(self, now: int, event: Pulsed) -> None:
        if not self.trial_ends:
            return self._out_of_turn(now, event)
        why = why_sick(event.before, event.answers)
        if why is not None:
            self.phase, self.latest = Phase.RECALLING, f"recalled: {why}"
            self.actions.append(AskBack(event.channel, why))
            self._wait(now, self.terms.recall)
        elif now >= self.trial_ends:
            self.phase, self.latest = Phase.PARTING, "passed"
            self.actions.append(LetGo(event.channel))
        else:
            self._wait(now, self.terms.silence)

    def _silent(self, now: int, _event: Ticked) -> None:
        """Guards against our own stall, too: a tick so late says nothing of the other, whose words wait."""
        if now > self.deadline + self.terms.late:
            self._wait(now, self.terms.silence)
        elif now >= self.deadline:
            self._fence("it hangs")

    def _unfit(self, now: int, event: WasUnfit) -> None:
        """It says so itself and still holds everything, or talks nonsense: it is not waited for."""
        self._fence(event.why)

    def _out_of_turn(self, _now: int, event: Any) -> None:
        """A word that has no place here is no better than garbage."""
        why = f"{type(event).__name__} while {self.phase.value}"
        if self.phase is Phase.OFFERED:
            self._abandon(0, WasUnfit(event.channel, why))
        elif self.phase is Phase.COMMITTED:
            self._fence(why)

    def _fence(self, why: str) -> None:
        assert self.channel is not None
        self.phase, self.latest = Phase.FENCING, f"ended by force: {why}"
        self.actions.append(Kill(self.channel))

    def _take_back(self, _now: int, event: Lost) -> None:
        latest = self.latest if self.phase is not Phase.COMMITTED else "taken back: its process ended"
        self._back_to_serving(latest)
        self.actions += [TakeBack(latest), Settle(event.channel)]

    def _returned(self, now: int, _event: WasReturned) -> None:
        if self.phase is Phase.COMMITTED:
            self.latest = "given back: it was asked to end"
        self.phase = Phase.RETURNED
        self.actions.append(TakeBack(self.latest))
        self._wait(now, self.terms.drain)

    def _settled(self, _now: int, event: Lost) -> None:
        self._back_to_serving(self.latest)
        self.actions.append(Settle(event.channel))

    def _drains_too_long(self, now: int, _event: Ticked) -> None:
        if now >= self.deadline:
            assert self.channel is not None
            self.actions.append(Kill(self.channel))

    # -- the end

    def _drained(self, _now: int, _event: Drained) -> None:
        self.phase = Phase.ENDED
        self.actions.append(End())

    def _end_at_once(self, _now: int, _event: Stopped) -> None:
        """SIGTERM while the successor is on trial: it is let go early, we end with our requests."""
        assert self.channel is not None
        self.phase, self.latest = Phase.PARTING, "let go early: the old one was asked to end"
        self.actions.append(LetGo(self.channel))


Method = Callable[[Giver, int, Any], None]
TABLE: dict[tuple[Phase, type], Method] = {
    (Phase.OFFERED, WasWarm): Giver._warm,
    (Phase.OFFERED, WasUnfit): Giver._abandon,
    (Phase.OFFERED, Lost): Giver._abandon,
    (Phase.OFFERED, Ticked): Giver._too_long,
    (Phase.OFFERED, Stopped): Giver._stop_offer,
    (Phase.COMMITTED, HasStarted): Giver._started,
    (Phase.COMMITTED, Pulsed): Giver._pulsed,
    (Phase.COMMITTED, Ticked): Giver._silent,
    (Phase.COMMITTED, WasUnfit): Giver._unfit,
    (Phase.COMMITTED, Lost): Giver._take_back,
    (Phase.COMMITTED, Stopped): Giver._end_at_once,
    (Phase.COMMITTED, WasReturned): Giver._returned,
    (Phase.RECALLING, WasReturned): Giver._returned,
    (Phase.RECALLING, Lost): Giver._take_back,
    (Phase.RECALLING, Ticked): Giver._silent,
    (Phase.RECALLING, WasUnfit): Giver._unfit,
    (Phase.RETURNED, Lost): Giver._settled,
    (Phase.RETURNED, Ticked): Giver._drains_too_long,
    (Phase.FENCING, Lost): Giver._take_back,
    (Phase.PARTING, Drained): Giver._drained,
}
