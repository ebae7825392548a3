"""Follows the node list: one long answer over HTTP, a JSON line for each piece of news."""

from __future__ import annotations

import hashlib
from collections.abc import Callable

from orchidlane import http1, policy
from orchidlane.gateway.control.endpoint_list import LINE_MOST, ListRefused, ListTracker
from orchidlane.gateway.control.json_stream import LineTooLong, whole_objects
from orchidlane.gateway.control.settings import Fleet, address
from orchidlane.http1 import Malformed
from orchidlane.runtime import Loop, LoopError

CONNECT = 2_000_000  # microseconds
SILENCE = 15_000_000  # the list sends an empty line at least every few seconds; then it is asked anew
AGAIN_FIRST, AGAIN_MOST = 100_000, 5_000_000  # microseconds between two tries, doubled each time


class Watch:
    """The task that reads the list; ``told`` is called with what it tells the module."""

    def __init__(
        self,
        loop: Loop,
        fleet: Fleet,
        tracker: ListTracker,
        name: str,
        cache: str,
        told: Callable[[policy.EndpointListReceived], None],
    ) -> None:
        self.loop = loop
        self.fleet = fleet
        self.tracker = tracker
        self.name = name
        self.cache = cache
        self.told = told
        self.failures = 0
        self._kept = b""

    def restore(self) -> None:
        """Begin with the list as it was kept."""
        text = self.loop.world.read_file(self.cache) if self.cache else None
        if text is not None and (listed := self.tracker.restore(text)) is not None:
            self._kept = hashlib.sha256(text).digest()
            self.told(listed)

    def work(self) -> None:
        """Follow the list for ever; failures are waited out, the list as it is known stays."""
        span = AGAIN_FIRST
        while True:
            began = self.loop.now()
            try:
                self._follow()
            except (LoopError, Malformed, LineTooLong, ListRefused):
                self.failures += 1
                self.told(policy.EndpointListReceived(policy.EndpointListKind.FAILED, 0, ()))
            span = AGAIN_FIRST if self.loop.now() - began > AGAIN_MOST else min(AGAIN_MOST, 2 * span)
            self.loop.sleep(int(span * (0.5 + self.loop.world.random.random())))

    def _follow(self) -> None:
        where = self.fleet.nodes.list
        stream = self.loop.world.connect(address(where), self.loop.now() + CONNECT)
        try:
            query = f"/v1/nodes?epoch={self.tracker.epoch}&after={self.tracker.version}"
            stream.send(
                http1.request_head(
                    "GET",
                    query.encode(),
                    [(b"host", where.encode()), (b"user-agent", b"orchidlane " + self.name.encode())],
                )
            )
            for objects in whole_objects(self.loop, stream, SILENCE, LINE_MOST):
                for line in objects:
                    if (listed := self.tracker.take(line)) is not None:
                        self.told(listed)
        finally:
            stream.close()

    def keep(self) -> None:
        """Write the list down for a restart, if it changed; as background work."""
        while True:
            self.loop.sleep(1_000_000)
            if self.cache and self.tracker.nodes:
                text = self.tracker.cached()
                digest = hashlib.sha256(text).digest()
                if digest != self._kept:
                    self._kept = digest
                    self.loop.world.write_file(self.cache, text)
