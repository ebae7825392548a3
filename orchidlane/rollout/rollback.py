"""Taking an edit back, also where later ones touched other things. Decides without I/O.

A content is looked at as units that are edited by themselves: the operations of a description, its classes
and components; the customers of a customers' file. The edit from one version to the next is the units that
differ. It is taken back out of a later version by giving each of these units its prior value, if the later
version still has the value of the edit; a unit that was edited again since is a conflict, named by its place.
"""

from __future__ import annotations

import copy
import json
from collections.abc import Callable
from typing import Any

import yaml

from orchidlane.routes import load_description

Place = tuple[str, ...]
Tree = dict[str, Any]
NESTED = {"paths": 3, "components": 3, "x-orchidlane": 3}  # places that a unit's name has, below a top key
MISSING = object()


class Conflict(Exception):
    """The edit can't be taken back alone; says which units were edited again."""

    def __init__(self, places: list[Place]) -> None:
        self.places = places
        names = "; ".join(" ".join(place) for place in places)
        super().__init__(f"edited again since: {names}")


def rules_without(before: bytes, after: bytes, now: bytes) -> bytes:
    """A description without the edit from ``before`` to ``after``. Raises Conflict, DescriptionError."""

    def parse(data: bytes) -> Tree:
        return load_description(data, "description")

    def write(tree: Tree) -> bytes:
        return yaml.safe_dump(tree, sort_keys=False, allow_unicode=True).encode()

    return _without(before, after, now, parse, _rules_units, write)


def customers_without(before: bytes, after: bytes, now: bytes) -> bytes:
    """A customers' file without the edit. Raises Conflict, ValueError."""

    def parse(data: bytes) -> Tree:
        return {str(one["id"]): one for one in json.loads(data)["customers"]}

    def write(tree: Tree) -> bytes:
        return json.dumps({"customers": list(tree.values())}, indent=1).encode()

    return _without(before, after, now, parse, _flat_units, write)


def _without(
    before: bytes,
    after: bytes,
    now: bytes,
    parse: Callable[[bytes], Tree],
    units: Callable[[Tree], dict[Place, Any]],
    write: Callable[[Tree], bytes],
) -> bytes:
    if before == after:
        return now
    if now == after:
        return before
    prior, edited, latest = (parse(data) for data in (before, after, now))
    was, came, stands = units(prior), units(edited), units(latest)
    touched = [
        place for place in was.keys() | came.keys() if was.get(place, MISSING) != came.get(place, MISSING)
    ]
    conflicts = [
        place
        for place in touched
        if stands.get(place, MISSING) not in (came.get(place, MISSING), was.get(place, MISSING))
    ]
    if conflicts:
        raise Conflict(sorted(conflicts))
    tree = copy.deepcopy(latest)
    for place in sorted(touched):
        _put(tree, place, was.get(place, MISSING))
    return before if tree == prior else write(tree)


def _put(tree: Tree, place: Place, value: Any) -> None:
    """Give a unit a value, or take it away; what is empty then goes, too."""
    *path, last = place
    inner = [tree]
    for key in path:
        inner.append(inner[-1].setdefault(key, {}))
    if value is MISSING:
        inner[-1].pop(last, None)
        for outer, key, found in reversed(list(zip(inner, path, inner[1:], strict=False))):
            if not found:
                outer.pop(key, None)
    else:
        inner[-1][last] = value


def _flat_units(tree: Tree) -> dict[Place, Any]:
    return {(key,): value for key, value in tree.items()}


def _rules_units(tree: Tree) -> dict[Place, Any]:
    found: dict[Place, Any] = {}

    def walk(place: Place, value: Any, depth: int) -> None:
        if depth > 1 and isinstance(value, dict) and value:
            for key, inner in value.items():
                walk((*place, str(key)), inner, depth - 1)
        else:
            found[place] = value

    for key, value in tree.items():
        walk((str(key),), value, NESTED.get(str(key), 1))
    return found
