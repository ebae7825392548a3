"""What a gateway has on disk for fleet versions: contents by name, the voter's votes, the latest ledger.

Each file is replaced as a whole, with fsync; those that are no contents end with a digest, so that a cut or
flipped one is told from a good one. The writes run beside the loop.
"""

from __future__ import annotations

from typing import Any

import msgspec

from orchidlane.rollout.version import Certificate, content_hash
from orchidlane.rollout.voter_state import VoterState
from orchidlane.runtime.backend import World

DIGEST_BYTES = 64
MAX_UPLOADS = 32  # contents that wait for their proposal
MAX_CACHED_STATES = 32  # held in memory, for others to fetch


class VoterFile(msgspec.Struct, frozen=True):
    """A voter's disk: its votes, the ledger that it accepted, the latest that it knows to be chosen."""

    voter_state: VoterState = msgspec.field(name="kept")
    accepted_state: bytes = msgspec.field(default=b"", name="voted")
    chosen_state: bytes = msgspec.field(default=b"", name="chosen")


class RunningFile(msgspec.Struct, frozen=True):
    """The latest ledger and the version that runs; the contents that are on disk."""

    state: bytes = msgspec.field(name="ledger")
    running: Certificate
    contents: tuple[str, ...] = ()


class CorruptFileError(Exception):
    """A file that is there and can't be used; says which and why."""


class RolloutStorage:
    """One gateway's files; ``prefix`` is their folder and the gateway's name."""

    def __init__(self, world: World, prefix: str) -> None:
        self.world = world
        self.prefix = prefix
        self.cached_states: dict[str, bytes] = {}  # by name, the latest last
        self.contents: dict[str, None] = {}  # names of those on disk
        self.uploads: dict[str, None] = {}  # those of proposals to come, the latest last

    # -- contents

    def cache_state(self, state_hash: str, data: bytes) -> None:
        """Keep a ledger at hand."""
        self.cached_states.pop(state_hash, None)
        self.cached_states[state_hash] = data
        while len(self.cached_states) > MAX_CACHED_STATES:
            del self.cached_states[next(iter(self.cached_states))]

    def read_blob(self, blob_hash: str) -> bytes | None:
        """A ledger or a content by its name; None where we have none, or the disk's is not what it was."""
        if blob_hash in self.cached_states:
            return self.cached_states[blob_hash]
        data = self.world.read_file(self._content_path(blob_hash))
        return data if data is not None and content_hash(data) == blob_hash else None

    def write_content(self, blob_hash: str, data: bytes) -> None:
        """Write a content down. Raises OSError."""
        path = self._content_path(blob_hash)
        self.world.aside(lambda: self.world.write_file(path, data))
        self.contents[blob_hash] = None

    def write_upload(self, blob_hash: str, data: bytes) -> None:
        """Keep a content that no version names yet; the latest few stay. Raises OSError."""
        self.write_content(blob_hash, data)
        self.uploads.pop(blob_hash, None)
        self.uploads[blob_hash] = None
        while len(self.uploads) > MAX_UPLOADS:
            del self.uploads[next(iter(self.uploads))]

    def remove_unreferenced_contents(self, referenced: set[str]) -> None:
        """Contents that no version names any more go."""
        for name in [one for one in self.contents if one not in referenced and one not in self.uploads]:
            self.world.remove_file(self._content_path(name))
            del self.contents[name]

    def _content_path(self, name: str) -> str:
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

    def _read(self, kind: str, file_type: type[Any]) -> Any:
        path = f"{self.prefix}.{kind}"
        data = self.world.read_file(path)
        if data is None:
            return None
        body, digest = data[:-DIGEST_BYTES], data[-DIGEST_BYTES:]
        if content_hash(body).encode() != digest:
            raise CorruptFileError(f"{path}: {len(data)} bytes, cut or changed")
        try:
            return msgspec.msgpack.decode(body, type=file_type)
        except msgspec.DecodeError as wrong:
            raise CorruptFileError(f"{path}: {wrong}") from None

    def _write(self, kind: str, file: msgspec.Struct) -> None:
        body = msgspec.msgpack.encode(file)
        path, data = f"{self.prefix}.{kind}", body + content_hash(body).encode()
        self.world.aside(lambda: self.world.write_file(path, data))
