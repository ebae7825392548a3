"""Segments of a traffic record: a head, then frames of length, checksum and body.

    7 bytes magic, then frames: u32 length, u32 CRC-32 of the body, body (MessagePack), little-endian

The first frame is the ``Header``: who recorded, with which build and settings, and the module's state without
its accounts. These follow in pages among the entries, as they were at the head (``Snapshot``), so that each
segment can be replayed without those before it. A state alone is a segment without entries. A frame that is
cut or does not fit its checksum ends what is read of a segment; everything before it counts, nothing after it
is guessed.

Format 1 had the accounts in the head's state and no pages; it is read as well.
"""

from __future__ import annotations

import io
import struct
import zlib
from collections.abc import Iterator
from pathlib import Path
from typing import Any, BinaryIO, NamedTuple

import msgspec

from orchidlane import policy
from orchidlane.recording.codec import FormatError, pack_action, pack_event, unpack_action, unpack_event
from orchidlane.recording.settings_codec import settings_from_stored
from orchidlane.recording.state_dump import Dump

MAGIC = b"OLREC1\n"
FORMAT, FORMATS = 2, (1, 2)  # written, read
FRAME = struct.Struct("<II")
FRAME_MOST = 1 << 30
BEHIND_MOST = 64 << 20  # bytes looked at behind a broken frame
SUFFIX = ".olr"
EVENT, ANSWER, ACCOUNTS = 0, 1, 2  # kinds of entries


class Header(msgspec.Struct, frozen=True):
    """What a segment begins with; ``life`` is the recorder's start, ``number`` counts its segments.

    ``about`` tells of the moment: the clock, generations, the list, requests under way and the like.
    """

    format: int
    build: str
    gateway: str
    life: int
    number: int
    settings: dict[str, Any]
    state: Dump
    class_names: tuple[str, ...] = ()
    plan_names: tuple[str, ...] = ()
    about: dict[str, Any] = {}

    def module_settings(self) -> policy.Settings:
        """The settings as the module takes them. Raises FormatError."""
        try:
            return settings_from_stored(self.settings)
        except msgspec.ValidationError as wrong:
            raise FormatError(f"settings that this build can't read: {wrong}") from None


class Entry(NamedTuple):
    """One entry: an event with its actions, ``facts`` (request, status, kind, microseconds), or a page."""

    now: int
    event: policy.Event | None
    actions: list[policy.Action]
    facts: tuple[Any, ...]
    place: int  # of its frame in the segment, in bytes
    rows: tuple[Any, ...] | None = None  # a page of accounts, as they were at the head
    last: bool = False  # the state is whole with this page


class Broken(Exception):
    """A segment that ends early; ``place`` is where, in bytes, ``cut`` whether the file ends there."""

    def __init__(self, file: str, place: int, why: str, cut: bool) -> None:
        super().__init__(f"{file}: byte {place}: {why}")
        self.file = file
        self.place = place
        self.cut = cut


class CutHead(FormatError):
    """A segment whose head was not written to its end: its gateway ended meanwhile."""


def frame(body: bytes) -> bytes:
    """A body as a frame."""
    return FRAME.pack(len(body), zlib.crc32(body)) + body


def pack_header(header: Header) -> bytes:
    """The head of a segment."""
    return MAGIC + frame(msgspec.msgpack.encode(header))


def pack_entry(now: int, event: policy.Event, actions: list[policy.Action]) -> bytes:
    """One event with its actions."""
    body = (EVENT, now, pack_event(event), [pack_action(action) for action in actions])
    return frame(msgspec.msgpack.encode(body))


def pack_accounts(now: int, rows: list[list[Any]], last: bool) -> bytes:
    """A page of accounts as they were at the segment's head; ``last`` where the state is whole with it."""
    return frame(msgspec.msgpack.encode((ACCOUNTS, now, rows, last)))


def pack_answer(now: int, request: int, status: int, kind: str, span: int) -> bytes:
    """What a client was answered."""
    return frame(msgspec.msgpack.encode((ANSWER, now, request, status, kind, span)))


