"""Rolls of a fleet: batches against all customers' sets, every state of the machine, whole rolls under load.

The latter in the simulated world, with broken builds and the roll itself killed anywhere.
"""

from __future__ import annotations

import copy
from collections.abc import Iterable
from typing import Any

import msgspec
import pytest
from harness.policy_harness import SECOND
from hypothesis import given, settings
from hypothesis import strategies as st
from test_day import day, quiet  # noqa: F401

from orchidlane.config import Duration
from orchidlane.gateway.lifecycle.rolling_upgrade import RollDriver, UnfinishedRollError
from orchidlane.hot_restart import rolling_batches, rolling_upgrade
from orchidlane.hot_restart.probation import AnswerCounts
from orchidlane.policy import admission
from orchidlane.policy.state import PolicyState
from orchidlane.runtime import CONTROL, Loop, SimWorld
from orchidlane.simulation.backends import SimulatedBacking
from orchidlane.simulation.scenario import Runner, make_plan
from orchidlane.simulation.state_exploration import explore

MS = 1_000

# Batches


def member_lists(most: int = 14) -> st.SearchStrategy[list[tuple[str, float]]]:
    return st.lists(st.tuples(st.sampled_from("abc"), st.floats(0, 100)), min_size=1, max_size=most)


@st.composite
def fleets(draw) -> tuple[rolling_batches.Fleet, rolling_batches.RiskLimits]:
    members = tuple(rolling_batches.Member(rank, *facts) for rank, facts in enumerate(draw(member_lists())))
    spreads = tuple(draw(st.sets(st.integers(1, 8), max_size=3)))
    share = st.floats(0.05, 1.0)
    limits = rolling_batches.RiskLimits(draw(share), draw(share), draw(st.integers(1, 3)), draw(share))
    return rolling_batches.Fleet(members, spreads), limits


def plainly_allowed(fleet: rolling_batches.Fleet, limits: rolling_batches.RiskLimits, risk: set[int]) -> bool:
    """The same by going through each customer's set."""
    size = len(fleet.members)
    if len(risk) <= 1:
        return True
    for spread in fleet.replica_set_sizes:
        for first in range(size):
            members = {(first + i) % size for i in range(min(spread, size))}
            if len(members & risk) > max(1, int(limits.replica_set_share * spread)):
                return False
    halls = {fleet.members[rank].zone for rank in risk}
    load = sum(fleet.members[rank].load for rank in sorted(risk))
    return (
        len(risk) <= limits.fleet_share * size
        and len(halls) <= limits.max_zones
        and load <= limits.load_share * fleet.load
    )


@given(fleets(), st.data())
def test_what_may_be_at_risk_is_what_no_customers_set_forbids(made, data):
    fleet, limits = made
    risk = data.draw(st.sets(st.integers(0, len(fleet.members) - 1)))
    assert rolling_batches.is_allowed(fleet, limits, risk) == plainly_allowed(fleet, limits, risk)


@settings(max_examples=60)
@given(fleets())
def test_a_batch_is_allowed_and_never_beyond_the_bound(made):
    fleet, limits = made
    wanted = list(range(len(fleet.members)))
    found = rolling_batches.largest_batch(fleet, limits, wanted, (), len(wanted))
    assert 1 <= len(found) <= rolling_batches.batch_size_bound(fleet, limits)
    assert plainly_allowed(fleet, limits, set(found))
    assert rolling_batches.largest_batch(fleet, limits, wanted, (), 1) == found[:1] or len(found) > 1
    assert not set(rolling_batches.largest_batch(fleet, limits, wanted[1:], [0], len(wanted))) & {0}


# Every state of the machine

LIMITS = rolling_batches.RiskLimits(fleet_share=0.7, replica_set_share=1.0, max_zones=2, load_share=1.0)
FLEET = rolling_batches.Fleet(tuple(rolling_batches.Member(rank, "h", 1.0) for rank in range(3)), ())
TERMS = rolling_upgrade.RollSettings(LIMITS, soak_us=10, upgrade_timeout_us=1_000)
CALM, SICK = AnswerCounts(50, 0, 0), AnswerCounts(50, 0, 500)
GRACE = 100_000  # a clock at which every span is over


