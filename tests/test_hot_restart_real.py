"""Hot restarts and rolling upgrades of real processes under load, some to broken builds."""

from __future__ import annotations

import json
import subprocess
import sys
import time
from pathlib import Path

import pytest
from harness.recording_harness import run_command
from harness.scenarios import ALL_RULES_HOLD, make_scenario

from orchidlane.runtime import EventLoop, RealBackend
from orchidlane.simulation.background_load import run_during_load
from orchidlane.simulation.mutants import BROKEN_BUILDS, make_build
from orchidlane.simulation.process_backend import ProcessFleetBackend
from orchidlane.simulation.scenario_plan import make_plan
from orchidlane.simulation.scenario_runner import ScenarioRunner

pytestmark = pytest.mark.usefixtures("quiet_log")


@pytest.fixture(scope="module")
def builds(tmp_path_factory) -> dict[str, str]:
    """Return the command of each broken build."""
    return {
        name: make_build(tmp_path_factory.mktemp("build"), change) for name, change in BROKEN_BUILDS.items()
    }


def test_hot_restarts_of_real_processes_answer_each_request_once_in_time(tmp_path, builds):
    """Good and broken builds in turn under steady load; the audit checks what passed on the sockets."""
    builds_in_turn = [
        "",
        "does not start",
        "crashes with the listeners",
        "crashes as it serves",
        "fails as it serves",
        "refuses everything",
        "",
    ]
    fleet_backend = ProcessFleetBackend(str(tmp_path))
    scenario = make_scenario(span=300, request_rate=60.0)  # the load stops after the last hot restart
    plan = make_plan(scenario, str(tmp_path), fleet_backend.free_addresses)
    assert 'trial: "5s"' in plan.settings_text
    plan.settings_text = plan.settings_text.replace('trial: "5s"', 'trial: "1s"')
    fleet_backend.prepare(plan)
    loop = EventLoop(RealBackend(3))
    runner = ScenarioRunner(loop, plan, fleet_backend)
    outcomes: list[tuple[str, int, str]] = []

    def run_hot_restarts() -> None:
        for name in builds_in_turn:
            arguments = ["upgrade", str(tmp_path / "gw-0.cue"), "--log", str(tmp_path / "new.log")]
            arguments += ["--program", builds[name]] if name else []
            completed = subprocess.run(
                [sys.executable, "-m", "orchidlane", *arguments], capture_output=True, text=True, timeout=60
            )
            outcomes.append((name, completed.returncode, completed.stdout.strip()))

    verdict = run_during_load(runner, run_hot_restarts)
    exit_codes = [(name, code) for name, code, _ in outcomes]
    assert exit_codes == [(name, int(bool(name))) for name in builds_in_turn], outcomes
    report = verdict.as_json()
    assert verdict.rules == ALL_RULES_HOLD, report
    assert (report["missing"], report["doubled"], report["late"]) == (0, 0, 0)
    assert verdict.responses["200"] > 300
    assert verdict.responses.get("reset", 0) == 0, report
    assert json.dumps(report)
    assert run_command("upgrade", str(tmp_path / "fleet.cue"))[0] == 2


class RollCommands:
    """Runs the ``roll`` command for a fleet, and keeps exit codes and outputs by the name of the run."""

    def __init__(self, tmp_path: Path, builds: dict[str, str]) -> None:
        self.builds = builds
        self.stored_roll = tmp_path / "roll.json"
        settings, log = str(tmp_path / "gw-0.cue"), str(tmp_path / "new.log")
        self.command = [sys.executable, "-m", "orchidlane", "roll", settings, "--log", log]
        self.command += ["--each", str(tmp_path / "gw-{rank}.cue")]
        self.exit_codes: dict[str, int] = {}
        self.outputs: dict[str, str] = {}

    def run(self, name: str, *arguments: str) -> None:
        """Run the command until it exits."""
        completed = subprocess.run([*self.command, *arguments], capture_output=True, text=True, timeout=90)
        self.exit_codes[name] = completed.returncode
        self.outputs[name] = completed.stdout + completed.stderr

    def _has_new_gateway(self) -> bool:
        """Return whether a gateway runs the new build according to the stored state."""
        return self.stored_roll.exists() and b'"new"' in self.stored_roll.read_bytes().split(b'"ones"')[1]

    def run_all(self) -> None:
        """Start a rolling upgrade, kill it and resume it; then start one to a broken build."""
        this_program = f"{sys.executable} -m orchidlane"
        first_roll = subprocess.Popen([*self.command, "--program", this_program], stdout=subprocess.PIPE)
        deadline = time.monotonic() + 60
        while not self._has_new_gateway():
            assert time.monotonic() < deadline
            assert first_roll.poll() is None
            time.sleep(0.02)
        self.run("concurrent", "--program", this_program)
        first_roll.kill()
        first_roll.communicate()
        self.run("new while unfinished", "--program", this_program)
        self.run("status", "--status")
        self.run("resumed", "--resume")
        self.run("broken", "--program", self.builds["crashes as it serves"], "--back", this_program)
        self.run("resumed after the end", "--resume")


def test_roll_of_real_processes_can_be_killed_resumed_and_rolled_back(tmp_path, builds):
    """The audit checks what passed on the sockets during all of the runs."""
    fleet_backend = ProcessFleetBackend(str(tmp_path))
    plan = make_plan(make_scenario(span=300, request_rate=80.0), str(tmp_path), fleet_backend.free_addresses)
    plan.settings_text = plan.settings_text.replace('trial: "5s"', 'trial: "700ms"').replace(
        'soak: "5s"', 'soak: "500ms"'
    )
    fleet_backend.prepare(plan)
    roll = RollCommands(tmp_path, builds)
    verdict = run_during_load(ScenarioRunner(EventLoop(RealBackend(4)), plan, fleet_backend), roll.run_all)
    expected = {
        "concurrent": 2,
        "new while unfinished": 2,
        "status": 0,
        "resumed": 0,
        "broken": 1,
        "resumed after the end": 2,
    }
    assert roll.exit_codes == expected, roll.outputs
    assert "another roll is under way" in roll.outputs["concurrent"]
    assert "resume or recall it" in roll.outputs["new while unfinished"]
    assert roll.outputs["status"].startswith(("rolling", "soaking")), roll.outputs
    assert roll.outputs["resumed"].endswith("done\n")
    assert "returned: gateway" in roll.outputs["broken"]
    assert "the new process exited" in roll.outputs["broken"]
    assert verdict.rules == ALL_RULES_HOLD, verdict.as_json()
    assert verdict.responses.get("reset", 0) == 0, verdict.as_json()
