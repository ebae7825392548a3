"""Stand-ins for services that ask for quota over RESP, and try again through other gateways."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

from orchidlane import resp
from orchidlane.resp import ErrorReply
from orchidlane.runtime import (
    REQUESTS,
    ConnectionClosedError,
    ConnectionFailedError,
    DeadlineExceededError,
    EventLoop,
    Stream,
    TaskGroup,
)
from orchidlane.runtime.backend import Address
from orchidlane.simulation.clients import ClientProfile
from orchidlane.simulation.observations import QuotaAttempt, Record

PATIENCE = 1_500_000  # microseconds that a service waits for a reply
CONNECT = 300_000
TRIES = 4
WITH_TOKEN = 0.8  # of the takes
AGAIN_WITHIN = 1_000_000  # microseconds after the first try: well within a token's life


@dataclass
class QuotaClients:
    """Services together: ``rate`` takes a second for ``span`` microseconds."""

    loop: EventLoop
    gateways: list[tuple[str, Address]]
    profiles: list[ClientProfile]
    rate: float
    duration_us: int
    record: Callable[[Record], None]
    sent_count: int = 0
    idle_connections: dict[int, list[tuple[Stream, resp.Decoder]]] = field(default_factory=dict)

    def run(self) -> None:
        """Ask until the span is over, then wait for all replies."""
        random, began = self.loop.backend.random, self.loop.now()
        weights = [subscriber.weight for subscriber in self.profiles]
        due = float(self.loop.now())
        with TaskGroup(self.loop) as scope:
            while due < began + self.duration_us:
                due += random.expovariate(self.rate) * 1_000_000
                self.loop.sleep(int(due) - self.loop.now())
                self.sent_count += 1
                subscriber = random.choices(self.profiles, weights)[0]
                scope.spawn(self._take, f"t{self.sent_count}", subscriber, priority=REQUESTS)

    def _take(self, name: str, subscriber: ClientProfile) -> None:
        random = self.loop.backend.random
        units, with_token = random.randint(1, 3), random.random() < WITH_TOKEN
        until = self.loop.now() + AGAIN_WITHIN
        for _ in range(TRIES):
            rank = random.choice(subscriber.gateways)
            done = self._try(rank, name, subscriber, units, with_token)
            self.record(done)
            if done.outcome in ("granted", "refused") or (not with_token and done.outcome != "unreachable"):
                return
            if self.loop.now() > until:
                return
            self.loop.sleep(random.randint(20_000, 200_000))

    def _try(
        self, rank: int, name: str, subscriber: ClientProfile, units: int, with_token: bool
    ) -> QuotaAttempt:
        at = self.loop.now()
        end, extra = self._exchange(rank, name, subscriber, units, with_token, at + PATIENCE)
        return QuotaAttempt(
            at=at,
            give_up_at=at + PATIENCE,
            ended_at=self.loop.now(),
            gateway=self.gateways[rank][0],
            name=name,
            customer=subscriber.customer,
            units=float(units),
            outcome=end,
            extra_bytes=extra,
        )

    def _exchange(
        self, rank: int, name: str, subscriber: ClientProfile, units: int, with_token: bool, by: int
    ) -> tuple[str, int]:
        try:
            stream, decoder = self._connection(rank)
        except (ConnectionFailedError, DeadlineExceededError):
            return "unreachable", 0
        words = ["LIMIT.TAKE", subscriber.key, str(units), *(("IDEMPOTENT", name) if with_token else ())]
        try:
            stream.send(resp.encode(words), by)
            while (found := decoder.next_value()) is None:
                data = stream.recv(deadline=by)
                if not data:
                    raise ConnectionClosedError("the end before a reply")
                decoder.receive(data)
        except (ConnectionClosedError, DeadlineExceededError, resp.ProtocolError) as wrong:
            stream.close()
            return ("silence" if isinstance(wrong, DeadlineExceededError) else "reset"), 0
        extra = decoder.pending_bytes
        self.idle_connections.setdefault(rank, []).append((stream, decoder))
        if isinstance(found[0], ErrorReply):
            return "error", extra
        return ("granted" if found[0][0] else "refused"), extra

    def _connection(self, rank: int) -> tuple[Stream, resp.Decoder]:
        idle = self.idle_connections.get(rank, [])
        while idle:
            stream, decoder = idle.pop()
            try:
                if stream.try_recv() is None:
                    return stream, decoder
            except ConnectionClosedError:
                pass
            stream.close()
        stream = self.loop.backend.connect(self.gateways[rank][1], self.loop.now() + CONNECT)
        return stream, resp.Decoder()