class Gate(msgspec.Struct):
    """One gateway as it is: its process, what that runs, and its successor's process."""

    pid: int = 1
    new: bool = False
    successor: int = 0  # 0: none that lives
    successor_new: bool = False
    runs: bool = False
    hangs: bool = False
    latest: str = ""
    gone: bool = False


class Fleetwide:
    """A roll, its gateways, and what may befall them; what is kept is all that a killed roll leaves."""

    machine = rolling_upgrade.RollingUpgrade

    def __init__(self, faults: int) -> None:
        self.gates = [Gate() for _ in FLEET.members]
        first = [
            rolling_upgrade.StatusReceived(rank, 1, True, "", CALM, False) for rank in range(len(self.gates))
        ]
        self.roller = self.machine(FLEET, TERMS, rolling_upgrade.start_roll(FLEET, TERMS, first).state)
        self.todo: tuple[rolling_upgrade.Action, ...] = ()
        self.faults = faults
        self._feed(0, rolling_upgrade.TimerFired())

    def key(self):
        return msgspec.json.encode((self.roller.state, self.gates, self.faults)), repr(self.todo)

    def _feed(self, now: int, event: rolling_upgrade.Event) -> None:
        self.todo += tuple(self.roller.handle(now, event))

    def broken_invariant(self) -> str | None:
        state = self.roller.state
        lost = {rank for rank, gate in enumerate(self.gates) if gate.gone}
        risk = {rank for rank, gate in enumerate(self.gates) if gate.successor and gate.runs}
        if not rolling_batches.is_allowed(FLEET, LIMITS, risk):
            return "too many at risk"
        builds = {gate.new for rank, gate in enumerate(self.gates) if rank not in lost}
        if state.phase is rolling_upgrade.Phase.DONE and builds != {True}:
            return "done, and an old build runs"
        if state.phase is rolling_upgrade.Phase.ROLLED_BACK and builds - {False}:
            return "returned, and the new build runs"
        return None

    def is_good(self) -> bool:
        return self.roller.state.phase in rolling_upgrade.FINAL_PHASES

    def moves(self) -> Iterable[tuple[str, Fleetwide]]:
        for name, change in self._all():
            after = copy.copy(self)
            after.gates = [copy.copy(gate) for gate in self.gates]
            after.roller = self.machine(FLEET, TERMS, copy.deepcopy(self.roller.state))
            if name.startswith("!"):
                after.faults -= 1
            change(after)
            yield name, after

    def _all(self) -> Iterable[tuple[str, Any]]:
        if self.roller.state.phase in rolling_upgrade.FINAL_PHASES:
            return
        for action in self.todo[:1]:
            yield repr(action), lambda w, a=action: w._carry_out(a)
        for rank, gate in enumerate(self.gates):
            if not self.todo:
                yield f"look {rank}", lambda w, r=rank: w._look(r, 0)
            if gate.successor and gate.runs and not gate.hangs:
                yield f"pass {rank}", lambda w, r=rank: w._end(r, True)
        if not self.todo:
            yield (
                "time",
                lambda w: w._feed(
                    w.roller.state.soak_started_at_us + TERMS.soak_us, rolling_upgrade.TimerFired()
                ),
            )
            yield "late", lambda w: [w._look(rank, GRACE) for rank in w.roller.in_progress()]
        if self.faults:
            yield from self._mishaps()

    def _mishaps(self) -> Iterable[tuple[str, Any]]:
        for rank, gate in enumerate(self.gates):
            if gate.successor and gate.runs and not gate.hangs:
                yield f"!fail {rank}", lambda w, r=rank: w._end(r, False)
                yield f"!hang {rank}", lambda w, r=rank: setattr(w.gates[r], "hangs", True)
            if gate.new and not self.todo:
                yield f"!sick {rank}", lambda w, r=rank: w._look(r, 0, SICK)
                if not gate.successor:
                    yield f"!gone {rank}", lambda w, r=rank: setattr(w.gates[r], "gone", True)
        yield "!kill", lambda w: w._die()

    def _carry_out(self, action: rolling_upgrade.Action) -> None:
        self.todo = self.todo[1:]
        if isinstance(action, rolling_upgrade.StartSuccessor):
            gate = self.gates[action.rank]
            gate.successor, gate.successor_new, gate.runs, gate.hangs = (
                3 - gate.pid,
                action.new_build,
                False,
                False,
            )
            self._feed(0, rolling_upgrade.SuccessorPrepared(action.rank, gate.successor))
            gate.runs = True
            if gate.gone:
                gate.successor = 0  # nobody hands over to it
        elif isinstance(action, rolling_upgrade.KillSuccessor):
            for rank, gate in enumerate(self.gates):
                if gate.successor == action.pid and gate.hangs:
                    self._end(rank, False)

    def _end(self, rank: int, passed: bool) -> None:
        gate = self.gates[rank]
        if passed:
            gate.pid, gate.new, gate.latest = gate.successor, gate.successor_new, ""
        else:
            gate.latest = "taken back"
        gate.successor, gate.runs, gate.hangs = 0, False, False

    def _look(self, rank: int, now: int, answers: AnswerCounts = CALM) -> None:
        gate = self.gates[rank]
        if gate.gone:
            return self._feed(now, rolling_upgrade.GatewayUnreachable(rank, bool(gate.successor)))
        serving = not (gate.successor and gate.runs)
        self._feed(
            now,
            rolling_upgrade.StatusReceived(
                rank, gate.pid, serving, gate.latest, answers, bool(gate.successor)
            ),
        )

    def _die(self) -> None:
        """Killed and resumed at once; what was prepared and not let run ends with it."""
        for gate in self.gates:
            if gate.successor and not gate.runs:
                gate.successor = 0
        self.todo = ()
        self.todo += tuple(self.roller.resume(0))


