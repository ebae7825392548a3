"""A gateway's rollout files: content files by hash, the voter's file and the running version's file.

Each file is replaced as a whole, with fsync, in a separate thread. The voter's file and the running version's
file end with a digest, by which a truncated or damaged file is detected; a content file is checked against
the hash in its name.
"""

from __future__ import annotations

from typing import TypeVar

import msgspec

from orchidlane.rollout.version import Certificate, content_hash
from orchidlane.rollout.voter_state import VoterState
from orchidlane.runtime.backend import Backend

DIGEST_BYTES = 64
MAX_UPLOADS = 32  # content files that no version names yet
MAX_CACHED_STATES = 32  # in memory, for other gateways to fetch


class VoterFile(msgspec.Struct, frozen=True):
    """A voter's file: its state, and the accepted and the latest chosen replicated state, encoded."""

    voter_state: VoterState = msgspec.field(name="kept")
    accepted_state: bytes = msgspec.field(default=b"", name="voted")
    chosen_state: bytes = msgspec.field(default=b"", name="chosen")


class RunningFile(msgspec.Struct, frozen=True):
    """The latest replicated state, the running version and the hashes of the content files on disk."""

    state: bytes = msgspec.field(name="ledger")
    running: Certificate
    contents: tuple[str, ...] = ()


class CorruptFileError(Exception):
    """A file exists but cannot be used; the message says which file and why."""


AnyFile = TypeVar("AnyFile", VoterFile, RunningFile)


class RolloutStorage:
    """The rollout files of one gateway; their paths start with ``prefix``, the directory and gateway name."""

    def __init__(self, backend: Backend, prefix: str) -> None:
        self.backend = backend
        self.prefix = prefix
        # The entries of each dict are ordered from the oldest to the newest.
        self.cached_states: dict[str, bytes] = {}
        self.contents: dict[str, None] = {}  # on disk
        self.uploads: dict[str, None] = {}

    # -- blobs by hash

    def cache_state(self, state_hash: str, data: bytes) -> None:
        """Cache a replicated state in memory; the oldest states beyond ``MAX_CACHED_STATES`` are dropped."""
        self.cached_states.pop(state_hash, None)
        self.cached_states[state_hash] = data
        while len(self.cached_states) > MAX_CACHED_STATES:
            del self.cached_states[next(iter(self.cached_states))]

    def read_blob(self, blob_hash: str) -> bytes | None:
        """Return a cached state or a content file; None if it is missing or damaged."""
        if blob_hash in self.cached_states:
            return self.cached_states[blob_hash]
        data = self.backend.read_file(self._content_path(blob_hash))
        return data if data is not None and content_hash(data) == blob_hash else None

    def write_content(self, blob_hash: str, data: bytes) -> None:
        """Write a content file to disk. Raises OSError."""
        path = self._content_path(blob_hash)
        self.backend.run_in_thread(lambda: self.backend.write_file(path, data))
        self.contents[blob_hash] = None

    def write_upload(self, blob_hash: str, data: bytes) -> None:
        """Write a content file that no version names yet; only the latest are kept. Raises OSError."""
        self.write_content(blob_hash, data)
        self.uploads.pop(blob_hash, None)
        self.uploads[blob_hash] = None
        while len(self.uploads) > MAX_UPLOADS:
            del self.uploads[next(iter(self.uploads))]

    def remove_unreferenced_contents(self, referenced: set[str]) -> None:
        """Remove content files that are neither referenced nor recent uploads."""
        kept = referenced | self.uploads.keys()
        for blob_hash in [stored_hash for stored_hash in self.contents if stored_hash not in kept]:
            self.backend.remove_file(self._content_path(blob_hash))
            del self.contents[blob_hash]

    def _content_path(self, blob_hash: str) -> str:
        return f"{self.prefix}.content.{blob_hash}"

    # -- the voter's file and the running version's file

    def read_voter(self) -> VoterFile | None:
        """Return the voter's file; None if there is none. Raises CorruptFileError, OSError."""
        return self._read("voter", VoterFile)

    def write_voter(self, file: VoterFile) -> None:
        """Replace the voter's file. Raises OSError."""
        self._write("voter", file)

    def read_running(self) -> RunningFile | None:
        """Return the running version's file; None if there is none. Raises CorruptFileError, OSError."""
        file = self._read("running", RunningFile)
        if file is not None:
            self.contents = dict.fromkeys(file.contents)
        return file

    def write_running(self, file: RunningFile) -> None:
        """Replace the running version's file. Raises OSError."""
        self._write("running", file)

    def _read(self, suffix: str, file_type: type[AnyFile]) -> AnyFile | None:
        path = f"{self.prefix}.{suffix}"
        data = self.backend.read_file(path)
        if data is None:
            return None
        body = data[:-DIGEST_BYTES]
        digest = data[-DIGEST_BYTES:]
        if content_hash(body).encode() != digest:
            raise CorruptFileError(
                f"{path}: {len(data)} bytes do not match their digest: the file is truncated or damaged"
            )
        try:
            return msgspec.msgpack.decode(body, type=file_type)
        except msgspec.DecodeError as error:
            raise CorruptFileError(f"{path}: {error}") from None

    def _write(self, suffix: str, file: VoterFile | RunningFile) -> None:
        body = msgspec.msgpack.encode(file)
        data = body + content_hash(body).encode()
        path = f"{self.prefix}.{suffix}"
        self.backend.run_in_thread(lambda: self.backend.write_file(path, data))
