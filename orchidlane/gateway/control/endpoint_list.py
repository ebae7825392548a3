"""The endpoint list: applies watch events and passes them on to the policy in order. Does no I/O.

The watch is a stream of JSON lines. A ``whole`` event replaces the list, a ``changes`` event changes some of
its endpoints; each has the list's epoch and a version that increases within the epoch. An older version would
bring removed endpoints back, to which nothing may be sent (rule 3), so events out of order are not applied:
an older version of the same epoch is ignored, and changes of another epoch, or after a gap, make the watch
start again from a complete list. A complete list of a new epoch is applied even if it is empty: then every
endpoint is gone.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Literal

import msgspec

from orchidlane import policy

ENDPOINT_STATES = {
    "ready": policy.EndpointState.READY,
    "draining": policy.EndpointState.DRAINING,
    "gone": policy.EndpointState.GONE,
}
MAX_LINE_BYTES = 8 << 20
CACHE_FORMAT = 1


class EndpointRecord(msgspec.Struct, frozen=True):
    """One endpoint; ``started_at_us`` is microseconds since the Unix epoch, 0 where it started long ago."""

    address: str
    state: Literal["ready", "draining", "gone"] = msgspec.field(name="phase")
    zone: str
    cell: str
    started_at_us: int = msgspec.field(name="launched", default=0)
    capacity_share: float = msgspec.field(name="size", default=1.0)


class WatchEvent(msgspec.Struct, frozen=True):
    """One line of the watch; ``base_version`` is the list version that a ``changes`` event applies to."""

    kind: Literal["whole", "changes"]
    epoch: str
    version: int
    endpoints: tuple[EndpointRecord, ...] = msgspec.field(name="nodes")
    base_version: int = msgspec.field(name="after", default=0)


class CachedEndpointList(msgspec.Struct, frozen=True):
    """The list as it is cached on disk, for the next start of the gateway."""

    format: int
    epoch: str
    version: int
    endpoints: tuple[EndpointRecord, ...] = msgspec.field(name="nodes")


class TransferredEndpointList(msgspec.Struct, frozen=True):
    """The list as the old process of a hot restart transfers it to the new one.

    ``numbers`` has the number of each zone and cell, so that the policy's state stays valid.
    """

    epoch: str
    version: int
    endpoints: tuple[EndpointRecord, ...] = msgspec.field(name="nodes")
    numbers: dict[str, int]


class WatchEventError(Exception):
    """A watch event can't be applied; the watch has to start again from a complete list."""


@dataclass
class EndpointListTracker:
    """The current endpoint list; ``zone`` is the gateway's own zone, which gets number 0."""

    zone: str
    max_endpoints: int
    epoch: str = ""
    version: int = -1
    endpoints: dict[str, EndpointRecord] = field(default_factory=dict)
    ignored_events: int = 0
    _numbers: dict[str, int] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self._zone_number(self.zone)

    def apply_line(self, line: bytes) -> policy.EndpointListReceived | None:
        """Apply a line of the watch; return the event for the policy, None where the line is ignored.

        Raises WatchEventError.
        """
        event = _decode_event(line)
        self._check_size(len(event.endpoints))
        is_same_epoch = event.epoch == self.epoch
        if is_same_epoch and event.version < self.version:
            self.ignored_events += 1
            return None
        if event.kind == "changes":
            return self._apply_changes(event, is_same_epoch)
        return self._apply_complete_list(event)

    def _apply_complete_list(self, event: WatchEvent) -> policy.EndpointListReceived:
        self.epoch = event.epoch
        self.version = event.version
        self.endpoints = {record.address: record for record in event.endpoints if record.state != "gone"}
        return self._policy_event(policy.EndpointListKind.COMPLETE, event.endpoints)

    def _apply_changes(self, event: WatchEvent, is_same_epoch: bool) -> policy.EndpointListReceived | None:
        if not is_same_epoch or event.base_version > self.version:
            raise WatchEventError("the changes apply to a list version that this gateway does not have")
        if event.version == self.version:
            self.ignored_events += 1
            return None
        self.version = event.version
        for record in event.endpoints:
            if record.state == "gone":
                self.endpoints.pop(record.address, None)
            else:
                self.endpoints[record.address] = record
        self._check_size(len(self.endpoints))
        return self._policy_event(policy.EndpointListKind.DELTA, event.endpoints)

    def _check_size(self, size: int) -> None:
        if size > self.max_endpoints:
            raise WatchEventError(f"{size} endpoints in the list, allowed: {self.max_endpoints}")

    def state(self, endpoint: bytes) -> str:
        """Return an endpoint's latest known state: ready, draining or gone."""
        record = self.endpoints.get(endpoint.decode())
        return record.state if record else "gone"

    def encode_cache(self) -> bytes:
        """Return the list in the form that ``load_cache`` reads."""
        cached = CachedEndpointList(CACHE_FORMAT, self.epoch, self.version, tuple(self.endpoints.values()))
        return msgspec.json.encode(cached)

    def load_cache(self, text: bytes) -> policy.EndpointListReceived | None:
        """Load a cached list; return the event for the policy, None where the cache is not valid.

        The version is not restored, so that the first complete list is applied, whether older or newer.
        """
        try:
            cached = msgspec.json.decode(text, type=CachedEndpointList)
        except (msgspec.DecodeError, UnicodeDecodeError):
            return None
        if cached.format != CACHE_FORMAT or len(cached.endpoints) > self.max_endpoints:
            return None
        self.endpoints = {record.address: record for record in cached.endpoints}
        return self._policy_event(policy.EndpointListKind.CACHED, cached.endpoints)

    def export_state(self) -> dict[str, object]:
        """Return what the new process of a hot restart needs to continue with this list."""
        return {
            "epoch": self.epoch,
            "version": self.version,
            "nodes": list(self.endpoints.values()),
            "numbers": self._numbers,
        }

    def import_state(self, exported: dict[str, object]) -> None:
        """Load the list that the old process of a hot restart exported. Raises msgspec.ValidationError."""
        transferred = msgspec.convert(exported, TransferredEndpointList)
        self.epoch = transferred.epoch
        self.version = transferred.version
        self._numbers = transferred.numbers
        self.endpoints = {record.address: record for record in transferred.endpoints}

    def _policy_event(
        self, kind: policy.EndpointListKind, records: tuple[EndpointRecord, ...]
    ) -> policy.EndpointListReceived:
        entries = tuple(self._policy_entry(record) for record in records)
        return policy.EndpointListReceived(kind, max(0, self.version), entries)

    def _policy_entry(self, record: EndpointRecord) -> policy.EndpointEntry:
        return policy.EndpointEntry(
            endpoint=record.address.encode(),
            state=ENDPOINT_STATES[record.state],
            zone=self._zone_number(record.zone),
            cell=self._number("cell:" + record.zone + "/" + record.cell),
            started_at_us=record.started_at_us,
            capacity_share=record.capacity_share,
        )

    def _zone_number(self, zone: str) -> int:
        return self._number("zone:" + zone)

    def _number(self, name: str) -> int:
        """Return the stable number of a zone or cell; at most twice ``max_endpoints`` are given."""
        number = self._numbers.get(name)
        if number is None:
            if len(self._numbers) > 2 * self.max_endpoints:
                raise WatchEventError("too many zones and cells, allowed: twice as many as endpoints")
            number = len(self._numbers)
            self._numbers[name] = number
        return number


def _decode_event(line: bytes) -> WatchEvent:
    try:
        return msgspec.json.decode(line, type=WatchEvent)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise WatchEventError(f"not a valid line of the endpoint list: {error}") from None
