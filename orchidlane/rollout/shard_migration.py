"""A new map of customers to gateways' sets, as versions that follow each other. Decides without I/O.

Each gateway of a set alone fills its part of a ceiling's store. With two maps side by side, both sets have
all parts, so that a subscriber could spend a ceiling's burst twice. So rights shrink before they grow:

1. hold: the customers that move have their new set and are served nowhere. A gateway that adopts it gives up
   its part for good and tells the new keeper what was spent.
2. grow: once all gateways run that, or serve nothing (a lease), they are served again. The new parts begin
   from nothing, at the ceiling's rate.

So at every moment the parts of all gateways are at most what the ceiling's store would hold: a part that is
given up, or lost with a gateway that died, comes back by the rate alone. The price: a customer that moves is
refused between the two, and then has to wait for its store to fill. It is paid by a share of the customers
that move at a time.
"""

from __future__ import annotations

import json
from collections.abc import Mapping
from math import ceil
from typing import Any

from orchidlane.rollout.compatibility import Account, is_moved

STAGES_MOST = 7  # of one move


def versions_between(
    old: Mapping[int, Account], new: Mapping[int, Account], customers: bytes, share: float
) -> list[bytes]:
    """The customers' files of all versions from the old map to the new one, the last being ``customers``.

    ``customers`` is the new file, ``share`` the part of those with a ceiling that moves at once.
    """
    moved = sorted(n for n, one in new.items() if n in old and one.ceiling and is_moved(old[n], one))
    if not moved:
        return [customers]
    stages = min(STAGES_MOST, len(moved), ceil(1 / share))
    size = ceil(len(moved) / stages)
    groups = [moved[start : start + size] for start in range(0, len(moved), size)]
    entries = json.loads(customers)["customers"]
    found = []
    for number, group in enumerate(groups):
        waiting = {n for later in groups[number + 1 :] for n in later}
        found.append(_file(entries, old, new, waiting, set(group)))
        found.append(_file(entries, old, new, waiting, set()) if waiting else customers)
    return found


def _file(
    entries: list[dict[str, Any]],
    old: Mapping[int, Account],
    new: Mapping[int, Account],
    waiting: set[int],
    held: set[int],
) -> bytes:
    """A map in between: those that wait have their old sets, those that are held their new ones."""
    made = []
    for entry in entries:
        number = entry["id"]
        if number in waiting:
            entry = {**entry, "first": old[number].first}
        elif number in held:
            entry = {**entry, "first": new[number].first, "held": True}
        made.append(entry)
    return json.dumps({"customers": made}, indent=1).encode()
