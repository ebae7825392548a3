"""What a gateway has on disk for fleet versions: contents by name, the voter's votes, the latest ledger.

Each file is replaced as a whole, with fsync; those that are no contents end with a digest, so that a cut or
flipped one is told from a good one. The writes run beside the loop.
"""

from __future__ import annotations

from typing import Any

import msgspec

from orchidlane.rollout.consensus import Kept
from orchidlane.rollout.version import Certificate, name_of
from orchidlane.runtime.backend import World

DIGEST = 64
UPLOADS_MOST = 32  # contents that wait for their proposal
LEDGERS_MOST = 32  # held in memory, for others to fetch


class VoterFile(msgspec.Struct, frozen=True):
    """A voter's disk: its votes, the ledger that it accepted, the latest that it knows to be chosen."""

    kept: Kept
    voted: bytes = b""
    chosen: bytes = b""


class RunningFile(msgspec.Struct, frozen=True):
    """The latest ledger and the version that runs; the contents that are on disk."""

    ledger: bytes
    running: Certificate
    contents: tuple[str, ...] = ()


class Damaged(Exception):
    """A file that is there and can't be used; says which and why."""


class Files:
    """One gateway's files; ``prefix`` is their folder and the gateway's name."""

    def __init__(self, world: World, prefix: str) -> None:
        self.world = world
        self.prefix = prefix
        self.ledgers: dict[str, bytes] = {}  # by name, the latest last
        self.contents: dict[str, None] = {}  # names of those on disk
        self.uploads: dict[str, None] = {}  # those of proposals to come, the latest last

    # -- contents

    def hold(self, name: str, data: bytes) -> None:
        """Keep a ledger at hand."""
        self.ledgers.pop(name, None)
        self.ledgers[name] = data
        while len(self.ledgers) > LEDGERS_MOST:
            del self.ledgers[next(iter(self.ledgers))]

    def get(self, name: str) -> bytes | None:
        """A ledger or a content by its name; None where we have none, or the disk's is not what it was."""
        if name in self.ledgers:
            return self.ledgers[name]
        data = self.world.read_file(self._content(name))
        return data if data is not None and name_of(data) == name else None

    def keep(self, name: str, data: bytes) -> None:
        """Write a content down. Raises OSError."""
        path = self._content(name)
        self.world.aside(lambda: self.world.write_file(path, data))
        self.contents[name] = None

    def upload(self, name: str, data: bytes) -> None:
        """Keep a content that no version names yet; the latest few stay. Raises OSError."""
        self.keep(name, data)
        self.uploads.pop(name, None)
        self.uploads[name] = None
        while len(self.uploads) > UPLOADS_MOST:
            del self.uploads[next(iter(self.uploads))]

    def drop_others(self, names: set[str]) -> None:
        """Contents that no version names any more go."""
        for name in [one for one in self.contents if one not in names and one not in self.uploads]:
            self.world.remove_file(self._content(name))
            del self.contents[name]

    def _content(self, name: str) -> str:
        return f"{self.prefix}.content.{name}"

    # -- the voter, and the latest

    def read_voter(self) -> VoterFile | None:
        """None where there is none. Raises Damaged, OSError."""
        return self._read("voter", VoterFile)

    def write_voter(self, file: VoterFile) -> None:
        """Raises OSError."""
        self._write("voter", file)

    def read_running(self) -> RunningFile | None:
        """None where there is none. Raises Damaged, OSError."""
        found: RunningFile | None = self._read("running", RunningFile)
        if found is not None:
            self.contents = dict.fromkeys(found.contents)
        return found

    def write_running(self, file: RunningFile) -> None:
        """Raises OSError."""
        self._write("running", file)

    def _read(self, kind: str, of: type[Any]) -> Any:
        path = f"{self.prefix}.{kind}"
        data = self.world.read_file(path)
        if data is None:
            return None
        body, digest = data[:-DIGEST], data[-DIGEST:]
        if name_of(body).encode() != digest:
            raise Damaged(f"{path}: {len(data)} bytes, cut or changed")
        try:
            return msgspec.msgpack.decode(body, type=of)
        except msgspec.DecodeError as wrong:
            raise Damaged(f"{path}: {wrong}") from None

    def _write(self, kind: str, file: msgspec.Struct) -> None:
        body = msgspec.msgpack.encode(file)
        path, data = f"{self.prefix}.{kind}", body + name_of(body).encode()
        self.world.aside(lambda: self.world.write_file(path, data))
