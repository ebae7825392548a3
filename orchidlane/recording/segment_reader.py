"""Reads traffic segments, including those that a crash truncated.

Reading stops at a frame that is truncated or does not match its checksum: the entries before it are valid,
and nothing after it is read.
"""

from __future__ import annotations

import io
import zlib
from collections.abc import Iterator
from dataclasses import dataclass
from types import TracebackType
from typing import Any, BinaryIO, NamedTuple

import msgspec

from orchidlane import policy
from orchidlane.recording.codec import unpack_action, unpack_event
from orchidlane.recording.errors import FormatError, TruncatedHeaderError
from orchidlane.recording.frames import FRAME_HEADER, MAX_FRAME_BYTES
from orchidlane.recording.segments import (
    ACCOUNTS_ENTRY,
    EVENT_ENTRY,
    MAGIC,
    READABLE_FORMATS,
    RESPONSE_ENTRY,
    Header,
)
from orchidlane.recording.state_dump import StateDump


class RecordedResponse(NamedTuple):
    """A response that a client received; ``duration_us`` is measured from the request's first byte."""

    request: int
    status: int
    kind: str
    duration_us: int


class Entry(NamedTuple):
    """One entry: an event with its actions, a response to a client, or a page of accounts."""

    at_us: int
    event: policy.Event | None
    actions: list[policy.Action]
    response: RecordedResponse | None
    offset: int  # of its frame in the segment, in bytes
    account_rows: tuple[Any, ...] | None = None  # the accounts when the header was written
    is_last_page: bool = False  # the state is complete with this page


@dataclass(frozen=True)
class Damage:
    """Where and why reading a segment stopped early; the command prints ``reason``."""

    path: str
    offset: int  # in bytes
    reason: str
    truncated: bool = False  # the file ends within the damaged frame

    def __str__(self) -> str:
        return f"{self.path}: byte {self.offset}: {self.reason}"


class SegmentReader:
    """Reads one segment; ``damage`` is set where reading stopped before the end of the segment."""

    def __init__(self, path: str, data: bytes | None = None) -> None:
        """Open the file, or ``data`` read from it, and read the header. Raises FormatError, OSError."""
        self.path = path
        self.damage: Damage | None = None
        self._file: BinaryIO = open(path, "rb") if data is None else io.BytesIO(data)  # noqa: SIM115
        try:
            self.header = self._read_header()
        except FormatError:
            self.close()
            raise
        self._entries_offset = self._file.tell()

    def __enter__(self) -> SegmentReader:
        return self

    def __exit__(
        self, kind: type[BaseException] | None, error: BaseException | None, traceback: TracebackType | None
    ) -> None:
        self.close()

    def close(self) -> None:
        """Close the file."""
        self._file.close()

    def read_state(self) -> StateDump:
        """Return the complete state at the header. Raises TruncatedHeaderError where it is incomplete.

        Afterwards, iteration continues at the first entry.
        """
        rows = list(self.account_rows())
        self._file.seek(self._entries_offset)
        return msgspec.structs.replace(self.header.state, accounts=rows)

    def account_rows(self) -> Iterator[list[Any]]:
        """Yield the accounts as they were when the header was written, with one page in memory at a time.

        Raises TruncatedHeaderError after the last account that was written where others are missing.
        """
        yield from self.header.state.accounts
        if self.header.format == 1:
            return
        self._file.seek(self._entries_offset)
        for entry in self:
            yield from entry.account_rows or ()
            if entry.is_last_page:
                return
        self.damage = None  # the next reading sets it again
        # The replay and audit commands print this text and those on a truncated header.
        raise TruncatedHeaderError(f"{self.path}: the state at its head was not written to its end")

    def __iter__(self) -> Iterator[Entry]:
        """Yield all entries from the current position on, including pages of accounts."""
        while True:
            offset = self._file.tell()
            body = self._read_frame()
            if body is None:
                return
            yield _decode_entry(body, offset, self.path)

    def entries(self, offset: int | None = None) -> Iterator[Entry]:
        """Yield all entries except pages of accounts, from ``offset`` in bytes or from the first entry on."""
        self._file.seek(self._entries_offset if offset is None else offset)
        return (entry for entry in self if entry.account_rows is None)

    def entry_at(self, offset: int) -> Entry:
        """Return the entry whose frame starts at ``offset`` in bytes. Raises FormatError."""
        self._file.seek(offset)
        body = self._read_frame()
        if body is None:
            raise FormatError(f"{self.path}: no entry at byte {offset}")
        return _decode_entry(body, offset, self.path)

    def _read_header(self) -> Header:
        magic = self._file.read(len(MAGIC))
        if magic != MAGIC:
            if MAGIC.startswith(magic):
                raise TruncatedHeaderError(f"{self.path}: its head is cut")
            raise FormatError(f"{self.path}: not a traffic segment, which starts with the bytes OLREC1")
        body = self._read_frame()
        if body is None:
            if self.damage is None or self.damage.truncated:
                raise TruncatedHeaderError(f"{self.path}: its head is cut")
            raise FormatError(
                f"{self.path}: the header does not match its checksum, or its length is impossible"
            )
        try:
            header = msgspec.msgpack.decode(body, type=Header)
        except (msgspec.DecodeError, UnicodeDecodeError) as error:
            raise FormatError(f"{self.path}: this build can't read the header: {error}") from None
        if header.format not in READABLE_FORMATS:
            allowed = " and ".join(map(str, READABLE_FORMATS))
            raise FormatError(f"{self.path}: format {header.format}; this build reads {allowed}")
        return header

    def _read_frame(self) -> bytes | None:
        """Return the next frame's body; None at the end of the file or, with ``damage`` set, at damage."""
        offset = self._file.tell()
        frame_header = self._file.read(FRAME_HEADER.size)
        if not frame_header:
            return None
        if len(frame_header) < FRAME_HEADER.size:
            self.damage = Damage(self.path, offset, "the file ends within a frame", truncated=True)
            return None
        length, checksum = FRAME_HEADER.unpack(frame_header)
        if length > MAX_FRAME_BYTES:
            self.damage = Damage(self.path, offset, "a frame of impossible length")
            return None
        body = self._file.read(length)
        if len(body) < length:
            self.damage = Damage(self.path, offset, "the file ends within a frame", truncated=True)
            return None
        if zlib.crc32(body) != checksum:
            self.damage = Damage(self.path, offset, "a frame does not fit its checksum")
            return None
        return body


def _decode_entry(body: bytes, offset: int, path: str) -> Entry:
    try:
        kind, at_us, *rest = msgspec.msgpack.decode(body)
        if kind == EVENT_ENTRY:
            event, actions = rest
            return Entry(at_us, unpack_event(event), [unpack_action(row) for row in actions], None, offset)
        if kind == RESPONSE_ENTRY:
            request, status, reason, duration_us, *_ = rest
            response = RecordedResponse(request, status, reason, duration_us)
            return Entry(at_us, None, [], response, offset)
        if kind == ACCOUNTS_ENTRY:
            rows, last = rest
            return Entry(at_us, None, [], None, offset, tuple(rows), bool(last))
    except (msgspec.DecodeError, ValueError, TypeError) as error:
        raise FormatError(f"{path}: byte {offset}: {error}") from None
    raise FormatError(f"{path}: byte {offset}: the entry is of a kind that this build does not know")
