"""Discovery: a pure tracker of the list, and the thin watch that reads it.

The tracker brings lines into the order that the module relies on. A node is its ``instanceId``; where it
listens is told with it and may change. Rule 3 makes old news dangerous: a line that is older than what is
known of a node must not make it ready again. So changes with a generation that is not newer are passed over,
and of a whole list with an older generation (a service that began anew, or an agent that is behind) only
nodes that are not known count, until its generations have passed ours.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

import msgspec

from .. import http1
from .. import interface as api
from ..gateway.lines import LineTooLong, whole_lines
from ..gateway.nodelist import ListRefused
from ..http1 import Malformed
from ..loop import Address, Loop, LoopError
from ..loop.world import parse_address, show

PHASES = {"active": api.Phase.READY, "leaving": api.Phase.DRAINING, "left": api.Phase.GONE}
GUARD = {api.Phase.READY: "ready", api.Phase.DRAINING: "draining", api.Phase.GONE: "gone"}  # see ``guards``
LINE_MOST = 4 << 20  # bytes of one line
NODES_MOST = 10_000
NAMES_MOST = 256  # zones that the settings do not name
CONNECT = 1_000_000  # microseconds
SILENCE = 6_500_000  # three heartbeats: then the service is asked anew
AGAIN_FIRST, AGAIN_MOST = 100_000, 1_600_000  # microseconds between two tries, doubled each time


class Instance(msgspec.Struct, frozen=True, rename="camel"):
    """One line's entry; ``started_at_ms`` 0: long ago."""

    instance_id: str
    host_port: str
    zone: str | None = None
    cell: int | None = None
    lifecycle: str = "active"
    weight: float = 1.0
    started_at_ms: float = 0


class ListLine(msgspec.Struct, frozen=True):
    """One line of the watch, or the whole list."""

    generation: int
    reset: bool
    instances: tuple[Instance, ...]


News = list[tuple[api.ServerEntry, Address | None]]  # of each instance, and where it listens


