"""Watches the endpoint list: one long-lived HTTP response with a JSON line for each watch event."""

from __future__ import annotations

import hashlib
from collections.abc import Callable

from orchidlane import http1, policy
from orchidlane.gateway.control.endpoint_list import (
    MAX_LINE_BYTES,
    EndpointListTracker,
    WatchEventError,
)
from orchidlane.gateway.control.json_stream import LineTooLongError, read_objects
from orchidlane.gateway.control.settings import FleetSettings
from orchidlane.gateway.control.settings_loader import parse_host_port
from orchidlane.http1 import ProtocolError
from orchidlane.runtime import EventLoop, EventLoopError

CONNECT_TIMEOUT_US = 2_000_000
SILENCE_TIMEOUT_US = 15_000_000  # the service sends an empty line at least every few seconds
MIN_RETRY_DELAY_US = 100_000
MAX_RETRY_DELAY_US = 5_000_000
CACHE_INTERVAL_US = 1_000_000


class EndpointWatch:
    """Keeps the endpoint list up to date and cached; ``notify`` is called with each event for the policy."""

    def __init__(
        self,
        loop: EventLoop,
        fleet: FleetSettings,
        tracker: EndpointListTracker,
        name: str,
        cache_path: str,
        notify: Callable[[policy.EndpointListReceived], None],
    ) -> None:
        self.loop = loop
        self.fleet = fleet
        self.tracker = tracker
        self.name = name
        self.cache_path = cache_path
        self.notify = notify
        self.failures = 0
        self._cached_digest = b""
        self._has_received_event = False  # on the current watch

    def load_cache(self) -> None:
        """Load the cached list, if there is a valid one."""
        text = self.loop.backend.read_file(self.cache_path) if self.cache_path else None
        if text is None:
            return
        event = self.tracker.load_cache(text)
        if event is not None:
            self._cached_digest = hashlib.sha256(text).digest()
            self.notify(event)

    def run(self) -> None:
        """Watch the list indefinitely, with backoff after failures, during which the list stays unchanged.

        A watch that received an event has not failed, however short it was: it is replaced without backoff.
        """
        delay_us = MIN_RETRY_DELAY_US
        while True:
            started_at = self.loop.now()
            self._has_received_event = False
            try:
                self._watch()
            except (EventLoopError, ProtocolError, LineTooLongError, WatchEventError):
                self.failures += 1
                self.notify(policy.EndpointListReceived(policy.EndpointListKind.FAILED, 0, ()))
            lasted_us = self.loop.now() - started_at
            was_healthy = self._has_received_event or lasted_us > MAX_RETRY_DELAY_US
            delay_us = MIN_RETRY_DELAY_US if was_healthy else min(MAX_RETRY_DELAY_US, 2 * delay_us)
            self.loop.sleep(int(delay_us * (0.5 + self.loop.backend.random.random())))

    def _watch(self) -> None:
        service = self.fleet.endpoints.list_address
        stream = self.loop.backend.connect(parse_host_port(service), self.loop.now() + CONNECT_TIMEOUT_US)
        try:
            stream.send(self._request(service))
            for lines in read_objects(self.loop, stream, SILENCE_TIMEOUT_US, MAX_LINE_BYTES):
                for line in lines:
                    event = self.tracker.apply_line(line)
                    self._has_received_event = True
                    if event is not None:
                        self.notify(event)
        finally:
            stream.close()

    def _request(self, service: str) -> bytes:
        target = f"/v1/nodes?epoch={self.tracker.epoch}&after={self.tracker.version}"
        headers = [(b"host", service.encode()), (b"user-agent", b"orchidlane " + self.name.encode())]
        return http1.request_head("GET", target.encode(), headers)

    def run_cache_writer(self) -> None:
        """Write the list to the cache whenever it has changed, indefinitely (a background task)."""
        while True:
            self.loop.sleep(CACHE_INTERVAL_US)
            if self.cache_path and self.tracker.endpoints:
                self._write_cache()

    def _write_cache(self) -> None:
        text = self.tracker.encode_cache()
        digest = hashlib.sha256(text).digest()
        if digest != self._cached_digest:
            self._cached_digest = digest
            self.loop.backend.write_file(self.cache_path, text)
