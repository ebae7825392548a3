"""Discovery: a pure tracker of the list, and the thin watch that reads it.

The tracker brings lines into the order that the module relies on. A node is its ``instanceId``; where it
listens is told with it and may change. Rule 3 makes old news dangerous: a line that is older than what is
known of a node must not make it ready again. So changes with a generation that is not newer are passed over.
A whole list with an older generation (a service that began anew, or an agent that is behind) takes nothing
away, and until its generations have passed ours an entry of it makes a node ready only where we know nothing
of that node, neither that it drains nor that it left, or where it has started again since.
"""

from __future__ import annotations

from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass, field

import msgspec

from orchidlane import http1, policy
from orchidlane.gateway.control.endpoint_list import WatchEventError
from orchidlane.gateway.control.json_stream import LineTooLongError, read_objects
from orchidlane.http1 import Malformed
from orchidlane.platform.polling import SILENCE, Asking
from orchidlane.runtime import CONTROL, Address, Expired, Loop, LoopError, Scope, Task
from orchidlane.runtime.backend import parse_address, show

PHASES = {
    "active": policy.EndpointState.READY,
    "leaving": policy.EndpointState.DRAINING,
    "left": policy.EndpointState.GONE,
}
GUARD = {
    policy.EndpointState.READY: "ready",
    policy.EndpointState.DRAINING: "draining",
    policy.EndpointState.GONE: "gone",
}  # see ``guards``
LINE_MOST = 4 << 20  # bytes of one line
NODES_MOST = 10_000
NAMES_MOST = 256  # zones that the settings do not name
LEFT_LEAST = 256  # nodes that left lately which are remembered, or twice as many as there are


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


News = list[tuple[policy.EndpointEntry, Address | None]]  # of each instance, and where it listens


