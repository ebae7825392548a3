"""Tools against gateways: records replay without a difference, and tools agree with live gateways."""

from __future__ import annotations

import json

from click.testing import CliRunner
from harness.event_story import run_command
from test_day import MATERIALS, day, quiet, step  # noqa: F401

from orchidlane import recording
from orchidlane.cli.main import main
from orchidlane.runtime import EventLoop, RealBackend, SimulatedBackend
from orchidlane.simulation.process_backend import ProcessFleetBackend
from orchidlane.simulation.scenario import load_scenario
from orchidlane.simulation.scenario_plan import make_plan
from orchidlane.simulation.scenario_runner import ScenarioRunner
from orchidlane.simulation.simulated_fleet import SimulatedFleetBackend


def test_the_record_of_a_day_of_faults_replays_without_difference(tmp_path):
    backend = SimulatedBackend(4)
    loop = EventLoop(backend)
    backing = SimulatedFleetBackend(loop, backend, record_to="rec")
    plan = make_plan(load_scenario(str(MATERIALS / "bad.cue")), "sim", backing.free_addresses)
    backing.prepare(plan)
    loop.run(ScenarioRunner(loop, plan, backing).run)
    for name, data in backend.files.items():
        if name.startswith("rec/"):
            (tmp_path / name[4:]).write_bytes(data)
    result = CliRunner().invoke(main, ["replay", str(tmp_path), "--json"])
    assert result.exit_code == 0, result.output
    output = json.loads(result.output)
    assert output["differences"] == 0
    assert output["lives"] >= 7
    assert output["events"] > 8_000


def test_tools_agree_with_live_gateways(tmp_path):
    """Each tool against a fleet of processes under load; what they say is what the gateways then do."""
    backing = ProcessFleetBackend(str(tmp_path), records=True)
    plan = make_plan(day(span=3, quota_request_rate=10.0), str(tmp_path), backing.free_addresses)
    backing.prepare(plan)
    loop, said = EventLoop(RealBackend(1)), {}
    runner = ScenarioRunner(loop, plan, backing)
    admins = [gateway.admin for gateway in plan.fleet.gateways]
    fleet_file = str(tmp_path / "gw-0.cue")

    def ask() -> None:
        while runner.http_clients is None or runner.http_clients.sent_count < 40:
            loop.sleep(20_000)
        said["counts"] = loop.backend.run_in_thread(
            lambda: run_command("counts", admins[0], "subscriber 3", "--json")
        )
        said["none"] = loop.backend.run_in_thread(lambda: run_command("counts", admins[0], "nobody"))
        said["nodes"] = loop.backend.run_in_thread(lambda: run_command("nodes", admins[1], "--json"))
        said["state"] = loop.backend.run_in_thread(lambda: run_command("state", admins[2], "--json"))
        said["plan"] = loop.backend.run_in_thread(
            lambda: run_command("counts", fleet_file, "--plan", "amplio", "--json")
        )
        said["all"] = loop.backend.run_in_thread(
            lambda: run_command("counts", fleet_file, "subscriber 3", "--json")
        )
        said["number"] = loop.backend.run_in_thread(lambda: run_command("counts", admins[0], "4", "--json"))
        said["top"] = loop.backend.run_in_thread(lambda: run_command("top", fleet_file, "--json"))
        said["diff"] = loop.backend.run_in_thread(
            lambda: run_command("diff", admins[0], admins[1], "subscriber 3", "--json")
        )

    loop.run(lambda: (loop.spawn(ask, process=loop.main_process), runner.run()))
    code, text = said["counts"]
    assert code == 0, text
    counts = json.loads(text)
    assert counts["decision"] in ("sent", "refused", "held")
    assert counts["spent"] <= sum(counts["counts"].values()) + 40
    assert said["none"][0] == 2
    nodes = json.loads(said["nodes"][1])
    assert len(nodes) == len(plan.endpoints)
    assert sum(node["next"] for node in nodes) > 0
    assert said["diff"][0] in (0, 1)
    state = json.loads(said["state"][1])
    assert (state["gateway"], state["draining"], len(state["peers heard"])) == ("gw-2", False, 2)
    assert state["build"] == recording.build_name()
    plans = json.loads(said["plan"][1])
    assert [row["gateway"] for row in plans] == ["gw-0", "gw-1", "gw-2"]
    assert all(row["customers"] > 0 and row["pressed"] for row in plans)
    assert [row["plan"] for row in json.loads(said["all"][1])] == ["amplio"] * 3
    assert json.loads(said["number"][1])["plan"] == "amplio"  # the same customer by its number
    rows = json.loads(said["top"][1])
    assert all(row["up"] and row["nodes"] == len(plan.endpoints) for row in rows)
    assert sum(row["served"] for row in rows) > 0
    code, text = run_command("replay", str(tmp_path), "--json")
    assert code == 0, text
    assert json.loads(text)["events"] > 500
    code, text = run_command("replay", str(tmp_path), "--what-if", str(MATERIALS / "fleet.cue"))
    assert code == 0, text
    code, text = run_command("explain", str(tmp_path), "1")
    assert code == 0
    assert "RequestArrived(request=1" in text
    assert run_command("explain", str(tmp_path), "4000000000")[0] == 1
    assert not any(b"key-of-" in path.read_bytes() for path in tmp_path.glob("*.olr"))
