"""Reverting an edit, also where later edits touched other things. Decides without I/O.

A content is compared as units that are edited by themselves: the operations of a description, its classes and
components; the customers of a customers' file. The edit from one version to the next is the units that
differ. It is reverted in a later version by giving each of these units its prior value, if the later version
still has the edit's value. A unit that was edited again since is a conflict, and named by its path.
"""

from __future__ import annotations

import copy
import json
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import yaml

from orchidlane.rollout.errors import RollbackConflictError
from orchidlane.routes import load_description

UnitPath = tuple[str, ...]
Tree = dict[str, Any]
Units = dict[UnitPath, Any]
UNIT_DEPTHS = {"paths": 3, "components": 3, "x-orchidlane": 3}  # path length of units below a top-level key
MISSING = object()


@dataclass(frozen=True)
class ContentFormat:
    """How a kind of content is read, compared and written."""

    parse: Callable[[bytes], Tree]
    units: Callable[[Tree], Units]
    write: Callable[[Tree], bytes]


def revert_description_edit(before: bytes, after: bytes, latest: bytes) -> bytes:
    """Return the latest description without the edit from ``before`` to ``after``.

    Raises RollbackConflictError and DescriptionError.
    """
    return _revert_edit(before, after, latest, DESCRIPTION)


def revert_customers_edit(before: bytes, after: bytes, latest: bytes) -> bytes:
    """Return the latest customers' file without the edit. Raises RollbackConflictError and ValueError."""
    return _revert_edit(before, after, latest, CUSTOMERS)


def _revert_edit(before: bytes, after: bytes, latest: bytes, content: ContentFormat) -> bytes:
    if before == after:
        return latest
    if latest == after:
        return before
    prior_tree, edited_tree, latest_tree = (content.parse(data) for data in (before, after, latest))
    prior = content.units(prior_tree)
    edited = content.units(edited_tree)
    current = content.units(latest_tree)
    touched = _touched_units(prior, edited)
    _check_conflicts(touched, prior, edited, current)
    tree = copy.deepcopy(latest_tree)
    for path in sorted(touched):
        _set_unit(tree, path, prior.get(path, MISSING))
    return before if tree == prior_tree else content.write(tree)


def _touched_units(prior: Units, edited: Units) -> list[UnitPath]:
    paths = prior.keys() | edited.keys()
    return [path for path in paths if prior.get(path, MISSING) != edited.get(path, MISSING)]


def _check_conflicts(touched: list[UnitPath], prior: Units, edited: Units, current: Units) -> None:
    conflicts = [
        path
        for path in touched
        if current.get(path, MISSING) not in (edited.get(path, MISSING), prior.get(path, MISSING))
    ]
    if conflicts:
        raise RollbackConflictError(sorted(conflicts))


def _set_unit(tree: Tree, path: UnitPath, value: Any) -> None:
    """Give a unit a value, or remove it with the parents that are empty then."""
    *parents, last = path
    inner = [tree]
    for key in parents:
        inner.append(inner[-1].setdefault(key, {}))
    if value is not MISSING:
        inner[-1][last] = value
        return
    inner[-1].pop(last, None)
    for outer, key, child in reversed(list(zip(inner, parents, inner[1:], strict=False))):
        if not child:
            outer.pop(key, None)


# Descriptions


def _parse_description(data: bytes) -> Tree:
    return load_description(data, "description")


def _description_units(tree: Tree) -> Units:
    units: Units = {}

    def walk(path: UnitPath, value: Any, depth: int) -> None:
        if depth > 1 and isinstance(value, dict) and value:
            for key, inner in value.items():
                walk((*path, str(key)), inner, depth - 1)
        else:
            units[path] = value

    for key, value in tree.items():
        walk((str(key),), value, UNIT_DEPTHS.get(str(key), 1))
    return units


def _write_description(tree: Tree) -> bytes:
    return yaml.safe_dump(tree, sort_keys=False, allow_unicode=True).encode()


# Customers' files


def _parse_customers(data: bytes) -> Tree:
    return {str(entry["id"]): entry for entry in json.loads(data)["customers"]}


def _customer_units(tree: Tree) -> Units:
    return {(key,): value for key, value in tree.items()}


def _write_customers(tree: Tree) -> bytes:
    return json.dumps({"customers": list(tree.values())}, indent=1).encode()


DESCRIPTION = ContentFormat(_parse_description, _description_units, _write_description)
CUSTOMERS = ContentFormat(_parse_customers, _customer_units, _write_customers)
