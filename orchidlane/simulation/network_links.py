"""Relays for the connections between gateways: cut, one way, late, reset, or a trickle of bytes.

Each pair of gateways has an address of its own, so that a fault holds for one way between two of them.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

from orchidlane.runtime import PEERS, Closed, Expired, Listener, Loop, NotConnected, Scope, Stream
from orchidlane.runtime.backend import Address

LOOK = 10_000  # microseconds between two looks at a cut
Pair = tuple[int, int]  # who calls, and who is called


@dataclass
class Links:
    """The relays; what they do to a pair may change at any time."""

    loop: Loop
    ways: Mapping[Pair, tuple[Address, Address]]  # where to listen, and where to bring it
    cuts: set[Pair] = field(default_factory=set)  # bytes of the caller get no further, nor answers to them
    deaf: set[Pair] = field(default_factory=set)  # the call arrives, the answer does not
    delay: dict[Pair, int] = field(default_factory=dict)  # microseconds for each piece
    trickle: dict[Pair, int] = field(default_factory=dict)  # bytes in each ``LOOK``
    reset: dict[Pair, float] = field(default_factory=dict)  # chance, for each piece
    calls: dict[Pair, int] = field(default_factory=dict)

    def serve(self) -> None:
        """Bring connections for ever."""
        with Scope(self.loop) as scope:
            for pair, (at, to) in self.ways.items():
                scope.spawn(self._accept, pair, self.loop.world.listen(at), to, kind=PEERS, name="links")

    def _accept(self, pair: Pair, listener: Listener, to: Address) -> None:
        with Scope(self.loop) as scope:
            while True:
                try:
                    stream = listener.accept()
                except (Closed, NotConnected):
                    return
                scope.spawn(self._bring, pair, stream, to, kind=PEERS, name="link")

    def _bring(self, pair: Pair, near: Stream, to: Address) -> None:
        self.calls[pair] = self.calls.get(pair, 0) + 1
        try:
            self._wait(pair, self.cuts)
            far = self.loop.world.connect(to, self.loop.now() + 2_000_000)
        except (NotConnected, Expired):
            return near.abort()
        with Scope(self.loop) as scope:
            scope.spawn(self._pump, pair, near, far, self.cuts, kind=PEERS, name="there")
            scope.spawn(self._pump, pair, far, near, self.deaf, kind=PEERS, name="back")

    def _wait(self, pair: Pair, holds: set[Pair]) -> None:
        while pair in holds or pair in self.cuts:
            self.loop.sleep(LOOK)

    def _pump(self, pair: Pair, source: Stream, sink: Stream, holds: set[Pair]) -> None:
        try:
            while data := source.recv():
                self._wait(pair, holds)
                if self.loop.world.random.random() < self.reset.get(pair, 0.0):
                    source.abort()
                    return sink.abort()
                if self.delay.get(pair):
                    self.loop.sleep(self.delay[pair])
                self._write(pair, sink, data)
            sink.half_close()
        except (Closed, Expired):
            sink.abort()

    def _write(self, pair: Pair, sink: Stream, data: bytes) -> None:
        while data:
            size = self.trickle.get(pair, 0) or len(data)
            sink.send(data[:size], self.loop.now() + 10_000_000)
            data = data[size:]
            if data:
                self.loop.sleep(LOOK)
