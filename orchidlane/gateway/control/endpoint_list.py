"""What the node list tells, brought into the order that the module relies on. Decides without I/O.

The list is a stream of JSON lines. ``whole`` ones replace, ``changes`` ones add to what came before; each has
the list's epoch and a version that grows within it. What is out of order is not believed, since a list that
went back in version would bring gone nodes back (rule 3): an older version of the same epoch is passed over,
changes of another epoch, or with a gap before them, ask for the whole list. A whole list of a new epoch
counts, an empty one too: it says that every node is gone.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Literal

import msgspec

from orchidlane import policy

PHASES = {
    "ready": policy.EndpointState.READY,
    "draining": policy.EndpointState.DRAINING,
    "gone": policy.EndpointState.GONE,
}
LINE_MOST = 8 << 20  # bytes of one line


class NodeLine(msgspec.Struct, frozen=True):
    """One node; ``launched`` is its start in microseconds of the time of day, 0: long ago."""

    address: str
    phase: Literal["ready", "draining", "gone"]
    zone: str
    cell: str
    launched: int = 0
    size: float = 1.0


class ListLine(msgspec.Struct, frozen=True):
    """One line of the watch; ``after`` is the version that changes add to."""

    kind: Literal["whole", "changes"]
    epoch: str
    version: int
    nodes: tuple[NodeLine, ...]
    after: int = 0


class Cached(msgspec.Struct, frozen=True):
    """What is kept on disk for a restart."""

    format: int
    epoch: str
    version: int
    nodes: tuple[NodeLine, ...]


class Carried(msgspec.Struct, frozen=True):
    """What passes from one process to its successor."""

    epoch: str
    version: int
    nodes: tuple[NodeLine, ...]
    numbers: dict[str, int]


CACHE_FORMAT = 1


class ListRefused(Exception):
    """A line that can't be used: the watch has to begin anew with the whole list."""


@dataclass
class ListTracker:
    """The list as it is known; ``zone`` is the gateway's own, so that it has number 0."""

    zone: str
    most: int
    epoch: str = ""
    version: int = -1
    nodes: dict[str, NodeLine] = field(default_factory=dict)
    passed_over: int = 0
    _numbers: dict[str, int] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self._number("zone:" + self.zone)

    def take(self, text: bytes) -> policy.EndpointListReceived | None:
        """What a line tells the module, None where it is passed over. Raises ListRefused."""
        try:
            line = msgspec.json.decode(text, type=ListLine)
        except (msgspec.DecodeError, UnicodeDecodeError) as wrong:
            raise ListRefused(f"not a line of a node list: {wrong}") from None
        if len(line.nodes) > self.most:
            raise ListRefused(f"{len(line.nodes)} nodes, allowed: {self.most}")
        known = line.epoch == self.epoch
        if known and line.version < self.version:
            self.passed_over += 1
            return None
        if line.kind == "changes":
            return self._take_changes(line, known)
        return self._take_whole(line)

    def _take_whole(self, line: ListLine) -> policy.EndpointListReceived:
        self.epoch, self.version = line.epoch, line.version
        self.nodes = {node.address: node for node in line.nodes if node.phase != "gone"}
        return self._listed(policy.EndpointListKind.COMPLETE, line.nodes)

    def _take_changes(self, line: ListLine, known: bool) -> policy.EndpointListReceived | None:
        if not known or line.after > self.version:
            raise ListRefused("changes to a list that is not known")
        if line.version == self.version:
            self.passed_over += 1
            return None
        self.version = line.version
        for node in line.nodes:
            if node.phase == "gone":
                self.nodes.pop(node.address, None)
            else:
                self.nodes[node.address] = node
        if len(self.nodes) > self.most:
            raise ListRefused(f"{len(self.nodes)} nodes, allowed: {self.most}")
        return self._listed(policy.EndpointListKind.DELTA, line.nodes)

    def phase(self, server: bytes) -> str:
        """What the list last said of a node."""
        node = self.nodes.get(server.decode())
        return node.phase if node else "gone"

    def cached(self) -> bytes:
        """What to keep on disk."""
        kept = Cached(CACHE_FORMAT, self.epoch, self.version, tuple(self.nodes.values()))
        return msgspec.json.encode(kept)

    def carried(self) -> dict[str, object]:
        """All that a successor needs to go on with the list as we know it."""
        return {
            "epoch": self.epoch,
            "version": self.version,
            "nodes": list(self.nodes.values()),
            "numbers": self._numbers,
        }

    def carry_on(self, carried: dict[str, object]) -> None:
        """Go on where another process of this gateway stood. Raises msgspec.ValidationError."""
        found = msgspec.convert(carried, Carried)
        self.epoch, self.version, self._numbers = found.epoch, found.version, found.numbers
        self.nodes = {node.address: node for node in found.nodes}

    def restore(self, text: bytes) -> policy.EndpointListReceived | None:
        """What a kept list tells the module; None where it can't be read, which costs no more than a wait.

        The version is forgotten: whatever the list's service says first counts, older or newer.
        """
        try:
            kept = msgspec.json.decode(text, type=Cached)
        except (msgspec.DecodeError, UnicodeDecodeError):
            return None
        if kept.format != CACHE_FORMAT or len(kept.nodes) > self.most:
            return None
        self.nodes = {node.address: node for node in kept.nodes}
        return self._listed(policy.EndpointListKind.CACHED, kept.nodes)

    def _listed(
        self, kind: policy.EndpointListKind, nodes: tuple[NodeLine, ...]
    ) -> policy.EndpointListReceived:
        entries = tuple(
            policy.EndpointEntry(
                endpoint=node.address.encode(),
                state=PHASES[node.phase],
                zone=self._number("zone:" + node.zone),
                cell=self._number("cell:" + node.zone + "/" + node.cell),
                started_at_us=node.launched,
                capacity_share=node.size,
            )
            for node in nodes
        )
        return policy.EndpointListReceived(kind, max(0, self.version), entries)

    def _number(self, name: str) -> int:
        """A stable number for a zone or cell; so many names as nodes, twice, are remembered."""
        number = self._numbers.get(name)
        if number is None:
            if len(self._numbers) > 2 * self.most:
                raise ListRefused("too many zones and cells")
            number = self._numbers[name] = len(self._numbers)
        return number
