"""Writes what the module was told and answered into rotating segments.
 Entries gather in memory and are written together, so a crash loses at most ``EVERY`` or ``BUFFER`` of
them. The state that a segment begins with is dumped between two events, so it is exact. A disk that fails
ends the recording and nothing else.
"""

from __future__ import annotations

from typing import Any

import msgspec

from .. import __version__, record
from .. import interface as api
from ..loop import Loop
from ..record.segments import SUFFIX, pack_answer
from .host import Host

EVERY = 100_000  # microseconds between two writes
BUFFER = 1 << 18  # bytes: written at once
SEGMENT = 16 << 20  # bytes of one segment
KEEP = 64  # segments of one gateway; the oldest goes


class Recorder:
    """One gateway's record in a folder; give its ``event`` and ``answer`` to the host."""

    def __init__(
        self,
        loop: Loop,
        folder: str,
        name: str,
        host: Host,
        names: tuple[tuple[str, ...], tuple[str, ...]],
        log: Any,
    ) -> None:
        self.loop = loop
        self.folder = folder
        self.name = name
        self.host = host
        self.class_names, self.plan_names = names
        self.log = log
        self.life = loop.now()
        self.number = -1
        self.path = ""
        self.failed = False
        self._buffer = bytearray()
        self._size = 0
        self._rotate()

    def event(self, now: int, event: api.Event, actions: list[api.Action]) -> None:
        """One event with the module's actions."""
        if not self.failed:
            self._buffer += record.pack_entry(now, event, actions)
            self._check()

    def answer(self, request: int, status: int, kind: str, span: int) -> None:
        """What a client was answered, so many microseconds after its first byte."""
        if not self.failed:
            self._buffer += pack_answer(self.loop.now(), request, status, kind, span)
            self._check()

    def _check(self) -> None:
        if len(self._buffer) >= BUFFER:
            self.flush()

    def work(self) -> None:
        """Background work: write now and then; begin a new segment between two events when one is full."""
        while True:
            self.loop.sleep(EVERY)
            self.flush()
            if self._size >= SEGMENT and not self.failed:
                self._rotate()

    def flush(self) -> None:
        """Write what has gathered."""
        if self._buffer and not self.failed:
            data, self._buffer = bytes(self._buffer), bytearray()
            self._size += len(data)
            self._write(data)

    def _rotate(self) -> None:
        self.number += 1
        self.path = f"{self.folder}/{self.name}-{self.life:x}-{self.number:06}{SUFFIX}"
        header = record.Header(
            format=record.FORMAT,
            build=__version__,
            gateway=self.name,
            life=self.life,
            number=self.number,
            settings=msgspec.to_builtins(self.host.settings),
            state=record.dump(self.host.rules),
            class_names=self.class_names,
            plan_names=self.plan_names,
        )
        self._size = 0
        self._write(record.pack_header(header))
        old = self.number - KEEP
        if old >= 0:
            self.loop.world.remove_file(f"{self.folder}/{self.name}-{self.life:x}-{old:06}{SUFFIX}")

    def _write(self, data: bytes) -> None:
        try:
            self.loop.world.append_file(self.path, data)
        except OSError as wrong:
            self.failed = True
            self._buffer.clear()
            self.log.error("recording ended", why=str(wrong))
