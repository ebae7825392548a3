"""Clients that request quota over RESP, and retry through other gateways."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any, NamedTuple

from orchidlane import resp
from orchidlane.resp import ErrorReply
from orchidlane.runtime import (
    REQUESTS,
    ConnectionClosedError,
    ConnectionFailedError,
    DeadlineExceededError,
    Stream,
    TaskGroup,
)
from orchidlane.simulation.client_load import CONNECT_TIMEOUT_US, ClientLoad, ClientProfile
from orchidlane.simulation.observations import QuotaAttempt, QuotaOutcome

REPLY_TIMEOUT_US = 1_500_000
MAX_ATTEMPTS = 4
IDEMPOTENT_SHARE = 0.8  # share of the requests that have an idempotency token
RETRY_TIMEOUT_US = 1_000_000  # after the first attempt; shorter than gateways remember a token
RETRY_DELAY_US = (20_000, 200_000)


class Connection(NamedTuple):
    """A connection to a gateway."""

    stream: Stream
    decoder: resp.Decoder


class QuotaRequest(NamedTuple):
    """A request for units; its name is its idempotency token if ``is_idempotent`` is set."""

    name: str
    profile: ClientProfile
    units: int
    is_idempotent: bool


class QuotaReply(NamedTuple):
    """The outcome of an attempt; ``extra_bytes`` is the amount of data after the reply."""

    outcome: QuotaOutcome
    extra_bytes: int = 0


@dataclass(kw_only=True)
class QuotaClients(ClientLoad):
    """The RESP clients of all customers."""

    idle_connections: dict[int, list[Connection]] = field(default_factory=dict)  # by rank

    def run(self) -> None:
        """Send requests until the duration is over, then wait for all replies."""
        with TaskGroup(self.loop) as scope:
            for _ in self.arrivals():
                self.sent_count += 1
                profile = self.choose_profile()
                scope.spawn(self._request_quota, f"t{self.sent_count}", profile, priority=REQUESTS)

    def _request_quota(self, name: str, profile: ClientProfile) -> None:
        """Send a request, with retries until ``RETRY_TIMEOUT_US`` is over."""
        random = self.loop.backend.random
        units, is_idempotent = random.randint(1, 3), random.random() < IDEMPOTENT_SHARE
        request = QuotaRequest(name, profile, units, is_idempotent)
        deadline = self.loop.now() + RETRY_TIMEOUT_US
        for _ in range(MAX_ATTEMPTS):
            attempt = self._attempt(request, random.choice(profile.gateways))
            self.record(attempt)
            if not _may_retry(request, attempt) or self.loop.now() > deadline:
                return
            self.loop.sleep(random.randint(*RETRY_DELAY_US))

    def _attempt(self, request: QuotaRequest, rank: int) -> QuotaAttempt:
        started_at = self.loop.now()
        give_up_at = started_at + REPLY_TIMEOUT_US
        reply = self._exchange(request, rank, give_up_at)
        return QuotaAttempt(
            at=started_at,
            give_up_at=give_up_at,
            finished_at=self.loop.now(),
            gateway=self.gateways[rank].name,
            name=request.name,
            customer=request.profile.customer,
            units=float(request.units),
            outcome=reply.outcome,
            extra_bytes=reply.extra_bytes,
        )

    def _exchange(self, request: QuotaRequest, rank: int, deadline: int) -> QuotaReply:
        try:
            connection = self._connect(rank)
        except (ConnectionFailedError, DeadlineExceededError):
            return QuotaReply(QuotaOutcome.UNREACHABLE)
        try:
            connection.stream.send(_encode(request), deadline)
            value = _read_reply(connection, deadline)
        except DeadlineExceededError:
            connection.stream.close()
            return QuotaReply(QuotaOutcome.TIMED_OUT)
        except (ConnectionClosedError, resp.ProtocolError):
            connection.stream.close()
            return QuotaReply(QuotaOutcome.RESET)
        extra_bytes = connection.decoder.pending_bytes
        self.idle_connections.setdefault(rank, []).append(connection)
        return QuotaReply(_outcome(value), extra_bytes)

    def _connect(self, rank: int) -> Connection:
        idle = self.idle_connections.get(rank, [])
        while idle:
            connection = idle.pop()
            if _is_reusable(connection):
                return connection
            connection.stream.close()
        address = self.gateways[rank].address
        stream = self.loop.backend.connect(address, self.loop.now() + CONNECT_TIMEOUT_US)
        return Connection(stream, resp.Decoder())


def _encode(request: QuotaRequest) -> bytes:
    token = ("IDEMPOTENT", request.name) if request.is_idempotent else ()
    return resp.encode(["LIMIT.TAKE", request.profile.key, str(request.units), *token])


def _read_reply(connection: Connection, deadline: int) -> Any:
    """Read a reply, and return its value.

    Raises DeadlineExceededError, ConnectionClosedError, resp.ProtocolError.
    """
    while (decoded := connection.decoder.next_value()) is None:
        data = connection.stream.recv(deadline=deadline)
        if not data:
            raise ConnectionClosedError("the connection was closed before a reply")
        connection.decoder.receive(data)
    return decoded[0]


def _outcome(value: Any) -> QuotaOutcome:
    if isinstance(value, ErrorReply):
        return QuotaOutcome.ERROR
    return QuotaOutcome.GRANTED if value[0] else QuotaOutcome.REJECTED


def _may_retry(request: QuotaRequest, attempt: QuotaAttempt) -> bool:
    if attempt.outcome in (QuotaOutcome.GRANTED, QuotaOutcome.REJECTED):
        return False
    return request.is_idempotent or attempt.outcome is QuotaOutcome.UNREACHABLE


def _is_reusable(connection: Connection) -> bool:
    """Return whether a connection is open and has no data after its last reply."""
    try:
        return connection.stream.try_recv() is None
    except ConnectionClosedError:
        return False