@dataclass
class Tracker:
    """The list as it is known. ``zones`` are numbered as the settings have them."""

    zones: tuple[str, ...]
    generation: int = -1
    nodes: dict[bytes, api.Phase] = field(default_factory=dict)
    places: dict[bytes, Address] = field(default_factory=dict)
    behind: int = -1  # the newest generation known, while a list that began anew is older
    _numbers: dict[str, int] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self._numbers = {zone: number for number, zone in enumerate(self.zones)}

    def take(self, text: bytes) -> api.ServerListed | None:
        """What a line tells the module, None where it is passed over. Raises ListRefused."""
        try:
            line = msgspec.json.decode(text, type=ListLine)
        except (msgspec.DecodeError, UnicodeDecodeError) as wrong:
            raise ListRefused(f"not a line of a list: {wrong}") from None
        return self.apply(line, api.ListKind.WHOLE)

    def apply(self, line: ListLine, whole: api.ListKind) -> api.ServerListed | None:
        """The same for a decoded line; ``whole`` is what a whole list counts as. Raises ListRefused."""
        news = self._checked(line)
        if not line.reset:
            return self._changes(line, news)
        if line.generation < max(self.generation, self.behind):
            return self._older(line, news)
        self.generation, self.behind = line.generation, -1
        self.nodes, self.places = {}, {}
        for entry, place in news:
            self._put(entry, place)
        return _listed(whole, line.generation, news)

    def _changes(self, line: ListLine, news: News) -> api.ServerListed | None:
        if line.generation <= self.generation:
            return None
        self.generation = line.generation
        for entry, place in news:
            self._put(entry, place)
        if len(self.nodes) > NODES_MOST:
            raise ListRefused(f"{len(self.nodes)} instances, allowed: {NODES_MOST}")
        return _listed(api.ListKind.CHANGES, line.generation, news)

    def _older(self, line: ListLine, news: News) -> api.ServerListed | None:
        """What is known stays; changes go on from the older generation."""
        self.behind = max(self.generation, self.behind)
        self.generation = line.generation
        fresh = [(entry, place) for entry, place in news if entry.server not in self.nodes]
        for entry, place in fresh:
            self._put(entry, place)
        return _listed(api.ListKind.CHANGES, self.behind, fresh) if fresh else None

    def _put(self, entry: api.ServerEntry, place: Address | None) -> None:
        if place is None:
            self.nodes.pop(entry.server, None)
            self.places.pop(entry.server, None)
        else:
            self.nodes[entry.server], self.places[entry.server] = entry.phase, place

    def phase(self, server: bytes) -> str:
        """What the list last said of a node."""
        return GUARD[self.nodes.get(server, api.Phase.GONE)]

    def _checked(self, line: ListLine) -> News:
        if len(line.instances) > NODES_MOST:
            raise ListRefused(f"{len(line.instances)} instances, allowed: {NODES_MOST}")
        return [self._entry(instance) for instance in line.instances]

    def _entry(self, instance: Instance) -> tuple[api.ServerEntry, Address | None]:
        """What the module is told of an instance, and where it listens unless it has left."""
        phase = PHASES.get(instance.lifecycle)
        if phase is None or not instance.instance_id:
            raise ListRefused(f"an instance with the lifecycle {instance.lifecycle!r}")
        try:
            place = parse_address(instance.host_port) if phase is not api.Phase.GONE else None
        except ValueError as wrong:
            raise ListRefused(f"an instance whose hostPort {wrong}") from None
        entry = api.ServerEntry(
            server=instance.instance_id.encode(),
            phase=phase,
            zone=self._number(instance.zone or ""),
            cell=instance.cell or 0,
            launched=int(instance.started_at_ms * 1_000),
            size=instance.weight,
        )
        return entry, place

    def _number(self, zone: str) -> int:
        """A zone's number; of those that the settings do not name, a bounded number is told apart."""
        number = self._numbers.get(zone)
        if number is None:
            number = len(self._numbers)
            if number < len(self.zones) + NAMES_MOST:
                self._numbers[zone] = number
        return number


def _listed(kind: api.ListKind, generation: int, news: News) -> api.ServerListed:
    return api.ServerListed(kind, max(0, generation), tuple([entry for entry, _ in news]))


class Watch:
    """Follows the list at an address; ``told`` is called with what it tells the module."""

    def __init__(
        self,
        loop: Loop,
        tracker: Tracker,
        told: Callable[[api.ServerListed], None],
        failed: Callable[[str], None],
    ) -> None:
        self.loop = loop
        self.tracker = tracker
        self.told = told
        self.failed = failed

    def work(self, at: Address, followed: Callable[[], None] = lambda: None) -> None:
        """Follow for ever; failures are waited out. ``followed`` is called once news come from there."""
        span = AGAIN_FIRST
        while True:
            began = self.loop.now()
            try:
                self._follow(at, followed)
            except (LoopError, Malformed, LineTooLong, ListRefused) as wrong:
                self.failed(f"discovery: {wrong}")
            span = AGAIN_FIRST if self.loop.now() - began > AGAIN_MOST else min(AGAIN_MOST, 2 * span)
            self.loop.sleep(int(span * (0.5 + 0.5 * self.loop.world.random.random())))

    def _follow(self, at: Address, followed: Callable[[], None]) -> None:
        stream = self.loop.world.connect(at, self.loop.now() + CONNECT)
        try:
            target = "/discovery/hosts?watch=1"
            if self.tracker.generation >= 0:
                target += f"&from={self.tracker.generation}"
            head = http1.request_head("GET", target.encode(), [(b"host", show(at).encode())])
            stream.send(head, self.loop.now() + CONNECT)
            for lines in whole_lines(self.loop, stream, SILENCE, LINE_MOST):
                for line in lines:
                    if (listed := self.tracker.take(line)) is not None:
                        self.told(listed)
                followed()
        finally:
            stream.close()
