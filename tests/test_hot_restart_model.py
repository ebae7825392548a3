"""The two machines of an upgrade and the channel between them, searched whole: crashes, hangs, nonsense
anywhere.

Invariants: at most one of the two serves; who is alive and was never told to end leads to one that serves;
units are decided on by at most one; and one side broken on purpose is found.
"""

from __future__ import annotations

import copy
from collections.abc import Iterable
from typing import Any

import pytest
from test_day import quiet  # noqa: F401

from orchidlane.hot_restart import new_process, old_process
from orchidlane.hot_restart.handshake import GatewayIdentity
from orchidlane.hot_restart.messages import PROTOCOL_VERSION, Hello
from orchidlane.hot_restart.probation import AnswerCounts
from orchidlane.simulation.state_exploration import explore

LAYOUT = GatewayIdentity("gw", 0, 3, ("p",))
HELLO = Hello(PROTOCOL_VERSION, "b", "gw", 0, 3, ("p",))
LATE = 10**12  # a clock at which every deadline is over
WELL, SICK = AnswerCounts(50, 1, 0), AnswerCounts(0, 50, 0)


class World:
    """Both processes and the two ways of their channel."""

    def __init__(self, faults: int = 2) -> None:
        self.giver = old_process.OldProcess(LAYOUT)
        self.taker = new_process.NewProcess()
        self.to_taker: tuple[str, ...] = ()
        self.to_giver: tuple[str, ...] = ()
        self.alive = [True, True]
        self.hung = [False, False]
        self.closed = [False, False]  # whose end of the channel
        self.told = [False, False]  # that the other's end is closed
        self.serves = [True, False]
        self.waits = [False, False]  # for a tick
        self.checking = False
        self.stopped = False
        self.faults = faults

    def key(self):
        g, t = self.giver, self.taker
        return (
            g.phase,
            g.channel,
            bool(g.probation_ends_us),
            t.phase,
            self.to_taker,
            self.to_giver,
            *self.alive,
            *self.hung,
            *self.closed,
            *self.told,
            *self.serves,
            *self.waits,
            self.checking,
            self.stopped,
            self.faults,
        )

    def broken_invariant(self) -> str | None:
        if all(self.serves):
            return "both serve"
        return None

    def is_good(self) -> bool:
        """One serves and has nothing more to do with the other; or both were ended."""
        alone = self.giver.phase is old_process.Phase.SERVING and self.serves[0]
        free = self.taker.phase is new_process.Phase.INDEPENDENT and self.serves[1]
        return alone or free or not any(self.alive)

    def moves(self) -> Iterable[tuple[str, World]]:
        for name, change in (*self._steps(), *self._mishaps()):
            after = copy.copy(self)
            after.giver, after.taker = copy.copy(self.giver), copy.copy(self.taker)
            for list_ in ("alive", "hung", "closed", "told", "serves", "waits"):
                setattr(after, list_, list(getattr(self, list_)))
            change(after)
            yield name, after

    def _runs(self, side: int) -> bool:
        return self.alive[side] and not self.hung[side]

    def _steps(self):
        if self._runs(0):
            if self.to_giver:
                yield f"giver hears {self.to_giver[0]}", World.giver_hears
            elif self.closed[1] and not self.told[0] and not self.closed[0]:
                yield "giver hears the end", lambda w: w.end_heard(0)
            if self.waits[0]:
                yield "giver's time is up", lambda w: w.give(w.giver.deadline_us, old_process.TimerFired())
                yield "giver's time was up long ago", lambda w: w.give(LATE, old_process.TimerFired())
            if self.giver.phase is old_process.Phase.DRAINING:
                yield "giver is drained", lambda w: w.give(0, old_process.Drained())
        if self._runs(1):
            if self.to_taker:
                yield f"taker hears {self.to_taker[0]}", World.taker_hears
            elif self.closed[0] and not self.told[1] and not self.closed[1]:
                yield "taker hears the end", lambda w: w.end_heard(1)
            if self.waits[1]:
                yield "taker's time is up", lambda w: w.take(LATE, new_process.TimerFired())
            if self.checking:
                yield "taker is fit", lambda w: w.checked(new_process.SelfCheckPassed())
                yield "taker is unfit", lambda w: w.checked(new_process.FailureDetected("no"))
            if self.taker.phase is new_process.Phase.RETURNING:
                yield "taker is drained", lambda w: w.take(0, new_process.Drained())
            if self.taker.phase is new_process.Phase.PROBATION and len(self.to_giver) < 3:
                yield "taker fares badly", lambda w: w.say(1, "sick")

    def _mishaps(self):
        for side, name in enumerate(("giver", "taker")):
            if self.hung[side] and self.alive[side]:
                yield f"{name} wakes", lambda w, s=side: w.hung.__setitem__(s, False)
        if not self.faults:
            return
        for side, name in enumerate(("giver", "taker")):
            if self.alive[side]:
                yield f"!{name} is killed", lambda w, s=side: w.fault(lambda: w.die(s))
                if not self.hung[side]:
                    yield f"!{name} hangs", lambda w, s=side: w.fault(lambda: w.hung.__setitem__(s, True))
            if self._runs(side) and not self.closed[side]:
                yield f"!{name} talks nonsense", lambda w, s=side: w.fault(lambda: w.say(s, "nonsense"))
        if self._runs(0) and not self.stopped:
            yield "!giver is asked to end", lambda w: w.fault(lambda: w.give(0, old_process.StopRequested()))
        if self._runs(1) and not self.stopped:
            yield "!taker is asked to end", lambda w: w.fault(lambda: w.take(0, new_process.StopRequested()))

    # -- what happens

    def fault(self, change) -> None:
        self.faults -= 1
        change()

    def say(self, side: int, word: str) -> None:
        if self.closed[side]:
            return
        if side:
            self.to_giver = (*self.to_giver, word)
        else:
            self.to_taker = (*self.to_taker, word)

    def die(self, side: int) -> None:
        self.alive[side] = self.serves[side] = False
        self.closed[side] = True
        self.checking = self.checking and side == 0

    def end_heard(self, side: int) -> None:
        self.told[side] = True
        if side:
            self.take(0, new_process.ChannelClosed())
        else:
            self.give(0, old_process.ChannelClosed(1))

    def giver_hears(self) -> None:
        word, self.to_giver = self.to_giver[0], self.to_giver[1:]
        told: dict[str, Any] = {
            "hello": old_process.HelloReceived(1, HELLO),
            "warm": old_process.ReadyReceived(1),
            "started": old_process.StartedReceived(1),
            "pulse": old_process.HeartbeatReceived(1, WELL, WELL),
            "sick": old_process.HeartbeatReceived(1, SICK, WELL),
            "unfit": old_process.FailureDetected(1, "no"),
            "nonsense": old_process.FailureDetected(1, "garbage"),
            "returned": old_process.ServingStoppedReceived(1),
        }
        self.give(LATE if word == "pulse" else 0, told[word])

    def taker_hears(self) -> None:
        word, self.to_taker = self.to_taker[0], self.to_taker[1:]
        told: dict[str, Any] = {
            "offer": new_process.OfferReceived(),
            "whole": new_process.CopyCompleteReceived(),
            "final": new_process.FinalStateReceived(),
            "recall": new_process.ReclaimReceived("sick"),
            "release": new_process.ReleaseReceived(),
            "abort": new_process.AbortReceived("no"),
            "nonsense": new_process.FailureDetected("garbage"),
        }
        self.take(0, told[word])

    def give(self, now: int, event) -> None:
        self.waits[0] = False if isinstance(event, old_process.TimerFired) else self.waits[0]
        self.giver.deadline_us = min(self.giver.deadline_us, 1)  # the clock's figure makes no other state
        for action in self.giver.handle(now, event):
            match action:
                case old_process.SendOffer():
                    self.say(0, "offer")
                    self.say(0, "whole")
                case old_process.Reject():
                    self.say(0, "abort")
                    self.closed[0] = True
                case old_process.HandOver():
                    self.serves[0] = False
                    self.say(0, "final")
                case old_process.SendReclaim():
                    self.say(0, "recall")
                case old_process.KillNewProcess():
                    self.die(1)
                case old_process.ResumeServing():
                    self.serves[0] = True
                case old_process.AnswerOrphanedClients():
                    self.closed[0] = True
                case old_process.Release():
                    self.say(0, "release")
                case old_process.Exit():
                    self.die(0)
                case old_process.SetTimer():
                    self.waits[0] = True

    def checked(self, event) -> None:
        self.checking = False
        self.take(0, event)

    def take(self, now: int, event) -> None:
        self.waits[1] = False if isinstance(event, new_process.TimerFired) else self.waits[1]
        self.carry_out(self.taker.handle(now, event))

    def carry_out(self, actions) -> None:
        for action in actions:
            match action:
                case new_process.SendHello():
                    self.say(1, "hello")
                case new_process.RunSelfCheck():
                    self.checking = True
                case new_process.SendReady():
                    self.say(1, "warm")
                case new_process.StartServing():
                    self.serves[1] = True
                    self.say(1, "started")
                case new_process.SendHeartbeat():
                    if len(self.to_giver) < 3:
                        self.say(1, "pulse")
                case new_process.ServeAlone():
                    if self.alive[0]:
                        self.die(0)
                    self.serves[1] = True
                case new_process.StopServing():
                    self.serves[1] = False
                    self.say(1, "returned")
                case new_process.Exit():
                    self.say(1, "unfit")
                    self.die(1)
                case new_process.SetTimer():
                    self.waits[1] = True