@dataclass
class Tracker:
    """The list as it is known. ``zones`` are numbered as the settings have them."""

    zones: tuple[str, ...]
    generation: int = -1
    nodes: dict[bytes, policy.EndpointEntry] = field(default_factory=dict)
    places: dict[bytes, Address] = field(default_factory=dict)
    behind: int = -1  # the newest generation known, while a list that began anew is older
    left: dict[bytes, int] = field(default_factory=dict)  # nodes that left lately, when they had started
    _numbers: dict[str, int] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self._numbers = {zone: number for number, zone in enumerate(self.zones)}

    def take(self, text: bytes) -> policy.EndpointListReceived | None:
        """What a line tells the module, None where it is passed over. Raises ListRefused."""
        try:
            line = msgspec.json.decode(text, type=ListLine)
        except (msgspec.DecodeError, UnicodeDecodeError) as wrong:
            raise WatchEventError(f"not a line of a list: {wrong}") from None
        return self.apply(line, policy.EndpointListKind.COMPLETE)

    def apply(self, line: ListLine, snapshot: policy.EndpointListKind) -> policy.EndpointListReceived | None:
        """The same for a decoded line; ``snapshot`` is what a whole list counts as. Raises ListRefused."""
        news = self._checked(line)
        if not line.reset:
            return self._delta(line, news)
        if line.generation < max(self.generation, self.behind):
            return self._older(line, news)
        self.generation, self.behind = line.generation, -1
        for server in self.nodes.keys() - {entry.endpoint for entry, _ in news}:
            self._leave(server)
        for entry, place in news:
            self._put(entry, place)
        return _listed(snapshot, line.generation, news)

    def _delta(self, line: ListLine, news: News) -> policy.EndpointListReceived | None:
        if line.generation <= self.generation:
            return None
        if line.generation <= self.behind:
            return self._older(line, news)
        self._check_room(news)
        self.generation = line.generation
        for entry, place in news:
            self._put(entry, place)
        return _listed(policy.EndpointListKind.DELTA, line.generation, news)

    def _older(self, line: ListLine, news: News) -> policy.EndpointListReceived | None:
        """What is known stays; changes go on from the older generation."""
        fresh = [(entry, place) for entry, place in news if self._counts(entry)]
        self._check_room(fresh)
        self.behind = max(self.generation, self.behind)
        self.generation = line.generation
        for entry, place in fresh:
            self._put(entry, place)
        return _listed(policy.EndpointListKind.DELTA, self.behind, fresh) if fresh else None

    def _counts(self, entry: policy.EndpointEntry) -> bool:
        """Guards against old news that make a node ready: whether an older list's word on it counts."""
        known = self.nodes.get(entry.endpoint)
        if known is not None:
            newer = entry.started_at_us > known.started_at_us
            return newer or (
                entry.state is not policy.EndpointState.READY and entry.started_at_us == known.started_at_us
            )
        return entry.state is not policy.EndpointState.GONE and entry.started_at_us > self.left.get(
            entry.endpoint, -1
        )

    def _check_room(self, news: News) -> None:
        """Refuse before anything has changed."""
        size = len(self.nodes) + sum(entry.endpoint not in self.nodes for entry, _ in news)
        if size > NODES_MOST:
            raise WatchEventError(f"{size} instances, allowed: {NODES_MOST}")

    def _put(self, entry: policy.EndpointEntry, place: Address | None) -> None:
        if place is None:
            self._leave(entry.endpoint)
        else:
            self.nodes[entry.endpoint], self.places[entry.endpoint] = entry, place
            self.left.pop(entry.endpoint, None)

    def _leave(self, server: bytes) -> None:
        """Nodes always new must not cost memory: those that left longest ago are forgotten."""
        known = self.nodes.pop(server, None)
        self.places.pop(server, None)
        if known is not None:
            self.left[server] = known.started_at_us
        while len(self.left) > max(LEFT_LEAST, 2 * len(self.nodes)):
            del self.left[next(iter(self.left))]

    def phase(self, server: bytes) -> str:
        """What the list last said of a node."""
        known = self.nodes.get(server)
        return GUARD[known.state if known is not None else policy.EndpointState.GONE]

    def _checked(self, line: ListLine) -> News:
        if len(line.instances) > NODES_MOST:
            raise WatchEventError(f"{len(line.instances)} instances, allowed: {NODES_MOST}")
        return [self._entry(instance) for instance in line.instances]

    def _entry(self, instance: Instance) -> tuple[policy.EndpointEntry, Address | None]:
        """What the module is told of an instance, and where it listens unless it has left."""
        phase = PHASES.get(instance.lifecycle)
        if phase is None or not instance.instance_id:
            raise WatchEventError(f"an instance with the lifecycle {instance.lifecycle!r}")
        try:
            place = parse_address(instance.host_port) if phase is not policy.EndpointState.GONE else None
        except ValueError as wrong:
            raise WatchEventError(f"an instance whose hostPort {wrong}") from None
        entry = policy.EndpointEntry(
            endpoint=instance.instance_id.encode(),
            state=phase,
            zone=self._number(instance.zone or ""),
            cell=instance.cell or 0,
            started_at_us=int(instance.started_at_ms * 1_000),
            capacity_share=instance.weight,
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


def _listed(kind: policy.EndpointListKind, generation: int, news: News) -> policy.EndpointListReceived:
    return policy.EndpointListReceived(kind, max(0, generation), tuple([entry for entry, _ in news]))


class Watch:
    """Follows the list at an address; ``told`` is called with what it tells the module."""

    def __init__(
        self,
        loop: Loop,
        tracker: Tracker,
        told: Callable[[policy.EndpointListReceived], None],
        failed: Callable[[str], None],
        interval: int,
    ) -> None:
        self.loop = loop
        self.tracker = tracker
        self.told = told
        self.failed = failed
        self.asking = Asking(interval)
        self._calls: dict[int, Task] = {}
        self._why = ""  # a call failed last time: told once
        self._wake: Callable[[], None]  # the task that asks

    def work(self, at: Address, followed: Callable[[], None] = lambda: None) -> None:
        """Follow for ever, by ``asking``. ``followed`` is called once something is said there."""
        main = self.loop.current
        assert main is not None
        self._wake = lambda: self.loop.wake(main)
        with Scope(self.loop) as scope:
            while True:
                number, given_up = self.asking.ask(self.loop.now())
                self._give_up(given_up)
                if number is not None:
                    call = scope.spawn(self._call, number, at, followed, kind=CONTROL, name="call")
                    self._calls[number] = call
                with suppress(Expired):
                    self.loop.park(self.asking.next_look())

    def _give_up(self, numbers: list[int]) -> None:
        for number in numbers:
            self.loop.cancel(self._calls[number])

    def _call(self, number: int, at: Address, followed: Callable[[], None]) -> None:
        """One call from its begin to its end, which the next one may wait for."""
        try:
            self._follow(number, at, followed)
        except (LoopError, Malformed, LineTooLongError, WatchEventError) as wrong:
            if str(wrong) != self._why:
                self._why = str(wrong)
                self.failed(f"discovery: {wrong}")
        finally:
            del self._calls[number]
            self.asking.ended(number, self.loop.now())
            self._wake()

    def _follow(self, number: int, at: Address, followed: Callable[[], None]) -> None:
        stream = self.loop.world.connect(at)
        try:
            target = "/discovery/hosts?watch=1"
            if self.tracker.generation >= 0:
                target += f"&from={self.tracker.generation}"
            stream.send(http1.request_head("GET", target.encode(), [(b"host", show(at).encode())]))
            for piece, objects in enumerate(read_objects(self.loop, stream, SILENCE, LINE_MOST)):
                self._give_up(self.asking.spoke(number))
                for line in objects:
                    if (listed := self.tracker.take(line)) is not None:
                        self.told(listed)
                    self._why = ""
                if piece:  # more than a head
                    followed()
        finally:
            stream.close()
