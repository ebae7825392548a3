"""Reads traffic segments, also those that a crash cut short.

A frame that is cut or does not fit its checksum ends what is read of a segment; everything before it counts,
nothing after it is guessed.
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
    """What a client was answered; ``duration_us`` counts from the request's first byte."""

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
    account_rows: tuple[Any, ...] | None = None  # as the accounts were at the header
    is_last_page: bool = False  # the state is complete with this page


@dataclass(frozen=True)
class Damage:
    """Where and why the reading of a segment ended early."""

    path: str
    offset: int  # in bytes
    reason: str
    truncated: bool = False  # the file ends there

    def __str__(self) -> str:
        return f"{self.path}: byte {self.offset}: {self.reason}"


class SegmentReader:
    """Reads one segment; ``damage`` says afterwards whether and why it ended early."""

    def __init__(self, path: str, data: bytes | None = None) -> None:
        """Read the file, or ``data`` that was read from it. Raises FormatError, OSError."""
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
        """Return the complete state at the header. Raises TruncatedHeaderError where it was not all written.

        Reading continues at the first entry afterwards.
        """
        rows = list(self.account_rows())
        self._file.seek(self._entries_offset)
        return msgspec.structs.replace(self.header.state, accounts=rows)

    def account_rows(self) -> Iterator[list[Any]]:
        """Yield the accounts as they were at the header; memory is that of one page.

        Raises TruncatedHeaderError at the end where not all of them were written.
        """
        yield from self.header.state.accounts
        if self.header.format == 1:
            return
        self._file.seek(self._entries_offset)
        for entry in self:
            yield from entry.account_rows or ()
            if entry.is_last_page:
                return
        self.damage = None  # a later pass finds it again
        raise TruncatedHeaderError(f"{self.path}: the state at its head was not written to its end")

    def __iter__(self) -> Iterator[Entry]:
        """Yield all entries that follow, pages of accounts too."""
        while True:
            offset = self._file.tell()
            body = self._read_frame()
            if body is None:
                return
            yield _decode_entry(body, offset, self.path)

    def entries(self, offset: int | None = None) -> Iterator[Entry]:
        """Yield all entries but the pages of accounts, from the first or from an offset on."""
        self._file.seek(self._entries_offset if offset is None else offset)
        return (entry for entry in self if entry.account_rows is None)

    def entry_at(self, offset: int) -> Entry:
        """Return the entry whose frame begins there. Raises FormatError."""
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
            raise FormatError(f"{self.path}: not a segment of a record")
        body = self._read_frame()
        if body is None:
            if self.damage is None or self.damage.truncated:
                raise TruncatedHeaderError(f"{self.path}: its head is cut")
            raise FormatError(f"{self.path}: its head is broken")
        try:
            header = msgspec.msgpack.decode(body, type=Header)
        except (msgspec.DecodeError, UnicodeDecodeError) as error:
            raise FormatError(f"{self.path}: a head that this build can't read: {error}") from None
        if header.format not in READABLE_FORMATS:
            allowed = " and ".join(map(str, READABLE_FORMATS))
            raise FormatError(f"{self.path}: format {header.format}; this build reads {allowed}")
        return header

    def _read_frame(self) -> bytes | None:
        """Return the next frame's body, or None at the end; ``damage`` is set where that is an early end."""
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
    raise FormatError(f"{path}: byte {offset}: an entry of a later build")