def model(faults: int = 2) -> World:
    world = World(faults)
    world.carry_out(world.taker.start(0))
    return world


def test_never_both_serve_and_one_always_can():
    found = explore(model())
    assert found.violations == []
    assert found.stuck_paths == []
    assert found.state_count > 3_000


@pytest.mark.parametrize(
    "phase, event, instead",
    [
        # takes back as soon as the successor is silent, without making sure
        (
            old_process.Phase.COMMITTED,
            old_process.TimerFired,
            lambda g, now, e: g.actions.append(old_process.ResumeServing("silent")),
        ),
        # takes back on a sick successor's word alone
        (
            old_process.Phase.COMMITTED,
            old_process.FailureDetected,
            lambda g, now, e: g.actions.append(old_process.ResumeServing("unfit")),
        ),
    ],
)
def test_a_giver_that_does_not_fence_is_found(monkeypatch, phase, event, instead):
    monkeypatch.setitem(old_process.TRANSITIONS, (phase, event), instead)
    assert explore(model()).violations[0][0] == "both serve"


def test_a_giver_that_forgets_a_dead_successor_is_found(monkeypatch):
    monkeypatch.delitem(old_process.TRANSITIONS, (old_process.Phase.FENCING, old_process.ChannelClosed))
    assert explore(model()).stuck_paths


def test_a_taker_that_goes_on_after_a_recall_is_found(monkeypatch):
    monkeypatch.setitem(
        new_process.TRANSITIONS,
        (new_process.Phase.PROBATION, new_process.ReclaimReceived),
        lambda t, now, e: t.actions.append(new_process.SendHeartbeat()),
    )
    found = explore(model())
    assert (found.stuck_paths, found.violations) == ([], [])  # it is killed after a while
    monkeypatch.delitem(old_process.TRANSITIONS, (old_process.Phase.RECLAIMING, old_process.TimerFired))
    assert explore(model()).stuck_paths
