"""The endpoint list as discovery reports it. Does no I/O.

``DiscoveryTracker`` turns discovery's lines into endpoint list events for the policy, which relies on their
order. An endpoint is identified by its ``instanceId``; its address is reported with it and may change.

A stale line must not make an endpoint ready again (rule 3), so changes whose generation is not newer than the
tracker's are ignored. A complete list with an older generation comes from a discovery service that was reset
or from an agent that lags behind; it removes no endpoints. From then on the tracker follows the generations
of that list. Until they exceed the newest generation seen before, an entry makes an endpoint ready only if
the endpoint is neither draining nor gone, or if it has restarted since.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import NamedTuple

import msgspec

from orchidlane import policy
from orchidlane.gateway.control.endpoint_list import WatchEventError
from orchidlane.runtime import Address
from orchidlane.runtime.backend import parse_address

ENDPOINT_STATES = {
    "active": policy.EndpointState.READY,
    "leaving": policy.EndpointState.DRAINING,
    "left": policy.EndpointState.GONE,
}
STATE_NAMES = {
    policy.EndpointState.READY: "ready",
    policy.EndpointState.DRAINING: "draining",
    policy.EndpointState.GONE: "gone",
}
MAX_ENDPOINTS = 10_000
MAX_OTHER_ZONES = 256  # zones that are not in the settings
MIN_DEPARTED_REMEMBERED = 256  # twice the number of endpoints are remembered where that is more


class Instance(msgspec.Struct, frozen=True, rename="camel"):
    """One endpoint in a line; ``started_at_ms`` is milliseconds since the Unix epoch, 0 means long ago."""

    instance_id: str
    host_port: str
    zone: str | None = None
    cell: int | None = None
    lifecycle: str = "active"
    weight: float = 1.0
    started_at_ms: float = 0


class DiscoveryEvent(msgspec.Struct, frozen=True):
    """One line of the watch: the complete list if ``reset`` is set, otherwise changes to the list."""

    generation: int
    reset: bool
    instances: tuple[Instance, ...]


class ResolvedEntry(NamedTuple):
    """An endpoint list entry for the policy and its address, which is None if the endpoint is gone."""

    entry: policy.EndpointEntry
    address: Address | None


@dataclass
class DiscoveryTracker:
    """The current endpoint list; ``zones`` has the zone names in the order of the settings.

    While the tracker follows a list that is older than one seen before, ``newest_generation`` is the newest
    generation seen; otherwise it is -1. ``departed`` maps endpoints that are gone to their start times in
    microseconds, in the order of their departure.
    """

    zones: tuple[str, ...]
    generation: int = -1
    endpoints: dict[bytes, policy.EndpointEntry] = field(default_factory=dict)
    addresses: dict[bytes, Address] = field(default_factory=dict)
    newest_generation: int = -1
    departed: dict[bytes, int] = field(default_factory=dict)
    _zone_numbers: dict[str, int] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self._zone_numbers = {zone: number for number, zone in enumerate(self.zones)}

    def apply_line(self, line: bytes) -> policy.EndpointListReceived | None:
        """Apply a line and return the policy event, or None if it is ignored. Raises WatchEventError."""
        try:
            event = msgspec.json.decode(line, type=DiscoveryEvent)
        except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
            raise WatchEventError(f"the line is not a valid discovery event: {error}") from None
        return self.apply(event, policy.EndpointListKind.COMPLETE)

    def apply(
        self, event: DiscoveryEvent, complete_kind: policy.EndpointListKind
    ) -> policy.EndpointListReceived | None:
        """Apply a decoded line and return the policy event, or None if the line is ignored.

        A complete list becomes an event of the kind ``complete_kind``. Raises WatchEventError.
        """
        entries = self._resolve_all(event)
        if not event.reset:
            return self._apply_changes(event, entries)
        if event.generation < max(self.generation, self.newest_generation):
            return self._apply_stale(event, entries)
        self.generation = event.generation
        self.newest_generation = -1
        for endpoint in self.endpoints.keys() - {resolved.entry.endpoint for resolved in entries}:
            self._remove(endpoint)
        self._store_all(entries)
        return _policy_event(complete_kind, event.generation, entries)

    def _apply_changes(
        self, event: DiscoveryEvent, entries: list[ResolvedEntry]
    ) -> policy.EndpointListReceived | None:
        if event.generation <= self.generation:
            return None
        if event.generation <= self.newest_generation:
            return self._apply_stale(event, entries)
        self._check_size(entries)
        self.generation = event.generation
        self._store_all(entries)
        return _policy_event(policy.EndpointListKind.DELTA, event.generation, entries)

    def _apply_stale(
        self, event: DiscoveryEvent, entries: list[ResolvedEntry]
    ) -> policy.EndpointListReceived | None:
        """Apply only the entries that are newer, and follow the event's older generation from now on."""
        newer = [resolved for resolved in entries if self._is_newer(resolved.entry)]
        self._check_size(newer)
        self.newest_generation = max(self.generation, self.newest_generation)
        self.generation = event.generation
        self._store_all(newer)
        if not newer:
            return None
        return _policy_event(policy.EndpointListKind.DELTA, self.newest_generation, newer)

    def _is_newer(self, entry: policy.EndpointEntry) -> bool:
        """Return whether an entry of a stale event is newer than the tracker's state of its endpoint."""
        current = self.endpoints.get(entry.endpoint)
        if current is not None:
            if entry.started_at_us > current.started_at_us:
                return True
            is_ready = entry.state is policy.EndpointState.READY
            return not is_ready and entry.started_at_us == current.started_at_us
        is_gone = entry.state is policy.EndpointState.GONE
        return not is_gone and entry.started_at_us > self.departed.get(entry.endpoint, -1)

    def _check_size(self, entries: list[ResolvedEntry]) -> None:
        """Raise WatchEventError if storing the entries would exceed ``MAX_ENDPOINTS``."""
        added = sum(resolved.entry.endpoint not in self.endpoints for resolved in entries)
        size = len(self.endpoints) + added
        if size > MAX_ENDPOINTS:
            raise WatchEventError(f"{size} instances after the changes, allowed: at most {MAX_ENDPOINTS}")

    def _store_all(self, entries: list[ResolvedEntry]) -> None:
        for entry, address in entries:
            if address is None:
                self._remove(entry.endpoint)
                continue
            self.endpoints[entry.endpoint] = entry
            self.addresses[entry.endpoint] = address
            self.departed.pop(entry.endpoint, None)

    def _remove(self, endpoint: bytes) -> None:
        """Remove an endpoint and remember its departure; the oldest departures are forgotten."""
        removed = self.endpoints.pop(endpoint, None)
        self.addresses.pop(endpoint, None)
        if removed is not None:
            self.departed[endpoint] = removed.started_at_us
        while len(self.departed) > max(MIN_DEPARTED_REMEMBERED, 2 * len(self.endpoints)):
            del self.departed[next(iter(self.departed))]

    def state(self, endpoint: bytes) -> str:
        """Return the latest known state of an endpoint: ready, draining or gone."""
        current = self.endpoints.get(endpoint)
        return STATE_NAMES[current.state if current is not None else policy.EndpointState.GONE]

    def _resolve_all(self, event: DiscoveryEvent) -> list[ResolvedEntry]:
        if len(event.instances) > MAX_ENDPOINTS:
            raise WatchEventError(
                f"{len(event.instances)} instances in one line, allowed: at most {MAX_ENDPOINTS}"
            )
        return [self._resolve(instance) for instance in event.instances]

    def _resolve(self, instance: Instance) -> ResolvedEntry:
        state = ENDPOINT_STATES.get(instance.lifecycle)
        if state is None or not instance.instance_id:
            raise WatchEventError(
                f"instance without instanceId, or not active, leaving or left: {instance.lifecycle!r}"
            )
        try:
            address = parse_address(instance.host_port) if state is not policy.EndpointState.GONE else None
        except ValueError as error:
            raise WatchEventError(f"instance with an invalid hostPort: {error}") from None
        entry = policy.EndpointEntry(
            endpoint=instance.instance_id.encode(),
            state=state,
            zone=self._zone_number(instance.zone or ""),
            cell=instance.cell or 0,
            started_at_us=_started_at_us(instance),
            capacity_share=instance.weight,
        )
        return ResolvedEntry(entry, address)

    def _zone_number(self, zone: str) -> int:
        """Return the number of a zone.

        Beyond ``MAX_OTHER_ZONES``, further zones that are not in the settings share one number.
        """
        number = self._zone_numbers.get(zone)
        if number is None:
            number = len(self._zone_numbers)
            if number < len(self.zones) + MAX_OTHER_ZONES:
                self._zone_numbers[zone] = number
        return number


def _started_at_us(instance: Instance) -> int:
    """Return the start time in microseconds since the Unix epoch. Raises WatchEventError."""
    try:
        return int(instance.started_at_ms * 1_000)
    except OverflowError:
        raise WatchEventError("instance with a startedAtMs that is out of range") from None


def _policy_event(
    kind: policy.EndpointListKind, generation: int, entries: list[ResolvedEntry]
) -> policy.EndpointListReceived:
    return policy.EndpointListReceived(
        kind, max(0, generation), tuple([resolved.entry for resolved in entries])
    )
