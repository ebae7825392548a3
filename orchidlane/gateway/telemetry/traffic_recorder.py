"""Writes the policy's events and actions, and the responses to clients, into rotating segments.

Entries are buffered in memory and written together, so a crash loses at most ``WRITE_INTERVAL_US`` or
``MAX_BUFFER_BYTES`` of them. A segment starts with the policy's state at one moment between two events; the
accounts follow in pages while the gateway continues to serve (``recording.Snapshot``). A write error stops
the recording and nothing else.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from orchidlane import policy, recording
from orchidlane.gateway.telemetry.policy_source import PolicyNames, PolicySource
from orchidlane.gateway.telemetry.state_stream import StateStream
from orchidlane.recording.segments import SEGMENT_SUFFIX, pack_response
from orchidlane.runtime import EventLoop

WRITE_INTERVAL_US = 100_000
MAX_BUFFER_BYTES = 1 << 18  # a buffer of this size is written without waiting for the interval
MAX_SEGMENT_BYTES = 16 << 20
PAGE_INTERVAL_US = 2_000  # between two pages of a state
MAX_SEGMENTS = 64  # kept by one recorder; the oldest is removed


class TrafficRecorder:
    """Records the traffic of one gateway in a folder."""

    def __init__(
        self,
        loop: EventLoop,
        folder: str,
        gateway_name: str,
        policy_source: PolicySource,
        names: PolicyNames,
        log: Any,
        describe_moment: Callable[[], dict[str, Any]],
    ) -> None:
        self.loop = loop
        self.folder = folder
        self.gateway_name = gateway_name
        self.policy_source = policy_source
        self.names = names
        self.log = log
        self.describe_moment = describe_moment
        self.started_at_us = loop.now()
        self.number = -1  # of the current segment
        self.path = ""
        self.failed = False
        self._buffer = bytearray()
        self._segment_bytes = 0
        self._state: StateStream  # at the start of the current segment
        self._rotate()

    def record_event(self, now: int, event: policy.Event, actions: list[policy.Action]) -> None:
        """Record one event with the policy's actions."""
        if not self.failed:
            self._buffer += recording.pack_entry(now, event, actions)
            self._flush_if_full()

    def record_response(self, request: int, status: int, kind: str, duration_us: int) -> None:
        """Record a response to a client; the duration is measured from the request's first byte."""
        if not self.failed:
            self._buffer += pack_response(self.loop.now(), request, status, kind, duration_us)
            self._flush_if_full()

    def run(self) -> None:
        """Write at intervals, and start a new segment between two events when one is full; never return."""
        while True:
            self.loop.sleep(WRITE_INTERVAL_US)
            self.flush()
            self._write_state_pages()
            if self._segment_bytes >= MAX_SEGMENT_BYTES and not self.failed:
                self._rotate()

    def finish(self) -> None:
        """Write the buffer and the rest of the state when the gateway stops."""
        self._buffer += b"".join(self._state)
        self.flush()

    def flush(self) -> None:
        """Write the buffered entries."""
        if self._buffer and not self.failed:
            data = bytes(self._buffer)
            self._buffer = bytearray()
            self._segment_bytes += len(data)
            self._write(data)

    def _flush_if_full(self) -> None:
        if len(self._buffer) >= MAX_BUFFER_BYTES:
            self.flush()

    def _write_state_pages(self) -> None:
        for page in self._state:
            self._buffer += page
            self._flush_if_full()
            self.loop.sleep(PAGE_INTERVAL_US)
            if self.failed:
                break

    def _rotate(self) -> None:
        self.number += 1
        self.path = self._segment_path(self.number)
        self._state = StateStream(
            self.policy_source,
            self.gateway_name,
            self.started_at_us,
            self.number,
            self.names,
            self.describe_moment(),
        )
        data = self._state.header
        if not self.policy_source.gateway.accounts:
            data += b"".join(self._state)  # the state is complete even if the gateway crashes right away
        self._segment_bytes = 0
        self._write(data)
        oldest = self.number - MAX_SEGMENTS
        if oldest >= 0:
            self.loop.backend.remove_file(self._segment_path(oldest))

    def _segment_path(self, number: int) -> str:
        return f"{self.folder}/{self.gateway_name}-{self.started_at_us:x}-{number:06}{SEGMENT_SUFFIX}"

    def _write(self, data: bytes) -> None:
        try:
            self.loop.backend.append_file(self.path, data)
        except OSError as error:
            self.failed = True
            self._state.close()
            self._buffer.clear()
            self.log.error("recording ended", why=str(error))
