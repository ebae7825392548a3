"""Fleet versions measured: real processes, simulated fleets, canary analysis; the last line is a JSON object.

    python -m benchmarks.change [--quick]

Times are of the clients' clock (real) or virtual (simulated), medians and largest. ``cost_ratio`` is what a
request takes with versions over what it takes without, both in this run.
"""

from __future__ import annotations

import http.client
import json
import logging
import random
import statistics
import sys
import tempfile
import time
from pathlib import Path
from typing import Any

import msgspec
import structlog

from orchidlane.config import Duration
from orchidlane.gateway.control.settings_loader import parse_settings
from orchidlane.gateway.rollout_agent.admin_messages import CommandRequest
from orchidlane.rollout.canary_analysis import OUTCOME_KINDS, AnswerCounts, CanaryAnalysis
from orchidlane.rollout.version import ContentHashes, content_hash
from orchidlane.simulation.process_fleet import ProcessFleet, run_process_fleet
from orchidlane.simulation.rollout_scenarios import RolloutScenario, SimulatedRolloutFleet
from orchidlane.simulation.scenario import load_scenario

MATERIALS = Path(__file__).parent.parent / "examples" / "materials"
RULES = (MATERIALS / "openapi.yaml").read_bytes()
COST = "{class: sheet-read, cost: 2}"
SECOND = 1_000_000
REQUESTS = 400  # requests for the ratio
BASELINE_SHARES = {"refused": 0.15, "failed": 0.01, "late": 0.02, "slow": 0.1, "attempts": 0.05}
HARM_FACTORS = ({"failed": 16.0}, {"refused": 4.0}, {"late": 8.0}, {"slow": 4.0})


def run_real_fleet(script: Any, gateways: int, **change: Any) -> tuple[Any, ProcessFleet]:
    """Verdict and fleet of some script beside a steady load."""
    day = msgspec.structs.replace(
        load_scenario(str(MATERIALS / "random.cue")),
        duration=Duration(600 * SECOND),
        steps=(),
        gateway_count=gateways,
        request_rate=80.0,
        quota_request_rate=0.0,
    )
    terms = {"lease": "2s", "every": "100ms", "soak": "0s", **change}
    with tempfile.TemporaryDirectory(prefix="orchidlane-") as folder:
        return run_process_fleet(day, folder, script, lambda value: value["change"].update(terms))


def wait_until_all_run(fleet: ProcessFleet, number: int) -> int:
    """Wait until whoever leads says that all run a version. The moment."""
    while True:
        status = fleet.status()
        if status["leads"] and all(one["runs"] == number for one in status["gateways"]):
            return fleet.now()


def measure_real_processes(rounds: int) -> dict[str, Any]:
    """Nine gateways, five voters: from the command to all gateways, there and back."""
    adopted: list[float] = []
    reverted: list[float] = []
    observed: dict[str, Any] = {}

    def script(fleet: ProcessFleet) -> None:
        fleet.leader()
        sizes: list[int] = []
        fleet.on_message(lambda *_: sizes.append(1))
        began = time.monotonic()
        time.sleep(3.0)
        observed["idle_datagrams_s"] = round(len(sizes) / (time.monotonic() - began) / fleet.count, 2)
        for turn in range(rounds):
            fleet.edit_rules(COST, COST.replace("2", "3"))
            at = fleet.now()
            assert fleet.command("propose", "--reason", "measured")[0] == 0
            adopted.append((fleet.now() - at) / 1_000)
            at = fleet.now()
            assert fleet.command("undo")[0] == 0
            reverted.append((fleet.now() - at) / 1_000)
            fleet.edit_rules(COST.replace("2", "3"), COST)
            observed["versions"] = 2 * (turn + 1)

    verdict, fleet = run_real_fleet(script, 9, voters=[f"gw-{rank}" for rank in range(5)])
    results = verdict.as_json()
    known = set(range(observed["versions"] + 1))
    return {
        "lost": results["missing"],
        "doubled": results["doubled"],
        "late": results["late"],
        "ceiling_beyond": max(0.0, round(verdict.worst_ceiling_ratio - 1, 3)),
        "unapproved": len(fleet.served_versions().keys() - known),
        "adopted_ms": [round(statistics.median(adopted)), round(max(adopted))],
        "undone_ms": [round(statistics.median(reverted)), round(max(reverted))],
        "idle_datagrams_s": observed["idle_datagrams_s"],
    }


