"""Rolling upgrades of a simulated fleet under load, with broken new builds and killed drivers."""

from __future__ import annotations

import msgspec
import pytest
from harness.constants import MS, SECOND
from harness.roll_harness import RollHarness, Sabotage
from harness.scenarios import make_scenario

from orchidlane.gateway.lifecycle.rolling_upgrade import UnfinishedRollError
from orchidlane.hot_restart.rolling_upgrade import GatewayPhase, Phase
from orchidlane.policy import admission
from orchidlane.policy.state import PolicyState
from orchidlane.runtime import CONTROL

pytestmark = pytest.mark.usefixtures("quiet_log")

REJECTING: list[PolicyState] = []  # policies that admit no request


@pytest.fixture
def rejecting(monkeypatch):
    """Let the policies in ``REJECTING`` admit no request, for the duration of one test."""
    admits = admission.admits

    def admits_or_rejects(state, event, account) -> bool:
        return state not in REJECTING and admits(state, event, account)

    monkeypatch.setattr(admission, "admits", admits_or_rejects)
    yield
    REJECTING.clear()


def crash(gateway) -> None:
    """Crash the gateway 100 ms after it has started to serve."""
    while not gateway.ready:
        gateway.loop.sleep(10 * MS)
    gateway.loop.sleep(100 * MS)
    gateway.loop.backend.kill(gateway.loop.process)


def reject_everything(gateway) -> None:
    """Let the gateway admit no request from its start on."""
    while not gateway.ready:
        gateway.loop.sleep(MS)
    REJECTING.append(gateway.policy_driver.gateway)


def hang_before_hello(gateway) -> None:
    """Stall the gateway before it connects to the old process."""
    gateway.loop.freeze(gateway.loop.process)


def make_harness(sabotages: dict[int, Sabotage] | None = None) -> RollHarness:
    return RollHarness(make_scenario(span=14, request_rate=120.0, gateway_count=8), sabotages)


def test_roll_of_eight_gateways_under_load_loses_no_request():
    def drive(harness: RollHarness) -> None:
        assert harness.start_roll().run().phase is Phase.DONE
        assert harness.builds() == [True] * 8
        with pytest.raises(ValueError, match="no unfinished roll"):
            harness.make_driver().resume()

    harness = make_harness()
    verdict = harness.run(drive)
    assert harness.starter.started[0][1]
    assert len(harness.starter.started) == 8
    soaks = [line for line in harness.reports if line == "rolling -> soaking"]
    assert 4 <= len(soaks) <= 6  # batches: 1 gateway first, then at most 2
    assert verdict.responses.get("reset", 0) == 0


@pytest.mark.usefixtures("rejecting")
@pytest.mark.parametrize(
    "sabotage", [crash, reject_everything, hang_before_hello], ids=lambda sabotage: sabotage.__name__
)
def test_roll_with_one_broken_build_stops_and_rolls_back(sabotage):
    states = []

    def drive(harness: RollHarness) -> None:
        driver = harness.start_roll()
        driver.upgrade.settings = msgspec.structs.replace(
            driver.upgrade.settings, upgrade_timeout_us=4 * SECOND
        )
        states.append(driver.run())
        assert harness.builds() == [False] * 8

    harness = make_harness({3: sabotage})
    harness.run(drive)
    (state,) = states
    assert state.phase is Phase.ROLLED_BACK
    assert "gateway" in state.reason
    upgraded = [rank for rank, new_build in harness.starter.started if new_build]
    assert len(upgraded) < 8
    assert any(not new_build for _, new_build in harness.starter.started)


class KillAtWrite:
    """Runs a roll in a process that is killed at a given write of its state.

    At a write with an odd number the process is killed before the data reaches the disk, otherwise after.
    """

    def __init__(self, harness: RollHarness, fatal_write: int) -> None:
        self.harness = harness
        self.fatal_write = fatal_write
        self.writes = 0
        self.write_file = harness.backend.write_file
        harness.backend.write_file = self.write_and_kill
        process = harness.backend.start("roll", lambda: harness.start_roll().run())
        while not process.is_dead:
            harness.loop.sleep(20 * MS)
        harness.backend.write_file = self.write_file
        harness.starter.kill_unreleased()

    def write_and_kill(self, path: str, data: bytes) -> None:
        """Write a file, and kill the roll at the given write of its state."""
        if not path.endswith("roll.json"):
            self.write_file(path, data)
            return
        loop = self.harness.loop
        self.writes += 1
        if self.writes == self.fatal_write and self.fatal_write % 2:
            self.harness.backend.kill(loop.process)
        self.write_file(path, data)
        if self.writes == self.fatal_write:
            self.harness.backend.kill(loop.process)
            loop.sleep(1)


@pytest.mark.parametrize("fatal_write", [1, 4, 7])
def test_killed_roll_is_resumed_from_its_stored_state(fatal_write):
    def drive(harness: RollHarness) -> None:
        KillAtWrite(harness, fatal_write)
        driver = harness.make_driver()
        if driver.load_stored() is None:
            state = harness.start_roll().run()
        else:
            with pytest.raises(UnfinishedRollError, match="resume or recall"):
                harness.start_roll()
            state = driver.run(driver.resume())
        assert state.phase is Phase.DONE
        assert harness.builds() == [True] * 8

    make_harness().run(drive)


def test_interrupted_roll_is_rolled_back_on_request():
    def drive(harness: RollHarness) -> None:
        driver = harness.start_roll()
        running = harness.loop.spawn(driver.run, priority=CONTROL)
        gateways = driver.upgrade.state.gateways
        while sum(gateway.phase is GatewayPhase.UPGRADED for gateway in gateways) < 3:
            harness.loop.sleep(20 * MS)
        harness.loop.cancel(running)
        resumed = harness.make_driver()
        state = resumed.run(resumed.resume(), rollback_reason="asked for")
        assert (state.phase, state.reason) == (Phase.ROLLED_BACK, "asked for")
        assert harness.builds() == [False] * 8

    make_harness().run(drive)
