"""Stand-ins for the subscribers: requests that come whether or not earlier ones were answered, and retries.

A client tries again after an answer that says that this is harmless, and when it could not reach the gateway;
a safe request also after any other failure. Each try may come through another gateway of the subscriber's
set. A client gives up at its time, but listens a little longer, so that a late answer is seen.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

from orchidlane import http1
from orchidlane.http1 import Data, End, ProtocolError, Response
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
from orchidlane.simulation.observations import ClientAttempt, Record, UnexpectedData

LISTEN_ON = 400_000  # microseconds after giving up
CONNECT = 300_000


@dataclass(frozen=True, slots=True)
class ClientProfile:
    """One customer with its key and its part of the traffic."""

    customer: int
    key: str
    weight: float
    gateways: tuple[int, ...]  # ranks of its set, the busiest first


@dataclass(frozen=True, slots=True)
class RequestKind:
    """One kind of request."""

    class_name: str
    share: float
    method: str
    target: str
    deadline_us: int
    is_idempotent: bool
    body_bytes: int = 0


@dataclass
class HttpClients:
    """All subscribers together: ``rate`` requests a second for ``span`` microseconds."""

    loop: EventLoop
    gateways: list[tuple[str, Address]]
    profiles: list[ClientProfile]
    kinds: list[RequestKind]
    rate: float
    duration_us: int
    record: Callable[[Record], None]
    max_attempts: int = 3
    disconnect_probability: float = 0.03  # of the tries: the client leaves before its answer and its time
    sent_count: int = 0
    idle_connections: dict[int, list[tuple[Stream, http1.ResponseParser, str]]] = field(default_factory=dict)

    def run(self) -> None:
        """Send until the span is over, then wait for all answers."""
        random, began = self.loop.backend.random, self.loop.now()
        weights = [subscriber.weight for subscriber in self.profiles]
        shares = [kind.share for kind in self.kinds]
        due = float(self.loop.now())
        with TaskGroup(self.loop) as scope:
            while due < began + self.duration_us:
                due += random.expovariate(self.rate) * 1_000_000
                self.loop.sleep(int(due) - self.loop.now())
                subscriber = random.choices(self.profiles, weights)[0]
                kind = random.choices(self.kinds, shares)[0]
                self.sent_count += 1
                scope.spawn(self._request, f"r{self.sent_count}", subscriber, kind, priority=REQUESTS)
        for kept in self.idle_connections.values():
            for stream, _, name in kept:
                self._is_quiet(stream, name)

    def _request(self, name: str, subscriber: ClientProfile, kind: RequestKind) -> None:
        random = self.loop.backend.random
        patience = int(kind.deadline_us * random.uniform(0.5, 1.0))
        end = self.loop.now() + kind.deadline_us
        for number in range(self.max_attempts):
            done = self._try(name, f"{name}.{number}", subscriber, kind, patience)
            if not self._again(done, kind) or self.loop.now() + patience > end + kind.deadline_us:
                return
            self.loop.sleep(random.randint(20_000, 120_000))

    def _again(self, done: ClientAttempt, kind: RequestKind) -> bool:
        if done.outcome == "unreachable" or (done.outcome == "answer" and done.is_safe_to_retry):
            return True
        return (
            kind.is_idempotent and done.outcome != "left" and (done.outcome != "answer" or done.status >= 500)
        )

    def _gateway(self, subscriber: ClientProfile) -> int:
        """The busiest of the set most often."""
        random, ranks = self.loop.backend.random, subscriber.gateways
        return ranks[min(int(random.expovariate(0.9)), len(ranks) - 1)]

    def _try(
        self, request: str, name: str, subscriber: ClientProfile, kind: RequestKind, patience: int
    ) -> ClientAttempt:
        rank = self._gateway(subscriber)
        at = self.loop.now()
        by = at + patience
        ended, end, status, harmless, extra, version = self._exchange(
            rank, request, name, subscriber, kind, by
        )
        done = ClientAttempt(
            at=at,
            give_up_at=by,
            ended_at=ended,
            gateway=self.gateways[rank][0],
            request=request,
            name=name,
            class_name=kind.class_name,
            customer=subscriber.customer,
            outcome=end,
            status=status,
            is_safe_to_retry=harmless,
            extra_bytes=extra,
            version=version,
        )
        self.record(done)
        return done

    def _exchange(
        self, rank: int, request: str, name: str, subscriber: ClientProfile, kind: RequestKind, by: int
    ) -> tuple[int, str, int, bool, int, str]:
        loop = self.loop
        try:
            stream, parser = self._connection(rank, min(by, loop.now() + CONNECT))
        except (ConnectionFailedError, DeadlineExceededError):
            return loop.now(), "unreachable", 0, False, 0, ""
        end, status, harmless, extra, keep, leaves = "reset", 0, False, 0, False, False
        version = ""
        try:
            stream.send(self._bytes(request, name, subscriber, kind, by), by)
            parser.expect_response_to(kind.method)
            leaves = loop.backend.random.random() < self.disconnect_probability
            until = loop.backend.random.randint(loop.now(), by) if leaves else by + LISTEN_ON
            head = self._answer(stream, parser, until)
            end, status = "answer", head.status
            harmless = status in (429, 503)
            version = (http1.header(head.headers, b"orchidlane-version") or b"").decode("latin-1")
            extra = parser.pending_bytes
            keep = head.keep_alive and not extra
        except DeadlineExceededError:
            end = "left" if leaves else "silence"
        except ConnectionClosedError as closed:
            end = "cut" if "within" in str(closed) else "reset"
        except ProtocolError:
            end = "cut"
        ended = loop.now()
        if keep:
            parser.next_message()
            self.idle_connections.setdefault(rank, []).append((stream, parser, name))
        else:
            stream.close()
        return ended, end, status, harmless, extra, version

    def _connection(self, rank: int, by: int) -> tuple[Stream, http1.ResponseParser]:
        idle = self.idle_connections.get(rank, [])
        while idle:
            stream, parser, name = idle.pop()
            if self._is_quiet(stream, name):
                return stream, parser
            stream.close()
        return self.loop.backend.connect(self.gateways[rank][1], by), http1.ResponseParser()

    def _is_quiet(self, stream: Stream, name: str) -> bool:
        """Whether nothing came after the answer to the try before; bytes would be a second one."""
        try:
            data = stream.try_recv()
        except ConnectionClosedError:
            return False
        if data:
            self.record(UnexpectedData(name))
        return data is None

    def _bytes(self, request: str, name: str, subscriber: ClientProfile, kind: RequestKind, by: int) -> bytes:
        headers = [
            (b"host", b"gateway"),
            (b"x-api-key", subscriber.key.encode()),
            (b"give-up-after-ms", b"%d" % max(1, (by - self.loop.now()) // 1_000)),
            (b"lab-request", request.encode()),
            (b"lab-try", name.encode()),
        ]
        if kind.method == "PUT":
            headers.append((b"idempotency-key", request.encode()))
        if kind.body_bytes:
            headers.append((b"content-length", b"%d" % kind.body_bytes))
        target = kind.target.replace("{}", request).encode()
        return http1.request_head(kind.method, target, headers) + b"b" * kind.body_bytes

    def _answer(self, stream: Stream, parser: http1.ResponseParser, by: int) -> Response:
        head = None
        while True:
            event = parser.next_event()
            if event is None:
                data = stream.recv(deadline=by)
                parser.receive(data)
                if not data and parser.next_event() is None:
                    raise ConnectionClosedError(
                        "the end within an answer" if head else "the end before an answer"
                    )
            elif isinstance(event, Response) and event.status >= 200:
                head = event
            elif isinstance(event, End):
                assert head is not None
                return head
            else:
                assert isinstance(event, Data | Response)