def measure_cost_ratio() -> float:
    """A request over one kept connection, with versions over without."""
    spent = {}
    for voters in ([], ["gw-0", "gw-1", "gw-2"]):
        times: list[float] = []

        def script(fleet: ProcessFleet, times: list[float] = times) -> None:
            host, port = fleet.runner.plan.gateways[0]
            client = http.client.HTTPConnection(host, port)
            for _ in range(REQUESTS):
                began = time.perf_counter()
                client.request("GET", "/v1/nowhere", headers={"X-Api-Key": "key-of-1"})
                client.getresponse().read()
                times.append(time.perf_counter() - began)

        run_real_fleet(script, 3, voters=voters)
        spent[len(voters)] = statistics.median(times)
    return round(spent[3] / spent[0], 3)


def describe_edit(edit: int) -> bytes:
    """A description with a cost of its own for each edit."""
    return RULES.replace(COST.encode(), b"{class: sheet-read, cost: %d}" % (2 + edit))


def measure_simulated_fleet(gateways: int) -> list[int]:
    """Milliseconds, virtual, from the command to all gateways, and from the undo on."""
    fleet = parse_settings((MATERIALS / "fleet.cue").read_text(), "fleet.cue")
    customers = (MATERIALS / "customers.json").read_bytes()
    simulation = SimulatedRolloutFleet(RolloutScenario(1, gateways, 5), fleet, describe_edit, customers)
    spans: list[int] = []

    def change(number: int, data: bytes, reverts: int) -> None:
        name = content_hash(data)
        simulation.call(0, "PUT", f"content/{name}", data)
        parts = ContentHashes(name, content_hash(customers))
        request = CommandRequest(
            f"order-{number}", "propose", number - 1, "bench", "measured", parts, reverts
        )
        began = simulation.loop.now()
        simulation.call(0, "POST", "command", msgspec.msgpack.encode(request))
        simulation.wait_until(
            lambda: simulation.has_converged() and _number(simulation) == number, 120 * SECOND, "not adopted"
        )
        spans.append((simulation.loop.now() - began) // 1_000)

    def run() -> None:
        simulation.backend.files["openapi"], simulation.backend.files["customers"] = (
            describe_edit(0),
            customers,
        )
        for rank in range(gateways):
            simulation.start(rank)
        simulation.wait_until(simulation.has_converged, 120 * SECOND, "not founded")
        change(1, describe_edit(1), 0)
        change(2, describe_edit(0), 1)
        for rank in simulation.running_ranks():
            simulation.kill(rank)

    simulation.loop.run(run)
    return spans


def _number(simulation: SimulatedRolloutFleet) -> int:
    versions = simulation.programs[0].rollout_agent
    return versions.agent_state.running_number if versions is not None else -1


def is_stopped(seed: int, harm: dict[str, float]) -> bool:
    """Whether a stage of 40 looks is stopped, with shares and a load that wander."""
    rng, analysis, baseline = random.Random(seed), CanaryAnalysis(), dict(BASELINE_SHARES)
    for _ in range(40):
        baseline["refused"] = min(0.6, max(0.02, baseline["refused"] + rng.uniform(-0.05, 0.05)))
        load = rng.randint(2, 30)
        sides = []
        for times in (harm, {}):
            size = rng.randint(0, load) if times is harm else 2 * load
            shares = {kind: min(1.0, share * times.get(kind, 1.0)) for kind, share in baseline.items()}
            bad = {
                k: sum(rng.random() < shares[k] for _ in range(size)) for k in OUTCOME_KINDS if k != "served"
            }
            bad["failed"] = min(bad["failed"], size - bad["refused"])
            sides.append({"one": AnswerCounts(size, **bad)})
        if analysis.observe(*sides).harm:
            return True
    return False


def main() -> None:
    """Print what is measured as it comes, and all of it in the last line."""
    quick = "--quick" in sys.argv
    structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(logging.CRITICAL))
    results = measure_real_processes(2 if quick else 8)
    print("nine real processes", results, flush=True)
    for size in (9, 40) if quick else (9, 40, 340):
        results[f"simulated_{size}_ms"] = measure_simulated_fleet(size)
        print(size, "simulated", results[f"simulated_{size}_ms"], flush=True)
    results["false_stops"] = sum(is_stopped(seed, {}) for seed in range(1_000))
    results["missed_harm"] = sum(
        not is_stopped(seed, HARM_FACTORS[seed % len(HARM_FACTORS)]) for seed in range(200)
    )
    results["cost_ratio"] = measure_cost_ratio()
    print(json.dumps(results))


if __name__ == "__main__":
    main()
