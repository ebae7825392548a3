"""Customers: an immutable directory, looked up by the digest of an API key, by name or by number."""

from __future__ import annotations

import hashlib
from collections.abc import Iterable
from dataclasses import dataclass

import msgspec

from orchidlane.gateway.control.settings import FleetSettings

CUSTOMER_NUMBER_LIMIT = 1 << 33  # exclusive upper bound of customer numbers
CUSTOMER_NUMBER_LENGTH_LIMIT = 12  # in decimal digits; exclusive upper bound of what is parsed
HASH_MULTIPLIER = 2_654_435_761  # Knuth's multiplicative hash
HASH_SHIFT = 12


class CustomerRecord(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One entry of the customers' file; ``keys`` are SHA-256 digests in hexadecimal.

    With a ``replica_set_start`` of -1, the customer's number decides where its replica set starts. While
    ``migrating`` is set, the replica set is being moved and the customer's requests are not served.
    """

    id: int
    plan: str
    keys: tuple[str, ...]
    name: str = ""
    replica_set_start: int = msgspec.field(name="first", default=-1)
    migrating: bool = msgspec.field(name="held", default=False)


class CustomersFile(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The contents of the customers' file."""

    customers: tuple[CustomerRecord, ...]


@dataclass(frozen=True, slots=True)
class Customer:
    """A customer's number, plan and replica set, resolved against the fleet's settings."""

    number: int
    plan: int
    plan_name: str
    replica_set_start: int
    replica_set_size: int
    migrating: bool = False


class CustomersError(Exception):
    """The customers' file is not valid; the message contains the location and the reason."""


class CustomerDirectory:
    """Customers by the digest of their keys, by name and by number."""

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
        """Return each customer once."""
        return self._by_number.values()

    def by_key(self, key: bytes) -> Customer | None:
        """Return the customer that has an API key."""
        return self._by_digest.get(hashlib.sha256(key).digest())

    def by_name_or_key(self, name: bytes) -> Customer | None:
        """Return the customer with this name or, where there is none, with this API key."""
        return self._by_name.get(name) or self.by_key(name)

    def by_number(self, digits: bytes) -> Customer | None:
        """Return the customer whose number is given in decimal digits."""
        if not digits.isdigit() or len(digits) >= CUSTOMER_NUMBER_LENGTH_LIMIT:
            return None
        return self._by_number.get(int(digits))


class _DirectoryBuilder:
    """Builds a directory from records and checks that numbers, names and keys are unique."""

    def __init__(self, file: str, fleet: FleetSettings) -> None:
        self.file = file
        self.fleet = fleet
        self.plans = list(fleet.plans)
        self.by_digest: dict[bytes, Customer] = {}
        self.by_name: dict[bytes, Customer] = {}
        self.by_number: dict[int, Customer] = {}

    def add(self, index: int, record: CustomerRecord) -> None:
        """Add the record at ``index`` of the file. Raises CustomersError."""
        location = f"{self.file}: customers[{index}]"
        if not 0 <= record.id < CUSTOMER_NUMBER_LIMIT or record.id in self.by_number:
            limit = CUSTOMER_NUMBER_LIMIT - 1
            raise CustomersError(f"{location}.id: found {record.id}, allowed: each number once, 0 to {limit}")
        if record.plan not in self.plans:
            allowed = ", ".join(self.plans)
            raise CustomersError(f"{location}.plan: found {record.plan!r}, allowed: {allowed}")
        customer = make_customer(record, self.fleet, self.plans)
        self.by_number[record.id] = customer
        if record.name and self.by_name.setdefault(record.name.encode(), customer) is not customer:
            raise CustomersError(f"{location}.name: another customer has the same name")
        for key in record.keys:
            digest = _parse_digest(key, location)
            if digest in self.by_digest:
                raise CustomersError(
                    f"{location}.keys: found a digest that is already listed, allowed: each digest once"
                )
            self.by_digest[digest] = customer


def load_customers(text: bytes, file: str, fleet: FleetSettings) -> CustomerDirectory:
    """Parse the text of a customers' file; ``file`` is its path for error texts. Raises CustomersError."""
    try:
        records = msgspec.json.decode(text, type=CustomersFile).customers
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise CustomersError(f"{file}: {error}") from None
    max_customers = fleet.resource_limits.max_customers
    if len(records) > max_customers:
        raise CustomersError(f"{file}: found {len(records)} customers, allowed: at most {max_customers}")
    builder = _DirectoryBuilder(file, fleet)
    for index, record in enumerate(records):
        builder.add(index, record)
    return CustomerDirectory(builder.by_digest, builder.by_name, builder.by_number)


def make_customer(record: CustomerRecord, fleet: FleetSettings, plans: list[str]) -> Customer:
    """Return the customer of a record.

    The plan gives the size of the replica set; the record or, by a hash, the number gives its first gateway.
    """
    count = len(fleet.gateways)
    size = min(fleet.plans[record.plan].replica_set_size or count, count)
    start = record.replica_set_start
    if not 0 <= start < count:
        start = (record.id * HASH_MULTIPLIER >> HASH_SHIFT) % count
    return Customer(record.id, plans.index(record.plan), record.plan, start, size, record.migrating)


def _parse_digest(text: str, location: str) -> bytes:
    try:
        digest = bytes.fromhex(text)
    except ValueError:
        digest = b""
    if len(digest) != hashlib.sha256().digest_size:
        raise CustomersError(f"{location}.keys: found no SHA-256 digest, allowed: 64 hexadecimal digits each")
    return digest
