"""A model of a hot restart: both state machines and the channel between them, for a search of all states.

A process may crash, hang or send garbage in any state. Invariants: at most one of the two processes serves,
and from every state a state can be reached in which one of them serves, unless both are dead.
"""

from __future__ import annotations

import copy
from collections.abc import Callable, Iterable
from typing import Any

from orchidlane.hot_restart import new_process, old_process
from orchidlane.hot_restart.handshake import GatewayIdentity
from orchidlane.hot_restart.messages import PROTOCOL_VERSION, Hello
from orchidlane.hot_restart.probation import ResponseCounts

IDENTITY = GatewayIdentity("gw", 0, 3, ("p",))
HELLO = Hello(PROTOCOL_VERSION, "b", "gw", 0, 3, ("p",))
LATE_US = 10**12  # a time after every deadline
HEALTHY, DEGRADED = ResponseCounts(50, 1, 0), ResponseCounts(0, 50, 0)

MAX_QUEUED_MESSAGES = 3
SIDE_FLAGS = ("alive", "hanging", "closed", "saw_close", "serves", "timer_set")
OLD_MESSAGES: dict[type, tuple[str, ...]] = {  # by the action that sends them
    old_process.SendOffer: ("offer", "copy complete"),
    old_process.Reject: ("abort",),
    old_process.HandOver: ("final state",),
    old_process.SendReclaim: ("reclaim",),
    old_process.Release: ("release",),
}
NEW_MESSAGES: dict[type, tuple[str, ...]] = {
    new_process.SendHello: ("hello",),
    new_process.SendReady: ("ready",),
    new_process.StartServing: ("started",),
    new_process.StopServing: ("serving stopped",),
    new_process.Exit: ("failure",),
}
Step = tuple[str, Callable[["Model"], Any]]


