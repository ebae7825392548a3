"""Upgrades of real processes on loopback sockets under load, a third of them with broken builds."""

from __future__ import annotations

import json
import subprocess
import sys
import time

import pytest
from harness.event_story import run_command
from test_day import day, quiet  # noqa: F401

from orchidlane.runtime import Loop, RealWorld
from orchidlane.simulation.backends import RealBacking, play_while
from orchidlane.simulation.mutants import BROKEN_BUILDS, make_build
from orchidlane.simulation.scenario import Runner, make_plan


@pytest.fixture(scope="module")
def builds(tmp_path_factory) -> dict[str, str]:
    """The command of each broken build."""
    return {
        name: make_build(tmp_path_factory.mktemp("build"), change) for name, change in BROKEN_BUILDS.items()
    }


def test_upgrades_of_real_processes_lose_double_and_delay_nothing(tmp_path, builds):
    """Good and broken successors in turn under steady load; the audit goes by the sockets."""
    order = [
        "",
        "does not start",
        "crashes with the listeners",
        "crashes as it serves",
        "fails as it serves",
        "refuses everything",
        "",
    ]
    backing = RealBacking(str(tmp_path))
    slow = day(span=300, rate=60.0)  # it ends with the work
    plan = make_plan(slow, str(tmp_path), backing.free_addresses)
    assert 'trial: "5s"' in plan.text
    plan.text = plan.text.replace('trial: "5s"', 'trial: "1s"')
    backing.prepare(plan)
    loop = Loop(RealWorld(3))
    runner = Runner(loop, plan, backing)
    ends: list[tuple[str, int, str]] = []

    def upgrade_all() -> None:
        for name in order:
            arguments = ["upgrade", str(tmp_path / "gw-0.cue"), "--log", str(tmp_path / "new.log")]
            arguments += ["--program", builds[name]] if name else []
            done = subprocess.run(
                [sys.executable, "-m", "orchidlane", *arguments], capture_output=True, text=True, timeout=60
            )
            ends.append((name, done.returncode, done.stdout.strip()))

    verdict = play_while(runner, upgrade_all)
    assert [(name, code) for name, code, _ in ends] == [(name, int(bool(name))) for name in order], ends
    told = verdict.as_json()
    assert verdict.rules == dict.fromkeys("12345", True), told
    assert (told["missing"], told["doubled"], told["late"]) == (0, 0, 0)
    assert verdict.answers["200"] > 300
    assert verdict.answers.get("reset", 0) == 0, told
    assert json.dumps(told)
    assert run_command("upgrade", str(tmp_path / "fleet.cue"))[0] == 2


def test_a_roll_of_real_processes_is_killed_resumed_and_taken_back(tmp_path, builds):
    """kill -9 of the roll in the midst, a resume, then a broken build; the audit goes by the sockets."""
    backing = RealBacking(str(tmp_path))
    plan = make_plan(day(span=300, rate=80.0), str(tmp_path), backing.free_addresses)
    plan.text = plan.text.replace('trial: "5s"', 'trial: "700ms"').replace('soak: "5s"', 'soak: "500ms"')
    backing.prepare(plan)
    settings = str(tmp_path / "gw-0.cue")
    command = [sys.executable, "-m", "orchidlane", "roll", settings, "--log", str(tmp_path / "new.log")]
    command += ["--each", str(tmp_path / "gw-{rank}.cue")]
    told: dict[str, tuple[int, str]] = {}

    def roll(name: str, *arguments: str) -> None:
        done = subprocess.run([*command, *arguments], capture_output=True, text=True, timeout=90)
        told[name] = done.returncode, done.stdout + done.stderr

    def roll_all() -> None:
        this = f"{sys.executable} -m orchidlane"
        started = subprocess.Popen([*command, "--program", this], stdout=subprocess.PIPE)
        by = time.monotonic() + 60
        kept = tmp_path / "roll.json"
        while not (kept.exists() and b'"new"' in kept.read_bytes().split(b'"ones"')[1]):
            assert time.monotonic() < by and started.poll() is None
            time.sleep(0.02)
        roll("beside", "--program", this)
        started.kill()
        started.communicate()
        roll("anew", "--program", this)
        roll("status", "--status")
        roll("resumed", "--resume")
        roll("broken", "--program", builds["crashes as it serves"], "--back", this)
        roll("over", "--resume")

    verdict = play_while(Runner(Loop(RealWorld(4)), plan, backing), roll_all)
    codes = {name: code for name, (code, _) in told.items()}
    assert codes == {"beside": 2, "anew": 2, "status": 0, "resumed": 0, "broken": 1, "over": 2}, told
    assert "another roll is under way" in told["beside"][1]
    assert "resume or recall it" in told["anew"][1]
    assert told["status"][1].startswith(("rolling", "soaking")), told
    assert told["resumed"][1].endswith("done\n")
    assert "returned: gateway" in told["broken"][1] and "its process ended" in told["broken"][1]
    assert verdict.rules == dict.fromkeys("12345", True), verdict.as_json()
    assert verdict.answers.get("reset", 0) == 0, verdict.as_json()
