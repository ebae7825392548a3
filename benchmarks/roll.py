"""How many gateways of a fleet may be at risk together: what ``upgrade.batch`` finds beside its bound.

``python -m benchmarks.roll``. For random fleets of 8 to 340 gateways in one to five halls, sets and loads
drawn anew: the largest batch found over a bound that no order can pass, in how many fleets it is reached, the
batches of a whole roll, and the time of one decision, which grows with the fleet.
"""

from __future__ import annotations

import random
import statistics
import time

from orchidlane.hot_restart import rolling_batches, rolling_upgrade
from orchidlane.hot_restart.probation import AnswerCounts

FLEETS = 60


def fleet(rng: random.Random, size: int) -> tuple[rolling_batches.Fleet, rolling_batches.RiskLimits]:
    halls = rng.randint(1, 5)
    loads = [rng.lognormvariate(3, 0.6) for _ in range(size)]
    members = tuple(
        rolling_batches.Member(n, f"hall-{n * halls // size}", load) for n, load in enumerate(loads)
    )
    spreads = tuple(sorted({rng.choice((1, 2, 3, 4, 6, 8)) for _ in range(rng.randint(1, 3))}))
    share, set_share, load = rng.choice((0.1, 0.25, 0.5)), rng.choice((0.34, 0.5)), rng.choice((0.2, 0.34))
    return rolling_batches.Fleet(members, spreads), rolling_batches.RiskLimits(
        share, set_share, rng.randint(1, 2), load
    )


def batches(made: rolling_batches.Fleet, limits: rolling_batches.RiskLimits) -> int:
    """Of a whole roll in which all goes well."""
    size = len(made.members)
    first = [
        rolling_upgrade.StatusReceived(n, n + 1, True, "", AnswerCounts(100, 0, 0), False)
        for n in range(size)
    ]
    roller = rolling_upgrade.start_roll(made, rolling_upgrade.RollSettings(limits, soak_us=0), first)
    actions, now, count = roller.handle(0, rolling_upgrade.TimerFired()), 0, 0
    while not any(isinstance(action, rolling_upgrade.Finish) for action in actions):
        started = [action.rank for action in actions if isinstance(action, rolling_upgrade.StartSuccessor)]
        count += bool(started)
        actions = []
        for rank in started:
            roller.handle(now, rolling_upgrade.SuccessorPrepared(rank, 10_000 + rank))
        for rank in started:
            now += 1
            seen = rolling_upgrade.StatusReceived(rank, 10_000 + rank, True, "", AnswerCounts(), True)
            actions += roller.handle(now, seen)
        actions += roller.handle(now, rolling_upgrade.TimerFired())
    return count


def main() -> None:
    print("gateways  of the bound  reached  batches  ms a decision")
    for size in (8, 24, 80, 340):
        rng = random.Random(size)
        shares, counts, times = [], [], []
        for _ in range(FLEETS):
            made, limits = fleet(rng, size)
            began = time.perf_counter()
            found = rolling_batches.largest_batch(made, limits, range(size), (), size)
            times.append((time.perf_counter() - began) * 1e3)
            shares.append(len(found) / rolling_batches.batch_size_bound(made, limits))
            counts.append(batches(made, limits))
        reached = sum(share == 1 for share in shares) / len(shares)
        print(
            f"{size:8}  {statistics.mean(shares):12.2f}  {reached:7.0%}  {statistics.mean(counts):7.1f}  "
            f"{statistics.median(times):6.2f}"
        )


if __name__ == "__main__":
    main()