class Model:
    """Both processes and the two directions of their channel; index 0 is the old process, 1 the new one."""

    def __init__(self, faults: int = 2) -> None:
        self.old = old_process.OldProcess(IDENTITY)
        self.new = new_process.NewProcess()
        self.to_new: tuple[str, ...] = ()
        self.to_old: tuple[str, ...] = ()
        self.alive = [True, True]
        self.hanging = [False, False]
        self.closed = [False, False]  # whether this process has closed its end of the channel
        self.saw_close = [False, False]  # whether this process has seen that the other end is closed
        self.serves = [True, False]
        self.timer_set = [False, False]
        self.checking = False  # whether the self-check of the new process runs
        self.stopped = False  # whether a process was requested to exit
        self.faults = faults  # how many faults may still happen

    def key(self) -> Any:
        """Return the values that distinguish this state from others."""
        old, new = self.old, self.new
        return (
            old.phase,
            old.channel,
            bool(old.probation_ends_us),
            new.phase,
            self.to_new,
            self.to_old,
            *self.alive,
            *self.hanging,
            *self.closed,
            *self.saw_close,
            *self.serves,
            *self.timer_set,
            self.checking,
            self.stopped,
            self.faults,
        )

    def broken_invariant(self) -> str | None:
        """Return the invariant that this state violates, None if it violates none."""
        if all(self.serves):
            return "both serve"
        return None

    def is_goal(self) -> bool:
        """Return whether one process serves and is independent of the other, or both are dead."""
        old_serves = self.old.phase is old_process.Phase.SERVING and self.serves[0]
        independent = self.new.phase is new_process.Phase.INDEPENDENT and self.serves[1]
        return old_serves or independent or not any(self.alive)

    def moves(self) -> Iterable[tuple[str, Model]]:
        """Return every next state, and the name of the step that leads to it."""
        for name, change in (*self._old_steps(), *self._new_steps(), *self._wake_ups(), *self._faults()):
            after = copy.copy(self)
            after.old, after.new = copy.copy(self.old), copy.copy(self.new)
            for flag in SIDE_FLAGS:
                setattr(after, flag, list(getattr(self, flag)))
            change(after)
            yield name, after

    def _runs(self, side: int) -> bool:
        return self.alive[side] and not self.hanging[side]

    def _old_steps(self) -> Iterable[Step]:
        if not self._runs(0):
            return
        if self.to_old:
            yield f"old receives {self.to_old[0]}", Model.old_receives
        elif self.closed[1] and not self.saw_close[0] and not self.closed[0]:
            yield "old receives the close", lambda m: m.see_close(0)
        if self.timer_set[0]:
            yield "old's timer fires", lambda m: m.feed_old(m.old.deadline_us, old_process.TimerFired())
            yield "old's timer fires late", lambda m: m.feed_old(LATE_US, old_process.TimerFired())
        if self.old.phase is old_process.Phase.DRAINING:
            yield "old is drained", lambda m: m.feed_old(0, old_process.Drained())

    def _new_steps(self) -> Iterable[Step]:
        if not self._runs(1):
            return
        if self.to_new:
            yield f"new receives {self.to_new[0]}", Model.new_receives
        elif self.closed[0] and not self.saw_close[1] and not self.closed[1]:
            yield "new receives the close", lambda m: m.see_close(1)
        if self.timer_set[1]:
            yield "new's timer fires", lambda m: m.feed_new(LATE_US, new_process.TimerFired())
        if self.checking:
            yield "new passes its check", lambda m: m.finish_self_check(new_process.SelfCheckPassed())
            yield "new fails its check", lambda m: m.finish_self_check(new_process.FailureDetected("no"))
        if self.new.phase is new_process.Phase.RETURNING:
            yield "new is drained", lambda m: m.feed_new(0, new_process.Drained())
        if self.new.phase is new_process.Phase.PROBATION and len(self.to_old) < MAX_QUEUED_MESSAGES:
            yield "new is degraded", lambda m: m.send(1, "degraded")

    def _wake_ups(self) -> Iterable[Step]:
        for side, name in enumerate(("old", "new")):
            if self.hanging[side] and self.alive[side]:
                yield f"{name} wakes", lambda m, s=side: m.hanging.__setitem__(s, False)

    def _faults(self) -> Iterable[Step]:
        if not self.faults:
            return
        for side, name in enumerate(("old", "new")):
            if self.alive[side]:
                yield f"!{name} is killed", lambda m, s=side: m.fault(lambda: m.die(s))
                if not self.hanging[side]:
                    yield f"!{name} hangs", lambda m, s=side: m.fault(lambda: m.hanging.__setitem__(s, True))
            if self._runs(side) and not self.closed[side]:
                yield f"!{name} sends garbage", lambda m, s=side: m.fault(lambda: m.send(s, "garbage"))
        if self._runs(0) and not self.stopped:
            yield (
                "!old is stopped",
                lambda m: m.fault(lambda: m.feed_old(0, old_process.StopRequested())),
            )
        if self._runs(1) and not self.stopped:
            yield (
                "!new is stopped",
                lambda m: m.fault(lambda: m.feed_new(0, new_process.StopRequested())),
            )

    # -- effects of steps

    def fault(self, change: Callable[[], Any]) -> None:
        """Apply a change that counts as a fault."""
        self.faults -= 1
        change()

    def send(self, side: int, message: str) -> None:
        """Send a message to the other process, unless the sender has closed its end of the channel."""
        if self.closed[side]:
            return
        if side:
            self.to_old = (*self.to_old, message)
        else:
            self.to_new = (*self.to_new, message)

    def die(self, side: int) -> None:
        """Let a process die; its end of the channel closes."""
        self.alive[side] = self.serves[side] = False
        self.closed[side] = True
        self.checking = self.checking and side == 0

    def see_close(self, side: int) -> None:
        """Let a process see that the other one closed its end of the channel."""
        self.saw_close[side] = True
        if side:
            self.feed_new(0, new_process.ChannelClosed())
        else:
            self.feed_old(0, old_process.ChannelClosed(1))

    def old_receives(self) -> None:
        """Deliver the next message to the old process."""
        message, self.to_old = self.to_old[0], self.to_old[1:]
        events: dict[str, Any] = {
            "hello": old_process.HelloReceived(1, HELLO),
            "ready": old_process.ReadyReceived(1),
            "started": old_process.StartedReceived(1),
            "heartbeat": old_process.HeartbeatReceived(1, HEALTHY, HEALTHY),
            "degraded": old_process.HeartbeatReceived(1, DEGRADED, HEALTHY),
            "failure": old_process.FailureDetected(1, "no"),
            "garbage": old_process.FailureDetected(1, "garbage"),
            "serving stopped": old_process.ServingStoppedReceived(1),
        }
        self.feed_old(LATE_US if message == "heartbeat" else 0, events[message])

    def new_receives(self) -> None:
        """Deliver the next message to the new process."""
        message, self.to_new = self.to_new[0], self.to_new[1:]
        events: dict[str, Any] = {
            "offer": new_process.OfferReceived(),
            "copy complete": new_process.CopyCompleteReceived(),
            "final state": new_process.FinalStateReceived(),
            "reclaim": new_process.ReclaimReceived("degraded"),
            "release": new_process.ReleaseReceived(),
            "abort": new_process.AbortReceived("no"),
            "garbage": new_process.FailureDetected("garbage"),
        }
        self.feed_new(0, events[message])

    def feed_old(self, now: int, event: old_process.Event) -> None:
        """Feed an event to the old process, and carry out the resulting actions."""
        self.timer_set[0] = False if isinstance(event, old_process.TimerFired) else self.timer_set[0]
        # The key does not include the deadline, so it must not grow with the clock.
        self.old.deadline_us = min(self.old.deadline_us, 1)
        for action in self.old.handle(now, event):
            for message in OLD_MESSAGES.get(type(action), ()):
                self.send(0, message)
            match action:
                case old_process.Reject() | old_process.AnswerOrphanedClients():
                    self.closed[0] = True
                case old_process.HandOver():
                    self.serves[0] = False
                case old_process.KillNewProcess():
                    self.die(1)
                case old_process.ResumeServing():
                    self.serves[0] = True
                case old_process.Exit():
                    self.die(0)
                case old_process.SetTimer():
                    self.timer_set[0] = True

    def finish_self_check(self, event: new_process.Event) -> None:
        """Finish the self-check of the new process with this outcome."""
        self.checking = False
        self.feed_new(0, event)

    def feed_new(self, now: int, event: new_process.Event) -> None:
        """Feed an event to the new process, and carry out the resulting actions."""
        self.timer_set[1] = False if isinstance(event, new_process.TimerFired) else self.timer_set[1]
        self.carry_out(self.new.handle(now, event))

    def carry_out(self, actions: Iterable[new_process.Action]) -> None:
        """Carry out actions of the new process."""
        for action in actions:
            for message in NEW_MESSAGES.get(type(action), ()):
                self.send(1, message)
            match action:
                case new_process.RunSelfCheck():
                    self.checking = True
                case new_process.StartServing():
                    self.serves[1] = True
                case new_process.SendHeartbeat():
                    self._send_heartbeat()
                case new_process.ServeAlone():
                    self._serve_alone()
                case new_process.StopServing():
                    self.serves[1] = False
                case new_process.Exit():
                    self.die(1)
                case new_process.SetTimer():
                    self.timer_set[1] = True

    def _send_heartbeat(self) -> None:
        if len(self.to_old) < MAX_QUEUED_MESSAGES:
            self.send(1, "heartbeat")

    def _serve_alone(self) -> None:
        if self.alive[0]:
            self.die(0)
        self.serves[1] = True


def initial_state(faults: int = 2) -> Model:
    """Return the state in which the new process has just started."""
    model = Model(faults)
    model.carry_out(model.new.start(0))
    return model