def test_every_state_of_a_roll_leads_to_one_build_and_never_risks_too_much():
    found = explore(Fleetwide(2), max_states=400_000)
    assert found.violations == []
    assert found.stuck_paths == []
    assert found.state_count > 2_000


class Forgetful(rolling_upgrade.RollingUpgrade):
    """Takes a successor that it finds dead for one that never ran."""

    def _fail(self, rank: int, one: rolling_upgrade.GatewayState, why: str) -> None:
        one.successor_pid, one.phase = 0, rolling_upgrade.GatewayPhase.OLD


class Hasty(rolling_upgrade.RollingUpgrade):
    """Starts all at once."""

    def _start_next_batch(self) -> list[rolling_upgrade.Action]:
        wanted = [
            rank
            for rank, one in enumerate(self.state.gateways)
            if one.phase is rolling_upgrade.GatewayPhase.OLD
        ]
        return (
            self._start(wanted, rolling_upgrade.GatewayPhase.UPGRADING)
            if wanted
            else self._finish(rolling_upgrade.Phase.DONE)
        )


@pytest.mark.parametrize("broken", [Forgetful, Hasty])
def test_the_search_finds_a_machine_that_is_broken(broken, monkeypatch):
    monkeypatch.setattr(Fleetwide, "machine", broken)
    found = explore(Fleetwide(1))
    assert found.violations or found.stuck_paths


# Whole rolls under load, simulated


