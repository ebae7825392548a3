"""HTTP clients: they send requests, retry them, and record what they observe of the responses.

A client retries after a response that calls a retry safe, and when it could not reach the gateway; an
idempotent request also after any other failure. Each attempt may go to another gateway of the replica set. A
client has its own deadline, but reads for a short time after it, so that a late response is observed.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import NamedTuple

from orchidlane import http1
from orchidlane.http1 import Data, End, ProtocolError, Response
from orchidlane.runtime import (
    REQUESTS,
    ConnectionClosedError,
    ConnectionFailedError,
    DeadlineExceededError,
    Stream,
    TaskGroup,
)
from orchidlane.simulation.client_load import CONNECT_TIMEOUT_US, ClientLoad, ClientProfile
from orchidlane.simulation.observations import (
    ATTEMPT_HEADER,
    REQUEST_HEADER,
    AttemptOutcome,
    ClientAttempt,
    UnexpectedData,
)

LATE_RESPONSE_WAIT_US = 400_000  # how long a client reads after its deadline
RETRY_DELAY_US = (20_000, 120_000)
SAFE_TO_RETRY_STATUSES = (429, 503)
GATEWAY_PREFERENCE = 0.9  # rate of the exponential distribution over the ranks of a replica set


class TruncatedResponseError(ConnectionClosedError):
    """The connection was closed within a response."""


@dataclass(frozen=True, slots=True)
class RequestKind:
    """One kind of request, and its share of the load."""

    class_name: str
    share: float
    method: str
    target: str
    deadline_us: int
    is_idempotent: bool
    body_bytes: int = 0


class Connection(NamedTuple):
    """A connection to a gateway, and the attempt that used it last."""

    stream: Stream
    parser: http1.ResponseParser
    last_attempt: str = ""


class AttemptPlan(NamedTuple):
    """An attempt that a client is about to make."""

    request: str
    name: str
    profile: ClientProfile
    kind: RequestKind
    rank: int
    give_up_at: int


@dataclass(slots=True)
class AttemptResult:
    """What a client observed of one attempt."""

    outcome: AttemptOutcome
    finished_at: int
    status: int = 0
    is_safe_to_retry: bool = False
    extra_bytes: int = 0
    version: str = ""


@dataclass(kw_only=True)
class HttpClients(ClientLoad):
    """The HTTP clients of all customers."""

    kinds: list[RequestKind]
    max_attempts: int = 3
    disconnect_probability: float = 0.03  # of closing the connection before the response and the deadline
    idle_connections: dict[int, list[Connection]] = field(default_factory=dict)  # by rank

    def run(self) -> None:
        """Send requests until the duration is over, then wait for all responses."""
        shares = [kind.share for kind in self.kinds]
        with TaskGroup(self.loop) as scope:
            for _ in self.arrivals():
                profile = self.choose_profile()
                kind = self.loop.backend.random.choices(self.kinds, shares)[0]
                self.sent_count += 1
                scope.spawn(self._send_request, f"r{self.sent_count}", profile, kind, priority=REQUESTS)
        for connections in self.idle_connections.values():
            for connection in connections:
                self._is_reusable(connection)  # records data that came after the last response

    def _send_request(self, request: str, profile: ClientProfile, kind: RequestKind) -> None:
        """Send a request, with retries until its deadline."""
        random = self.loop.backend.random
        timeout_us = int(kind.deadline_us * random.uniform(0.5, 1.0))
        deadline = self.loop.now() + kind.deadline_us
        for number in range(self.max_attempts):
            rank = self._choose_gateway(profile)
            give_up_at = self.loop.now() + timeout_us
            plan = AttemptPlan(request, f"{request}.{number}", profile, kind, rank, give_up_at)
            attempt = self._attempt(plan)
            if not _may_retry(attempt, kind) or self.loop.now() + timeout_us > deadline + kind.deadline_us:
                return
            self.loop.sleep(random.randint(*RETRY_DELAY_US))

    def _choose_gateway(self, profile: ClientProfile) -> int:
        """Choose a gateway of the replica set at random; the first is the most likely."""
        ranks = profile.gateways
        return ranks[min(int(self.loop.backend.random.expovariate(GATEWAY_PREFERENCE)), len(ranks) - 1)]

    def _attempt(self, plan: AttemptPlan) -> ClientAttempt:
        started_at = self.loop.now()
        result = self._exchange(plan)
        attempt = ClientAttempt(
            at=started_at,
            give_up_at=plan.give_up_at,
            finished_at=result.finished_at,
            gateway=self.gateways[plan.rank].name,
            request=plan.request,
            name=plan.name,
            class_name=plan.kind.class_name,
            customer=plan.profile.customer,
            outcome=result.outcome,
            status=result.status,
            is_safe_to_retry=result.is_safe_to_retry,
            extra_bytes=result.extra_bytes,
            version=result.version,
        )
        self.record(attempt)
        return attempt

    def _exchange(self, plan: AttemptPlan) -> AttemptResult:
        """Make an attempt, and return its result."""
        try:
            deadline = min(plan.give_up_at, self.loop.now() + CONNECT_TIMEOUT_US)
            connection = self._connect(plan.rank, deadline)
        except (ConnectionFailedError, DeadlineExceededError):
            return AttemptResult(AttemptOutcome.UNREACHABLE, self.loop.now())
        leaves_early = False
        try:
            connection.stream.send(self._request_bytes(plan), plan.give_up_at)
            connection.parser.expect_response_to(plan.kind.method)
            leaves_early = self.loop.backend.random.random() < self.disconnect_probability
            head = _read_response(connection, self._choose_read_deadline(plan, leaves_early))
        except DeadlineExceededError:
            outcome = AttemptOutcome.CLIENT_LEFT if leaves_early else AttemptOutcome.TIMED_OUT
        except (TruncatedResponseError, ProtocolError):
            outcome = AttemptOutcome.TRUNCATED
        except ConnectionClosedError:
            outcome = AttemptOutcome.RESET
        else:
            return self._finish_exchange(plan, connection, head)
        connection.stream.close()
        return AttemptResult(outcome, self.loop.now())

    def _choose_read_deadline(self, plan: AttemptPlan, leaves_early: bool) -> int:
        if leaves_early:
            return self.loop.backend.random.randint(self.loop.now(), plan.give_up_at)
        return plan.give_up_at + LATE_RESPONSE_WAIT_US

    def _finish_exchange(self, plan: AttemptPlan, connection: Connection, head: Response) -> AttemptResult:
        """Return the result of an attempt that got a response; keep its connection if it can be reused."""
        stream, parser, _ = connection
        version = http1.header(head.headers, b"orchidlane-version") or b""
        result = AttemptResult(
            outcome=AttemptOutcome.ANSWERED,
            finished_at=self.loop.now(),
            status=head.status,
            is_safe_to_retry=head.status in SAFE_TO_RETRY_STATUSES,
            extra_bytes=parser.pending_bytes,
            version=version.decode("latin-1"),
        )
        if head.keep_alive and not result.extra_bytes:
            parser.next_message()
            idle = self.idle_connections.setdefault(plan.rank, [])
            idle.append(Connection(stream, parser, plan.name))
        else:
            stream.close()
        return result

    def _connect(self, rank: int, deadline: int) -> Connection:
        idle = self.idle_connections.get(rank, [])
        while idle:
            connection = idle.pop()
            if self._is_reusable(connection):
                return connection
            connection.stream.close()
        stream = self.loop.backend.connect(self.gateways[rank].address, deadline)
        return Connection(stream, http1.ResponseParser())

    def _is_reusable(self, connection: Connection) -> bool:
        """Return whether a connection is open and idle; record data after its last response as unexpected."""
        try:
            data = connection.stream.try_recv()
        except ConnectionClosedError:
            return False
        if data:
            self.record(UnexpectedData(connection.last_attempt))
        return data is None

    def _request_bytes(self, plan: AttemptPlan) -> bytes:
        time_left_ms = max(1, (plan.give_up_at - self.loop.now()) // 1_000)
        kind = plan.kind
        headers = [
            (b"host", b"gateway"),
            (b"x-api-key", plan.profile.key.encode()),
            (b"give-up-after-ms", b"%d" % time_left_ms),
            (REQUEST_HEADER, plan.request.encode()),
            (ATTEMPT_HEADER, plan.name.encode()),
        ]
        if kind.method == "PUT":
            headers.append((b"idempotency-key", plan.request.encode()))
        if kind.body_bytes:
            headers.append((b"content-length", b"%d" % kind.body_bytes))
        target = kind.target.replace("{}", plan.request).encode()
        return http1.request_head(kind.method, target, headers) + b"b" * kind.body_bytes


def _may_retry(attempt: ClientAttempt, kind: RequestKind) -> bool:
    match attempt.outcome:
        case AttemptOutcome.UNREACHABLE:
            return True
        case AttemptOutcome.CLIENT_LEFT:
            return False
        case AttemptOutcome.ANSWERED:
            return attempt.is_safe_to_retry or (kind.is_idempotent and attempt.status >= 500)
        case _:
            return kind.is_idempotent


def _read_response(connection: Connection, deadline: int) -> Response:
    """Read a response completely, and return its head.

    Raises DeadlineExceededError, ProtocolError, TruncatedResponseError, ConnectionClosedError.
    """
    stream, parser, _ = connection
    head = None
    while True:
        event = parser.next_event()
        if event is None:
            data = stream.recv(deadline=deadline)
            parser.receive(data)
            if not data and parser.next_event() is None:
                if head is None:
                    raise ConnectionClosedError("the connection was closed before a response")
                raise TruncatedResponseError("the connection was closed within a response")
        elif isinstance(event, Response) and event.status >= 200:
            head = event
        elif isinstance(event, End):
            assert head is not None
            return head
        else:
            assert isinstance(event, Data | Response)