class SegmentReader:
    """Reads one segment; ``broken`` tells afterwards whether and why it ended early."""

    def __init__(self, path: str, data: bytes | None = None) -> None:
        """Of the file, or of ``data`` that was read of it."""
        self.path = path
        self.broken: Broken | None = None
        self._file: BinaryIO = open(path, "rb") if data is None else io.BytesIO(data)  # noqa: SIM115
        magic = self._file.read(len(MAGIC))
        if magic != MAGIC:
            self.close()
            if MAGIC.startswith(magic):
                raise CutHead(f"{path}: its head is cut")
            raise FormatError(f"{path}: not a segment of a record")
        body = self._frame()
        if body is None:
            self.close()
            if self.broken is None or self.broken.cut:
                raise CutHead(f"{path}: its head is cut")
            raise FormatError(f"{path}: its head is broken")
        try:
            self.header = msgspec.msgpack.decode(body, type=Header)
        except (msgspec.DecodeError, UnicodeDecodeError) as wrong:
            self.close()
            raise FormatError(f"{path}: a head that this build can't read: {wrong}") from None
        self._begin = self._file.tell()
        if self.header.format not in FORMATS:
            self.close()
            allowed = " and ".join(map(str, FORMATS))
            raise FormatError(f"{path}: format {self.header.format}; this build reads {allowed}")

    def state(self) -> Dump:
        """The module's whole state at the head. Raises CutHead where not all of it was written.

        Reading goes on at the first entry afterwards.
        """
        rows = list(self.accounts())
        self._file.seek(self._begin)
        return msgspec.structs.replace(self.header.state, accounts=rows)

    def accounts(self) -> Iterator[list[Any]]:
        """The accounts as they were at the head, one after another: memory is that of a page.

        Raises CutHead at the end where not all of them were written.
        """
        yield from self.header.state.accounts
        if self.header.format == 1:
            return
        self._file.seek(self._begin)
        for entry in self:
            yield from entry.rows or ()
            if entry.last:
                return
        self.broken = None  # that of a later pass is what counts
        raise CutHead(f"{self.path}: the state at its head was not written to its end")

    def close(self) -> None:
        """Let the file go."""
        self._file.close()

    def _frame(self) -> bytes | None:
        place = self._file.tell()
        head = self._file.read(FRAME.size)
        if not head:
            return None
        if len(head) < FRAME.size:
            self._end(place, "the file ends within a frame", cut=True)
            return None
        length, checksum = FRAME.unpack(head)
        if length > FRAME_MOST:
            self._end(place, "a frame of impossible length")
            return None
        body = self._file.read(length)
        if len(body) < length:
            self._end(place, "the file ends within a frame", cut=True)
            return None
        if zlib.crc32(body) != checksum:
            self._end(place, "a frame does not fit its checksum")
            return None
        return body

    def _end(self, place: int, why: str, cut: bool = False) -> None:
        """Nothing after this place is read."""
        self.broken = Broken(self.path, place, why, cut)

    def __iter__(self) -> Iterator[Entry]:
        """All that follows, pages of accounts too."""
        while True:
            place = self._file.tell()
            body = self._frame()
            if body is None:
                return
            yield _entry(body, place, self.path)

    def entries(self, place: int | None = None) -> Iterator[Entry]:
        """All entries but the pages of accounts, from the first or from a place on."""
        self._file.seek(self._begin if place is None else place)
        return (entry for entry in self if entry.rows is None)

    def at(self, place: int) -> Entry:
        """The entry whose frame begins there. Raises FormatError."""
        self._file.seek(place)
        body = self._frame()
        if body is None:
            raise FormatError(f"{self.path}: no entry at byte {place}")
        return _entry(body, place, self.path)


def _entry(body: bytes, place: int, path: str) -> Entry:
    try:
        kind, now, *rest = msgspec.msgpack.decode(body)
        if kind == EVENT:
            event, actions = rest
            return Entry(now, unpack_event(event), [unpack_action(one) for one in actions], (), place)
        if kind == ANSWER:
            return Entry(now, None, [], tuple(rest), place)
        if kind == ACCOUNTS:
            rows, last = rest
            return Entry(now, None, [], (), place, tuple(rows), bool(last))
    except (msgspec.DecodeError, ValueError, TypeError) as wrong:
        raise FormatError(f"{path}: byte {place}: {wrong}") from None
    raise FormatError(f"{path}: byte {place}: an entry of a later build")


def frames_behind(path: str, place: int) -> int:
    """How many whole frames lie behind a broken one, so that a report can say what was not checked.

    A torn tail has none behind it. They are found by the broken frame's length or, where that is what broke,
    by looking for the next frame that fits its checksum; none of them is read.
    """
    with open(path, "rb") as file:
        file.seek(place)
        data = file.read(BEHIND_MOST)
    length, _ = FRAME.unpack_from(data) if len(data) >= FRAME.size else (0, 0)
    at = FRAME.size + length
    if not _fits(data, at):
        at = next((at for at in range(1, len(data)) if _fits(data, at)), len(data))
    frames = 0
    while _fits(data, at):
        frames += 1
        at += FRAME.size + FRAME.unpack_from(data, at)[0]
    return frames


def _fits(data: bytes, at: int) -> bool:
    """Whether a whole frame that is not empty stands there."""
    if at + FRAME.size > len(data):
        return False
    length, checksum = FRAME.unpack_from(data, at)
    begin = at + FRAME.size
    return 0 < length <= len(data) - begin and zlib.crc32(data[begin : begin + length]) == checksum


def read_folder(folder: str) -> list[str]:
    """The segments of a record in their order. Raises FormatError where there is none."""
    found = sorted(str(path) for path in Path(folder).glob(f"*{SUFFIX}"))
    if not found:
        raise FormatError(f"{folder}: no segments of a record")
    return found
