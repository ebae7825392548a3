"""Migration of customers to other replica sets, as versions that follow each other. Decides without I/O.

Each gateway of a replica set fills its part of a ceiling's token store by itself. With two maps side by side
both sets would have all parts, and a subscriber could spend a ceiling's burst twice. So quotas shrink before
they grow:

1. hold: the customers that migrate have their new set and are served nowhere. A gateway that adopts this
   version gives up its part for good and tells the new token owner what was spent.
2. grow: once all gateways run that version, or serve nothing (a lease), they are served again. The new parts
   begin empty and fill at the ceiling's rate.

So the parts of all gateways never exceed what the ceiling's store would hold: a part that is given up, or
lost with a gateway that died, comes back by the rate alone. The price: a customer that migrates is rejected
between the two versions, and then waits for its store to fill. A share of these customers migrates at a time.
"""

from __future__ import annotations

import json
from math import ceil
from typing import Any

from orchidlane.rollout.compatibility import Assignments, migrating_customers

MAX_MIGRATION_STAGES = 7


def migration_files(old: Assignments, new: Assignments, customers: bytes, share: float) -> list[bytes]:
    """Return the customers' files of all versions from the old map to the new one.

    ``customers`` is the new file and the last one returned, ``share`` the part of the customers with a
    ceiling that migrates at once.
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
    """Return a file in which customers that wait have their old set, and suspended ones their new one."""
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
