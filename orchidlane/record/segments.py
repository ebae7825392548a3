"""Segments of a traffic record: a head, then frames of length, checksum and body.

    7 bytes magic, then frames: u32 length, u32 CRC-32 of the body, body (MessagePack), little-endian
 The first frame is the ``Header``: who recorded, with which build and settings, and the module's whole
state, so that each segment can be replayed without those before it. The others are entries. A frame that is
cut or does not fit its checksum ends what is read of a segment; everything before it counts, nothing after
it is guessed.
"""

from __future__ import annotations

import struct
import zlib
from collections.abc import Iterator
from pathlib import Path
from typing import Any, NamedTuple

import msgspec

from .. import interface as api
from .codec import FormatError, pack_action, pack_event, unpack_action, unpack_event
from .dump import Dump

MAGIC = b"OLREC1\n"
FORMAT = 1
FRAME = struct.Struct("<II")
FRAME_MOST = 1 << 30
READ = 1 << 16  # bytes read at a time: a reader's memory does not grow with the segment
SUFFIX = ".olr"
EVENT, ANSWER = 0, 1  # kinds of entries


class Header(msgspec.Struct, frozen=True):
    """What a segment begins with; ``life`` is the recorder's start, ``number`` counts its segments."""

    format: int
    build: str
    gateway: str
    life: int
    number: int
    settings: dict[str, Any]
    state: Dump
    class_names: tuple[str, ...] = ()
    plan_names: tuple[str, ...] = ()

    def module_settings(self) -> api.Settings:
        """The settings as the module takes them. Raises FormatError."""
        try:
            return msgspec.convert(self.settings, api.Settings)
        except msgspec.ValidationError as wrong:
            raise FormatError(f"settings that this build can't read: {wrong}") from None


class Entry(NamedTuple):
    """One entry: an event with its actions, or ``facts`` (request, status, kind, microseconds)."""

    now: int
    event: api.Event | None
    actions: list[api.Action]
    facts: tuple[Any, ...]
    place: int  # of its frame in the segment, in bytes


class Broken(Exception):
    """A segment that ends before its end; ``place`` is where, in bytes."""

    def __init__(self, file: str, place: int, why: str) -> None:
        super().__init__(f"{file}: byte {place}: {why}")
        self.place = place


def frame(body: bytes) -> bytes:
    """A body as a frame."""
    return FRAME.pack(len(body), zlib.crc32(body)) + body


def pack_header(header: Header) -> bytes:
    """The head of a segment."""
    return MAGIC + frame(msgspec.msgpack.encode(header))


def pack_entry(now: int, event: api.Event, actions: list[api.Action]) -> bytes:
    """One event with its actions."""
    body = (EVENT, now, pack_event(event), [pack_action(action) for action in actions])
    return frame(msgspec.msgpack.encode(body))


def pack_answer(now: int, request: int, status: int, kind: str, span: int) -> bytes:
    """What a client was answered."""
    return frame(msgspec.msgpack.encode((ANSWER, now, request, status, kind, span)))


class SegmentReader:
    """Reads one segment; ``broken`` tells afterwards whether and why it ended early."""

    def __init__(self, path: str) -> None:
        self.path = path
        self.broken: Broken | None = None
        self._file = open(path, "rb")  # noqa: SIM115 (closed by close)
        if self._file.read(len(MAGIC)) != MAGIC:
            self.close()
            raise FormatError(f"{path}: not a segment of a record")
        body = self._frame()
        if body is None:
            self.close()
            raise FormatError(f"{path}: its head is cut or broken")
        try:
            self.header = msgspec.msgpack.decode(body, type=Header)
        except (msgspec.DecodeError, UnicodeDecodeError) as wrong:
            self.close()
            raise FormatError(f"{path}: a head that this build can't read: {wrong}") from None
        if self.header.format != FORMAT:
            self.close()
            raise FormatError(f"{path}: format {self.header.format}; this build reads {FORMAT}")

    def close(self) -> None:
        """Let the file go."""
        self._file.close()

    def _frame(self) -> bytes | None:
        place = self._file.tell()
        head = self._file.read(FRAME.size)
        if not head:
            return None
        if len(head) < FRAME.size:
            self._end(place, "the file ends within a frame")
            return None
        length, checksum = FRAME.unpack(head)
        if length > FRAME_MOST:
            self._end(place, "a frame of impossible length")
            return None
        body = self._file.read(length)
        if len(body) < length:
            self._end(place, "the file ends within a frame")
            return None
        if zlib.crc32(body) != checksum:
            self._end(place, "a frame does not fit its checksum")
            return None
        return body

    def _end(self, place: int, why: str) -> None:
        """Nothing after this place is read."""
        self.broken = Broken(self.path, place, why)

    def __iter__(self) -> Iterator[Entry]:
        while True:
            place = self._file.tell()
            body = self._frame()
            if body is None:
                return
            yield _entry(body, place, self.path)

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
    except (msgspec.DecodeError, ValueError, TypeError) as wrong:
        raise FormatError(f"{path}: byte {place}: {wrong}") from None
    raise FormatError(f"{path}: byte {place}: an entry of a later build")


def read_folder(folder: str) -> list[str]:
    """The segments of a record in their order. Raises FormatError where there is none."""
    found = sorted(str(path) for path in Path(folder).glob(f"*{SUFFIX}"))
    if not found:
        raise FormatError(f"{folder}: no segments of a record")
    return found
