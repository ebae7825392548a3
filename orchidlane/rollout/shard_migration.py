"""Migration of customers to other replica sets, as a sequence of versions. Decisions only, without I/O.

Each gateway of a replica set refills its share of a ceiling's token bucket by itself. If gateways served by
the old and the new replica set side by side, both sets would have all shares, and a customer could spend the
ceiling's burst twice. Shares are therefore given up before new ones are filled, by two versions:

1. Suspend: the customers that migrate have their new replica set and are not served anywhere. A gateway
   that adopts this version gives up its share and notifies the new token owner of what was spent.
2. Resume: once all gateways run the first version, or no longer serve because their lease is over, the
   customers are served again. The new shares start empty and fill at the ceiling's rate.

The shares of all gateways together therefore never exceed what the ceiling's bucket would hold: a share that
is given up, or lost with a gateway that died, is refilled only at the rate. The cost is that a customer that
migrates is rejected between the two versions, and then has to wait until its bucket fills. To limit this,
only some of the customers migrate at a time.
"""

from __future__ import annotations

import json
from math import ceil
from typing import Any

from orchidlane.rollout.compatibility import Assignments, migrating_customers

MAX_MIGRATION_STAGES = 7  # in one migration; a stage has two versions


def migration_files(old: Assignments, new: Assignments, customers: bytes, share: float) -> list[bytes]:
    """Return the customers' files of all versions that lead from the old assignments to the new ones.

    ``customers`` is the new file, which is returned last. ``share`` is the fraction of the migrating
    customers, those with a ceiling, that migrates in one stage.
    """
    migrating = sorted(migrating_customers(old, new))
    if not migrating:
        return [customers]
    stages = min(MAX_MIGRATION_STAGES, len(migrating), ceil(1 / share))
    size = ceil(len(migrating) / stages)
    groups = [migrating[start : start + size] for start in range(0, len(migrating), size)]
    entries = json.loads(customers)["customers"]
    files = []
    for position, group in enumerate(groups):
        waiting = {number for later in groups[position + 1 :] for number in later}
        files.append(_intermediate_file(entries, old, new, waiting, set(group)))
        files.append(_intermediate_file(entries, old, new, waiting, set()) if waiting else customers)
    return files


def _intermediate_file(
    entries: list[dict[str, Any]],
    old: Assignments,
    new: Assignments,
    waiting: set[int],
    suspended: set[int],
) -> bytes:
    """Return a file with the old replica sets of waiting customers and the new ones of suspended ones."""
    customers = []
    for entry in entries:
        number = entry["id"]
        if number in waiting:
            customers.append({**entry, "first": old[number].first_replica})
        elif number in suspended:
            customers.append({**entry, "first": new[number].first_replica, "held": True})
        else:
            customers.append(entry)
    return json.dumps({"customers": customers}, indent=1).encode()