class Successors:
    """Starts successors in the simulated world; the new build's of these numbers, in turn, are broken."""

    def __init__(self, backing: SimulatedBacking, broken: dict[int, Any]) -> None:
        self.backing = backing
        self.broken = broken
        self.processes: dict[int, Any] = {}
        self.released: set[int] = set()
        self.started: list[tuple[int, bool]] = []

    def prepare(self, rank: int, new: bool) -> int:
        world = self.backing.world
        number = sum(new for _, new in self.started)
        process = world.start(f"gw-{rank}", self._succeed, rank, self.broken.get(number) if new else None)
        pid = world.id_of(process)
        self.processes[pid] = process
        self.started.append((rank, new))
        return pid

    def _succeed(self, rank: int, broken: Any) -> None:
        backing = self.backing
        while backing.world.process_id() not in self.released:
            backing.loop.sleep(MS)
        program = backing.program(backing.own_fleet(rank), rank, True)
        if broken is not None:
            backing.loop.spawn(broken, program, kind=CONTROL)
        program.run()
        if not program.failure:
            backing.world.kill(backing.loop.process)

    def release(self, pid: int) -> None:
        self.released.add(pid)

    def alive(self, pid: int) -> bool:
        return not self.processes[pid].dead and bool(self.processes[pid].tasks)

    def kill(self, pid: int) -> None:
        self.backing.world.kill(self.processes[pid])


REJECTING: list[PolicyState] = []  # gateways that admit nothing


@pytest.fixture
def rejecting(monkeypatch):
    """Gateways that are in REJECTING admit nothing, for one test."""
    admits = admission.admits

    def admits_or_rejects(state, event, account) -> bool:
        return state not in REJECTING and admits(state, event, account)

    monkeypatch.setattr(admission, "admits", admits_or_rejects)
    yield
    REJECTING.clear()


def crashes(program) -> None:
    while not program.ready:
        program.loop.sleep(10 * MS)
    program.loop.sleep(100 * MS)
    program.loop.world.kill(program.loop.process)


def refuses(program) -> None:
    while not program.ready:
        program.loop.sleep(MS)
    REJECTING.append(program.host.gateway)


def does_not_call(program) -> None:
    program.loop.freeze(program.loop.process)


class Rolled:
    """A fleet of eight under load, rolled; with the audit's verdict at the end."""

    def __init__(self, broken: dict[int, Any] | None = None) -> None:
        self.world = SimWorld(7)
        self.loop = Loop(self.world)
        self.backing = SimulatedBacking(self.loop, self.world)
        self.plan = make_plan(day(span=14, rate=120.0, gateways=8), "sim", self.backing.free_addresses)
        fleet = self.plan.fleet
        terms = {"probation_us": Duration(800 * MS), "transfer_timeout_us": Duration(2 * SECOND)}
        self.plan.fleet = msgspec.structs.replace(
            fleet,
            hot_restart=msgspec.structs.replace(fleet.hot_restart, **terms),
            rolling_upgrade=msgspec.structs.replace(fleet.rolling_upgrade, soak_us=Duration(800 * MS)),
        )
        self.backing.prepare(self.plan)
        self.starter = Successors(self.backing, broken or {})
        self.told: list[str] = []

    def rolling(self) -> RollDriver:
        return RollDriver(self.loop, self.plan.fleet, self.starter, self.told.append)

    def builds(self) -> list[bool]:
        """Whether each gateway runs the new build, by the processes themselves."""
        started = zip(self.starter.processes, self.starter.started, strict=True)
        news = {pid for pid, (_, new) in started if new}
        return [self.rolling()._request_status(rank).pid in news for rank in range(8)]

    def run(self, drive) -> Any:
        runner = Runner(self.loop, self.plan, self.backing)
        found: list[Any] = []

        def driven() -> None:
            while runner.crowd is None or runner.crowd.sent < 120:
                self.loop.sleep(50 * MS)
            drive(self)
            runner.end_load()

        def both() -> None:
            self.loop.spawn(driven, kind=CONTROL, process=self.loop.home)
            found.append(runner.run())

        self.loop.run(both)
        assert found[0].rules == dict.fromkeys("12345", True), found[0].as_json()
        return found[0]


