"""Hot restarts and rolls of real processes on loopback sockets under load, some with broken builds."""

from __future__ import annotations

import json
import subprocess
import sys
import time
from pathlib import Path

import pytest
from harness.event_story import run_command
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


def test_hot_restarts_of_real_processes_lose_duplicate_and_delay_nothing(tmp_path, builds):
    """Good and broken builds in turn under steady load; the audit observes the sockets."""
    builds_in_turn = [
        "",
        "does not start",
        "crashes with the listeners",
        "crashes as it serves",
        "fails as it serves",
        "refuses everything",
        "",
    ]
    backing = ProcessFleetBackend(str(tmp_path))
    scenario = make_scenario(span=300, request_rate=60.0)  # it ends with the upgrades
    plan = make_plan(scenario, str(tmp_path), backing.free_addresses)
    assert 'trial: "5s"' in plan.settings_text
    plan.settings_text = plan.settings_text.replace('trial: "5s"', 'trial: "1s"')
    backing.prepare(plan)
    loop = EventLoop(RealBackend(3))
    runner = ScenarioRunner(loop, plan, backing)
    outcomes: list[tuple[str, int, str]] = []

    def upgrade_all() -> None:
        for name in builds_in_turn:
            arguments = ["upgrade", str(tmp_path / "gw-0.cue"), "--log", str(tmp_path / "new.log")]
            arguments += ["--program", builds[name]] if name else []
            done = subprocess.run(
                [sys.executable, "-m", "orchidlane", *arguments], capture_output=True, text=True, timeout=60
            )
            outcomes.append((name, done.returncode, done.stdout.strip()))

    verdict = run_during_load(runner, upgrade_all)
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
    """Runs the roll command on a fleet's files, and keeps exit codes and output by a name."""

    def __init__(self, tmp_path: Path, builds: dict[str, str]) -> None:
        self.builds = builds
        self.stored_roll = tmp_path / "roll.json"
        settings, log = str(tmp_path / "gw-0.cue"), str(tmp_path / "new.log")
        self.command = [sys.executable, "-m", "orchidlane", "roll", settings, "--log", log]
        self.command += ["--each", str(tmp_path / "gw-{rank}.cue")]
        self.exit_codes: dict[str, int] = {}
        self.outputs: dict[str, str] = {}

    def run(self, name: str, *arguments: str) -> None:
        """Run the command to its end."""
        done = subprocess.run([*self.command, *arguments], capture_output=True, text=True, timeout=90)
        self.exit_codes[name] = done.returncode
        self.outputs[name] = done.stdout + done.stderr

    def _has_new_gateway(self) -> bool:
        """Return whether the stored state has a gateway that runs the new build."""
        return self.stored_roll.exists() and b'"new"' in self.stored_roll.read_bytes().split(b'"ones"')[1]

    def run_all(self) -> None:
        """Start a roll, kill it and resume it; then roll to a broken build."""
        this_program = f"{sys.executable} -m orchidlane"
        started = subprocess.Popen([*self.command, "--program", this_program], stdout=subprocess.PIPE)
        deadline = time.monotonic() + 60
        while not self._has_new_gateway():
            assert time.monotonic() < deadline
            assert started.poll() is None
            time.sleep(0.02)
        self.run("beside", "--program", this_program)
        started.kill()
        started.communicate()
        self.run("anew", "--program", this_program)
        self.run("status", "--status")
        self.run("resumed", "--resume")
        self.run("broken", "--program", self.builds["crashes as it serves"], "--back", this_program)
        self.run("over", "--resume")


def test_roll_of_real_processes_is_killed_resumed_and_rolled_back(tmp_path, builds):
    """The roll is killed and resumed, then meets a broken build; the audit observes the sockets."""
    backing = ProcessFleetBackend(str(tmp_path))
    plan = make_plan(make_scenario(span=300, request_rate=80.0), str(tmp_path), backing.free_addresses)
    plan.settings_text = plan.settings_text.replace('trial: "5s"', 'trial: "700ms"').replace(
        'soak: "5s"', 'soak: "500ms"'
    )
    backing.prepare(plan)
    roll = RollCommands(tmp_path, builds)
    verdict = run_during_load(ScenarioRunner(EventLoop(RealBackend(4)), plan, backing), roll.run_all)
    expected = {"beside": 2, "anew": 2, "status": 0, "resumed": 0, "broken": 1, "over": 2}
    assert roll.exit_codes == expected, roll.outputs
    assert "another roll is under way" in roll.outputs["beside"]
    assert "resume or recall it" in roll.outputs["anew"]
    assert roll.outputs["status"].startswith(("rolling", "soaking")), roll.outputs
    assert roll.outputs["resumed"].endswith("done\n")
    assert "returned: gateway" in roll.outputs["broken"]
    assert "the new process exited" in roll.outputs["broken"]
    assert verdict.rules == ALL_RULES_HOLD, verdict.as_json()
    assert verdict.responses.get("reset", 0) == 0, verdict.as_json()
