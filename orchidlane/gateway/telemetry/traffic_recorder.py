"""Writes what the module was told and answered into rotating segments.
 Entries gather in memory and are written together, so a crash loses at most ``EVERY`` or ``BUFFER`` of
them. The state that a segment begins with is that of one moment between two events; its accounts follow in
pages, a few at a time, while the gateway goes on (``record.Snapshot``). A disk that fails ends the recording
and nothing else.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from orchidlane import policy, recording
from orchidlane.gateway.forwarding.policy_driver import PolicyDriver
from orchidlane.gateway.telemetry.admin_api import Names, StateFrames
from orchidlane.recording.segments import SEGMENT_SUFFIX, pack_response
from orchidlane.runtime import Loop

EVERY = 100_000  # microseconds between two writes
BUFFER = 1 << 18  # bytes: written at once
SEGMENT = 16 << 20  # bytes of one segment
PAGE_EVERY = 2_000  # microseconds between two pages of a state
KEEP = 64  # segments of one gateway; the oldest goes


class TrafficRecorder:
    """One gateway's record in a folder; give its ``event`` and ``answer`` to the host."""

    def __init__(
        self,
        loop: Loop,
        folder: str,
        name: str,
        host: PolicyDriver,
        names: Names,
        log: Any,
        about: Callable[[], dict[str, Any]],
    ) -> None:
        self.loop = loop
        self.folder = folder
        self.name = name
        self.host = host
        self.names = names
        self.log = log
        self.about = about
        self.life = loop.now()
        self.number = -1
        self.path = ""
        self.failed = False
        self._buffer = bytearray()
        self._size = 0
        self._state: StateFrames  # that the segment began with
        self._rotate()

    def record_event(self, now: int, event: policy.Event, actions: list[policy.Action]) -> None:
        """One event with the module's actions."""
        if not self.failed:
            self._buffer += recording.pack_entry(now, event, actions)
            self._check()

    def record_response(self, request: int, status: int, kind: str, span: int) -> None:
        """What a client was answered, so many microseconds after its first byte."""
        if not self.failed:
            self._buffer += pack_response(self.loop.now(), request, status, kind, span)
            self._check()

    def _check(self) -> None:
        if len(self._buffer) >= BUFFER:
            self.flush()

    def work(self) -> None:
        """Background work: write now and then; begin a new segment between two events when one is full."""
        while True:
            self.loop.sleep(EVERY)
            self.flush()
            self._go_on_with_state()
            if self._size >= SEGMENT and not self.failed:
                self._rotate()

    def _go_on_with_state(self) -> None:
        for page in self._state:
            self._buffer += page
            self._check()
            self.loop.sleep(PAGE_EVERY)
            if self.failed:
                break

    def finish(self) -> None:
        """The gateway ends: write what has gathered, and the rest of the state."""
        self._buffer += b"".join(self._state)
        self.flush()

    def flush(self) -> None:
        """Write what has gathered."""
        if self._buffer and not self.failed:
            data, self._buffer = bytes(self._buffer), bytearray()
            self._size += len(data)
            self._write(data)

    def _rotate(self) -> None:
        self.number += 1
        self.path = f"{self.folder}/{self.name}-{self.life:x}-{self.number:06}{SEGMENT_SUFFIX}"
        self._state = StateFrames(self.host, self.name, self.life, self.number, self.names, self.about())
        head = self._state.head
        if not self.host.gateway.accounts:
            head += b"".join(self._state)  # whole from the start, however soon a crash comes
        self._size = 0
        self._write(head)
        old = self.number - KEEP
        if old >= 0:
            self.loop.world.remove_file(f"{self.folder}/{self.name}-{self.life:x}-{old:06}{SEGMENT_SUFFIX}")

    def _write(self, data: bytes) -> None:
        try:
            self.loop.world.append_file(self.path, data)
        except OSError as wrong:
            self.failed = True
            self._state.close()
            self._buffer.clear()
            self.log.error("recording ended", why=str(wrong))
