"""Reverting an edit, also after later edits of other units. Contains decisions only, without I/O.

A content is divided into units that are edited independently: the operations of a description, its request
classes and components; the customers of a customers' file. The edit from one version to the next consists of
the units that differ. To revert it in a later version, each of these units gets its prior value back,
provided that it still has the value that the edit gave it. A unit that was edited again since is a conflict,
and reported by its path.
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
# Length of the paths of units, by the top-level key that they start with; elsewhere a top-level key is a unit
UNIT_DEPTHS = {"paths": 3, "components": 3, "x-orchidlane": 3}
MISSING = object()  # the value of a unit that a content does not have


@dataclass(frozen=True)
class ContentFormat:
    """How a kind of content is parsed, divided into units and written."""

    parse: Callable[[bytes], Tree]
    units: Callable[[Tree], Units]
    write: Callable[[Tree], bytes]


def revert_description_edit(before: bytes, after: bytes, latest: bytes) -> bytes:
    """Return the latest description with the edit from ``before`` to ``after`` reverted.

    Raises RollbackConflictError and DescriptionError.
    """
    return _revert_edit(before, after, latest, DESCRIPTION)


def revert_customers_edit(before: bytes, after: bytes, latest: bytes) -> bytes:
    """Return the latest customers' file with the edit reverted.

    Raises RollbackConflictError and ValueError.
    """
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
    changed_paths = _changed_units(prior, edited)
    _check_conflicts(changed_paths, prior, edited, current)
    tree = copy.deepcopy(latest_tree)
    for path in sorted(changed_paths):
        _set_unit(tree, path, prior.get(path, MISSING))
    return before if tree == prior_tree else content.write(tree)


def _changed_units(prior: Units, edited: Units) -> list[UnitPath]:
    paths = prior.keys() | edited.keys()
    return [path for path in paths if prior.get(path, MISSING) != edited.get(path, MISSING)]


def _check_conflicts(changed_paths: list[UnitPath], prior: Units, edited: Units, current: Units) -> None:
    conflicts = [
        path
        for path in changed_paths
        if current.get(path, MISSING) not in (edited.get(path, MISSING), prior.get(path, MISSING))
    ]
    if conflicts:
        raise RollbackConflictError(sorted(conflicts))


def _set_unit(tree: Tree, path: UnitPath, value: Any) -> None:
    """Set the value of a unit, or remove the unit and those of its parents that become empty."""
    *parents, last = path
    branch = [tree]
    for key in parents:
        branch.append(branch[-1].setdefault(key, {}))
    if value is not MISSING:
        branch[-1][last] = value
        return
    branch[-1].pop(last, None)
    for parent, key, child in reversed(list(zip(branch, parents, branch[1:], strict=False))):
        if not child:
            parent.pop(key, None)


# Descriptions


def _parse_description(data: bytes) -> Tree:
    return load_description(data, "description")


def _description_units(tree: Tree) -> Units:
    units: Units = {}

    def walk(path: UnitPath, value: Any, depth: int) -> None:
        if depth > 1 and isinstance(value, dict) and value:
            for key, child in value.items():
                walk((*path, str(key)), child, depth - 1)
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
