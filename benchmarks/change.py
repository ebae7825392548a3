"""Benchmark of fleet versions: real processes, simulated fleets, canary analysis; the last line is JSON.

    python -m benchmarks.change [--quick]

All times are in milliseconds. For real processes they are times of the clients' clock, each as median and
largest; for simulated fleets they are virtual, one for a version and one for its reversal. ``cost_ratio`` is
the time of a request with versions divided by that without, both measured in this run.
"""

from __future__ import annotations

import argparse
import json
import logging

import structlog

from benchmarks.canary_errors import count_false_stops, count_missed_regressions
from benchmarks.real_rollout import measure_cost_ratio, measure_real_processes
from benchmarks.simulated_rollout import measure_simulated_fleet

ROUNDS = 8
QUICK_ROUNDS = 2
FLEET_SIZES = (9, 40, 340)
QUICK_FLEET_SIZES = (9, 40)


def main() -> None:
    """Print each result when it is measured, and all results as JSON in the last line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--quick", action="store_true", help="Fewer rounds, and no fleet of 340 gateways.")
    is_quick = parser.parse_args().quick
    structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(logging.CRITICAL))
    results = measure_real_processes(QUICK_ROUNDS if is_quick else ROUNDS)
    print("nine real processes", results, flush=True)
    for size in QUICK_FLEET_SIZES if is_quick else FLEET_SIZES:
        results[f"simulated_{size}_ms"] = measure_simulated_fleet(size)
        print(size, "simulated", results[f"simulated_{size}_ms"], flush=True)
    results["false_stops"] = count_false_stops()
    results["missed_harm"] = count_missed_regressions()
    results["cost_ratio"] = measure_cost_ratio()
    print(json.dumps(results))


if __name__ == "__main__":
    main()
