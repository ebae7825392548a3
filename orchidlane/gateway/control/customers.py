"""Who a key belongs to: an immutable generation, looked up by the key's digest."""

from __future__ import annotations

import hashlib
from collections.abc import Iterable
from dataclasses import dataclass

import msgspec

from orchidlane.gateway.control.settings import Fleet

NUMBER_MOST = 1 << 33  # customers' numbers lie below it
NUMBER_DIGITS = 12


class CustomerEntry(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One line of the customers' file; ``keys`` are SHA-256 digests in hexadecimal."""

    id: int
    plan: str
    keys: tuple[str, ...]
    name: str = ""
    first: int = -1
    held: bool = False  # its set is on the move: nothing is served


class CustomersFile(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The whole file."""

    customers: tuple[CustomerEntry, ...]


@dataclass(frozen=True, slots=True)
class Customer:
    """A customer as requests name it: its number, plan, and the gateways that it uses."""

    number: int
    plan: int
    plan_name: str
    set_first: int
    set_size: int
    held: bool = False


class CustomersError(Exception):
    """The customers' file can't be used; says where and why."""


class Customers:
    """Customers by the digest of their keys."""

    def __init__(
        self,
        by_digest: dict[bytes, Customer],
        by_name: dict[bytes, Customer],
        by_number: dict[int, Customer],
    ) -> None:
        self._by_digest = by_digest
        self._by_name = by_name
        self._by_number = by_number

    def __len__(self) -> int:
        return len(self._by_digest)

    def all(self) -> Iterable[Customer]:
        """Each customer once."""
        return self._by_number.values()

    def of_key(self, key: bytes) -> Customer | None:
        """The customer of a key as it came with a request."""
        return self._by_digest.get(hashlib.sha256(key).digest())

    def named(self, name: bytes) -> Customer | None:
        """The customer of a name or, failing that, of a key."""
        return self._by_name.get(name) or self.of_key(name)

    def numbered(self, word: bytes) -> Customer | None:
        """The customer whose number a word is, in decimal digits."""
        return self._by_number.get(int(word)) if word.isdigit() and len(word) < NUMBER_DIGITS else None


def load_customers(text: bytes, file: str, fleet: Fleet) -> Customers:
    """The customers of a file. Raises CustomersError."""
    try:
        entries = msgspec.json.decode(text, type=CustomersFile).customers
    except (msgspec.DecodeError, UnicodeDecodeError) as wrong:
        raise CustomersError(f"{file}: {wrong}") from None
    if len(entries) > fleet.bounds.customers:
        raise CustomersError(f"{file}: {len(entries)} customers, allowed: {fleet.bounds.customers}")
    found: dict[bytes, Customer] = {}
    names: dict[bytes, Customer] = {}
    numbers: dict[int, Customer] = {}
    plans = list(fleet.plans)
    for index, entry in enumerate(entries):
        place = f"{file}: customers[{index}]"
        if not 0 <= entry.id < NUMBER_MOST or entry.id in numbers:
            raise CustomersError(f"{place}.id: found {entry.id}, allowed: once, 0 to {NUMBER_MOST - 1}")
        if entry.plan not in plans:
            raise CustomersError(f"{place}.plan: found {entry.plan!r}, allowed: {', '.join(plans)}")
        customer = numbers[entry.id] = make_customer(entry, fleet, plans)
        if entry.name and names.setdefault(entry.name.encode(), customer) is not customer:
            raise CustomersError(f"{place}.name: another customer has it")
        for key in entry.keys:
            digest = _digest(key, place)
            if digest in found:
                raise CustomersError(f"{place}.keys: a key that another customer has")
            found[digest] = customer
    return Customers(found, names, numbers)


def make_customer(entry: CustomerEntry, fleet: Fleet, plans: list[str]) -> Customer:
    """A customer with its set of gateways: so many as its plan says, from one that its number gives."""
    count = len(fleet.gateways)
    size = min(fleet.plans[entry.plan].spread or count, count)
    first = entry.first if 0 <= entry.first < count else (entry.id * 2_654_435_761 >> 12) % count
    return Customer(entry.id, plans.index(entry.plan), entry.plan, first, size, entry.held)


def _digest(text: str, place: str) -> bytes:
    try:
        digest = bytes.fromhex(text)
    except ValueError:
        digest = b""
    if len(digest) != hashlib.sha256().digest_size:
        raise CustomersError(f"{place}.keys: not the 64 hexadecimal digits of a SHA-256 digest")
    return digest