def test_a_roll_of_eight_gateways_under_load_loses_nothing():
    def drive(rolled: Rolled) -> None:
        rolling = rolled.rolling()
        rolling.begin(("old", "new"))
        assert rolling.run().phase is rolling_upgrade.Phase.DONE
        assert rolled.builds() == [True] * 8
        with pytest.raises(ValueError, match="no unfinished roll"):
            rolled.rolling().resume()

    rolled = Rolled()
    verdict = rolled.run(drive)
    assert rolled.starter.started[0][1] and len(rolled.starter.started) == 8
    batches = [line for line in rolled.told if line == "rolling -> soaking"]
    assert 4 <= len(batches) <= 6  # 1, then 2 at once at most
    assert verdict.answers.get("reset", 0) == 0


@pytest.mark.parametrize("broken", [crashes, refuses, does_not_call], ids=lambda one: one.__name__)
def test_a_roll_with_one_broken_build_stops_and_goes_back(broken, rejecting):
    def drive(rolled: Rolled) -> None:
        rolling = rolled.rolling()
        rolling.begin(("old", "new"))
        rolling.upgrade.settings = msgspec.structs.replace(
            rolling.upgrade.settings, upgrade_timeout_us=4 * SECOND
        )
        rolled.state = rolling.run()
        assert rolled.builds() == [False] * 8

    rolled = Rolled({3: broken})
    rolled.run(drive)
    assert rolled.state.phase is rolling_upgrade.Phase.ROLLED_BACK
    assert "gateway" in rolled.state.reason
    went = [rank for rank, new in rolled.starter.started if new]
    assert len(went) < 8
    assert any(not new for _, new in rolled.starter.started)


@pytest.mark.parametrize("at", [1, 4, 7])
def test_a_roll_that_is_killed_goes_on_from_what_it_wrote_down(at):
    """Killed at its n-th write, once before and once after it reaches the disk."""

    def drive(rolled: Rolled) -> None:
        world, writes = rolled.world, [0]
        plain = world.write_file

        def write(path: str, data: bytes) -> None:
            if not path.endswith("roll.json"):
                return plain(path, data)
            writes[0] += 1
            if writes[0] == at and at % 2:
                world.kill(rolled.loop.process)
            plain(path, data)
            if writes[0] == at:
                world.kill(rolled.loop.process)
                rolled.loop.sleep(1)

        def work() -> None:
            rolling = rolled.rolling()
            rolling.begin(("old", "new"))
            rolling.run()

        world.write_file = write
        process = world.start("roll", work)
        while not process.dead:
            rolled.loop.sleep(20 * MS)
        world.write_file = plain
        for pid, prepared in rolled.starter.processes.items():
            if pid not in rolled.starter.released:  # it waited for the word of a roll that is dead
                world.kill(prepared)
        rolling = rolled.rolling()
        left = rolling.load_stored()
        if left is None:
            rolling.begin(("old", "new"))
            state = rolling.run()
        else:
            with pytest.raises(UnfinishedRollError, match="resume or recall"):
                rolled.rolling().begin(("old", "new"))
            state = rolling.run(rolling.resume())
        assert state.phase is rolling_upgrade.Phase.DONE
        assert rolled.builds() == [True] * 8

    Rolled().run(drive)


def test_a_roll_that_was_interrupted_is_recalled():
    def drive(rolled: Rolled) -> None:
        rolling = rolled.rolling()
        rolling.begin(("old", "new"))
        first = rolled.loop.spawn(rolling.run, kind=CONTROL)
        while (
            sum(one.phase is rolling_upgrade.GatewayPhase.UPGRADED for one in rolling.upgrade.state.gateways)
            < 3
        ):
            rolled.loop.sleep(20 * MS)
        rolled.loop.cancel(first)
        again = rolled.rolling()
        state = again.run(again.resume(), rollback_reason="asked for")
        assert (state.phase, state.reason) == (rolling_upgrade.Phase.ROLLED_BACK, "asked for")
        assert rolled.builds() == [False] * 8

    Rolled().run(drive)
