"""Tools with live gateways: their records replay without a difference, and tools show what they do."""

from __future__ import annotations

import json
from functools import partial
from pathlib import Path
from typing import Any, NamedTuple

import pytest
from click.testing import CliRunner
from harness.constants import MATERIALS
from harness.recording_harness import run_command
from harness.scenarios import load_example, make_scenario

from orchidlane import recording
from orchidlane.cli.main import main
from orchidlane.runtime import EventLoop, RealBackend
from orchidlane.runtime.simulated_backend import SimulatedBackend
from orchidlane.simulation.process_backend import ProcessFleetBackend
from orchidlane.simulation.scenario_plan import make_plan
from orchidlane.simulation.scenario_runner import ScenarioRunner, run_in_loop
from orchidlane.simulation.simulated_fleet import SimulatedFleetBackend

pytestmark = pytest.mark.usefixtures("quiet_log")

CLIENT_REQUESTS_BEFORE_TOOLS = 40


def test_the_record_of_a_scenario_with_faults_replays_without_difference(tmp_path):
    backend = SimulatedBackend(4)
    loop = EventLoop(backend)
    fleet_backend = SimulatedFleetBackend(loop, backend, record_to="rec")
    plan = make_plan(load_example("bad.cue"), "sim", fleet_backend.free_addresses)
    fleet_backend.prepare(plan)
    loop.run(ScenarioRunner(loop, plan, fleet_backend).run)
    for name, data in backend.files.items():
        if name.startswith("rec/"):
            (tmp_path / name[4:]).write_bytes(data)
    result = CliRunner().invoke(main, ["replay", str(tmp_path), "--json"])
    assert result.exit_code == 0, result.output
    output = json.loads(result.output)
    assert output["differences"] == 0
    assert output["lives"] >= 7
    assert output["events"] > 8_000


class ToolRun(NamedTuple):
    """Exit codes and outputs of tools that ran while a fleet served; ``folder`` has the fleet's records."""

    folder: Path
    endpoint_count: int
    results: dict[str, tuple[int, str]]

    def output(self, name: str) -> Any:
        """Return what a tool printed as JSON."""
        return json.loads(self.results[name][1])


@pytest.fixture(scope="module")
def tool_run(tmp_path_factory) -> ToolRun:
    """Run each tool against a fleet of processes under load."""
    folder = tmp_path_factory.mktemp("fleet")
    fleet_backend = ProcessFleetBackend(str(folder), records=True)
    scenario = make_scenario(span=3, quota_request_rate=10.0)
    plan = make_plan(scenario, str(folder), fleet_backend.free_addresses)
    fleet_backend.prepare(plan)
    runner = ScenarioRunner(EventLoop(RealBackend(1)), plan, fleet_backend)
    admins = [gateway.admin for gateway in plan.fleet.gateways]
    commands = tool_commands(admins, str(folder / "gw-0.cue"))
    results = {}

    def run_tools() -> None:
        while runner.http_clients is None or runner.http_clients.sent_count < CLIENT_REQUESTS_BEFORE_TOOLS:
            runner.loop.sleep(20_000)
        for name, arguments in commands.items():
            results[name] = runner.loop.backend.run_in_thread(partial(run_command, *arguments))

    run_in_loop(runner, run_tools)
    return ToolRun(folder, len(plan.endpoints), results)


def tool_commands(admins: list[str], fleet_file: str) -> dict[str, tuple[str, ...]]:
    """Return the arguments of the tools, in the order in which they run."""
    return {
        "counts": ("counts", admins[0], "subscriber 3", "--json"),
        "unknown customer": ("counts", admins[0], "nobody"),
        "nodes": ("nodes", admins[1], "--json"),
        "state": ("state", admins[2], "--json"),
        "plan": ("counts", fleet_file, "--plan", "amplio", "--json"),
        "all gateways": ("counts", fleet_file, "subscriber 3", "--json"),
        "customer number": ("counts", admins[0], "4", "--json"),
        "top": ("top", fleet_file, "--json"),
        "diff": ("diff", admins[0], admins[1], "subscriber 3", "--json"),
    }


def test_counts_of_a_live_gateway_are_close_to_what_it_granted(tool_run):
    code, text = tool_run.results["counts"]
    assert code == 0, text
    counts = json.loads(text)
    assert counts["decision"] in ("sent", "refused", "held")
    assert counts["spent"] <= sum(counts["counts"].values()) + 40


def test_a_customer_is_found_by_name_and_by_number(tool_run):
    assert tool_run.results["unknown customer"][0] == 2
    assert [row["plan"] for row in tool_run.output("all gateways")] == ["amplio"] * 3
    assert tool_run.output("customer number")["plan"] == "amplio"


def test_the_endpoints_of_a_live_gateway_are_those_that_it_selects_from(tool_run):
    nodes = tool_run.output("nodes")
    assert len(nodes) == tool_run.endpoint_count
    assert sum(node["next"] for node in nodes) > 0


def test_the_state_of_a_live_gateway_names_its_build_and_its_peers(tool_run):
    state = tool_run.output("state")
    assert (state["gateway"], state["draining"], len(state["peers heard"])) == ("gw-2", False, 2)
    assert state["build"] == recording.build_name()


def test_counts_of_a_plan_have_a_row_for_each_gateway(tool_run):
    plans = tool_run.output("plan")
    assert [row["gateway"] for row in plans] == ["gw-0", "gw-1", "gw-2"]
    assert all(row["customers"] > 0 and row["pressed"] for row in plans)


def test_top_shows_all_gateways_and_what_they_serve(tool_run):
    rows = tool_run.output("top")
    assert all(row["up"] and row["nodes"] == tool_run.endpoint_count for row in rows)
    assert sum(row["served"] for row in rows) > 0


def test_two_live_gateways_can_be_compared(tool_run):
    assert tool_run.results["diff"][0] in (0, 1)


def test_the_records_of_live_gateways_can_be_replayed_and_explained(tool_run):
    folder = str(tool_run.folder)
    code, text = run_command("replay", folder, "--json")
    assert code == 0, text
    assert json.loads(text)["events"] > 500
    code, text = run_command("replay", folder, "--what-if", str(MATERIALS / "fleet.cue"))
    assert code == 0, text
    code, text = run_command("explain", folder, "1")
    assert code == 0
    assert "RequestArrived(request=1" in text
    assert run_command("explain", folder, "4000000000")[0] == 1


def test_records_have_no_api_keys(tool_run):
    records = list(tool_run.folder.glob("*.olr"))
    assert records
    assert not any(b"key-of-" in path.read_bytes() for path in records)
