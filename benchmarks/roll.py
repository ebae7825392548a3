"""Compares the size of batches that ``rolling_batches.largest_batch`` returns with an upper bound.

``python -m benchmarks.roll``. For random fleets of 8 to 340 gateways in one to five zones, with random
replica sets and loads: the mean size of the largest batch as a share of the bound, the share of fleets in
which the bound is reached, the mean number of batches of a rolling upgrade, and the median time of one call.
"""

from __future__ import annotations

import random
import statistics
import time

from orchidlane.hot_restart import rolling_upgrade
from orchidlane.hot_restart.probation import ResponseCounts
from orchidlane.hot_restart.rolling_batches import (
    Fleet,
    Member,
    RiskLimits,
    batch_size_bound,
    largest_batch,
)

FLEETS_PER_SIZE = 60
FIRST_NEW_PID = 10_000


def random_fleet(rng: random.Random, size: int) -> tuple[Fleet, RiskLimits]:
    """Return a random fleet, and random limits for its rolling upgrade."""
    zones = rng.randint(1, 5)
    loads = [rng.lognormvariate(3, 0.6) for _ in range(size)]
    members = tuple(Member(rank, f"hall-{rank * zones // size}", load) for rank, load in enumerate(loads))
    set_sizes = tuple(sorted({rng.choice((1, 2, 3, 4, 6, 8)) for _ in range(rng.randint(1, 3))}))
    fleet_share = rng.choice((0.1, 0.25, 0.5))
    set_share = rng.choice((0.34, 0.5))
    load_share = rng.choice((0.2, 0.34))
    limits = RiskLimits(fleet_share, set_share, rng.randint(1, 2), load_share)
    return Fleet(members, set_sizes), limits


def count_batches(fleet: Fleet, limits: RiskLimits) -> int:
    """Return the number of batches of a rolling upgrade without failures."""
    ranks = range(len(fleet.members))
    statuses = [
        rolling_upgrade.StatusReceived(rank, rank + 1, True, "", ResponseCounts(100, 0, 0), False)
        for rank in ranks
    ]
    upgrade = rolling_upgrade.start_roll(fleet, rolling_upgrade.RollSettings(limits, soak_us=0), statuses)
    actions = upgrade.handle(0, rolling_upgrade.TimerFired())
    now = 0
    count = 0
    while not any(isinstance(action, rolling_upgrade.Finish) for action in actions):
        started = [action.rank for action in actions if isinstance(action, rolling_upgrade.StartNewProcess)]
        count += bool(started)
        actions = []
        for rank in started:
            upgrade.handle(now, rolling_upgrade.NewProcessPrepared(rank, FIRST_NEW_PID + rank))
        for rank in started:
            now += 1
            pid = FIRST_NEW_PID + rank
            status = rolling_upgrade.StatusReceived(rank, pid, True, "", ResponseCounts(), True)
            actions += upgrade.handle(now, status)
        actions += upgrade.handle(now, rolling_upgrade.TimerFired())
    return count


def main() -> None:
    """Print a table with a line for each size of fleet."""
    print("gateways  size / bound  reached  batches  ms a call")
    for size in (8, 24, 80, 340):
        rng = random.Random(size)
        shares, batches, times_ms = [], [], []
        for _ in range(FLEETS_PER_SIZE):
            fleet, limits = random_fleet(rng, size)
            started_at = time.perf_counter()
            batch = largest_batch(fleet, limits, range(size), (), size)
            times_ms.append((time.perf_counter() - started_at) * 1e3)
            shares.append(len(batch) / batch_size_bound(fleet, limits))
            batches.append(count_batches(fleet, limits))
        reached = sum(share == 1 for share in shares) / len(shares)
        print(
            f"{size:8}  {statistics.mean(shares):12.2f}  {reached:7.0%}  {statistics.mean(batches):7.1f}  "
            f"{statistics.median(times_ms):6.2f}"
        )


if __name__ == "__main__":
    main()
