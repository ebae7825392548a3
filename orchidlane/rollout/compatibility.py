"""What may serve side by side, and what a voter may say yes to. Decides without I/O.

While a change is adopted some gateways go by the old version and some by the new one, and a request's retry
may come through another gateway than the request did.
"""

from __future__ import annotations

from collections.abc import Iterator, Mapping

import msgspec

from orchidlane.policy import Idempotency
from orchidlane.routes import Generation, Operation

MOVED_MOST = 10_000  # sets in one version: each gateway looks at each of them as it adopts
NAMED_MOST = 5  # operations or customers that a reason names


class Account(msgspec.Struct, frozen=True):
    """What a version says of one customer."""

    plan: str
    first: int
    size: int
    ceiling: bool = False  # its plan has one
    held: bool = False  # nothing is served while its set moves


class Material(msgspec.Struct, frozen=True):
    """All that a version's contents say, as far as it matters here."""

    generation: Generation
    accounts: Mapping[int, Account]


def why_not_beside(old: Material, new: Material) -> str:
    """Why gateways of these two versions may not serve side by side; "" where they may."""
    return "; ".join([*_rules(old.generation, new.generation), *_accounts(old.accounts, new.accounts)])


def _rules(old: Generation, new: Generation) -> Iterator[str]:
    if old.class_names != new.class_names or old.classes != new.classes:
        names = sorted(set(old.class_names) ^ set(new.class_names)) or [
            name
            for name, before, after in zip(old.class_names, old.classes, new.classes, strict=False)
            if before != after
        ]
        yield f"classes change ({_some(names)}): that takes a restart of the gateways"
        return
    before = {(one.method, one.path): one for one in old.operations}
    for after in new.operations:
        known = before.get((after.method, after.path))
        if known is not None and (why := _operation(old, known, after)):
            yield f"{after.name}: {why}"


def _operation(old: Generation, before: Operation, after: Operation) -> str:
    """A retry through a gateway of the other version must be as safe as through one of the same."""
    was, will = old.classes[before.class_index], old.classes[after.class_index]
    if was.idempotency is not will.idempotency:
        return (
            f"from {was.idempotency.value} to {will.idempotency.value}: one gateway would repeat what another"
            " holds for done once; let it go under a new path, and drop the old one when nobody asks for it"
        )
    if was.idempotency is Idempotency.IDEMPOTENT_WITH_KEY:
        if before.idempotency_header != after.idempotency_header:
            return "its key moves to another header: one gateway would not know the other's repeats"
        if will.deduplication_scope is not was.deduplication_scope:
            return "servers that drop its repeats change: a repeat could reach one that does not know it"
        if will.deduplication_window_us < was.deduplication_window_us:
            return "the window of its keys shrinks: a repeat that one gateway allows would run again"
    return ""


def _accounts(old: Mapping[int, Account], new: Mapping[int, Account]) -> Iterator[str]:
    moved = [n for n, one in new.items() if n in old and one.ceiling and is_moved(old[n], one)]
    if unheld := [n for n in moved if not new[n].held]:
        yield f"sets move (customers {_some(unheld)}): both sets would have rights; hold them first"
    if len(moved) > MOVED_MOST:
        yield f"{len(moved)} sets move at once, allowed: {MOVED_MOST}"
    changed = [n for n, one in new.items() if n in old and one.plan != old[n].plan]
    if changed:
        yield f"plans of customers change ({_some(changed)}): rights would be created while both serve"


def is_moved(old: Account, new: Account) -> bool:
    """Whether a customer has another set."""
    return (old.first, old.size) != (new.first, new.size)


def moves(old: Mapping[int, Account], new: Mapping[int, Account]) -> list[int]:
    """The customers whose parts begin anew with a version: those that move, and those that are let go on."""
    return [n for n, one in new.items() if n in old and (is_moved(old[n], one) or old[n].held != one.held)]


def _some(names: list[str] | list[int]) -> str:
    shown = ", ".join(map(str, names[:NAMED_MOST]))
    return f"{shown} and {len(names) - NAMED_MOST} more" if len(names) > NAMED_MOST else shown
