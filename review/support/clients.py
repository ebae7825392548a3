"""Clients: they keep connections, send one request at a time on each, and read the answers."""

from __future__ import annotations

import asyncio
import random
from dataclasses import dataclass

from support.messages import Head, parse_head, read_body
from support.record import Record

WAIT_AFTER_TIMEOUT_S = 0.65  # later than any bound on an answer: half a second and 50 ms

Connection = tuple[asyncio.StreamReader, asyncio.StreamWriter]


@dataclass
class Exchange:
    """One request, from its last byte to its answer; times are seconds of the record.

    ``status`` is 0 without a complete answer, ``was_closed`` whether the gateway then closed the connection.
    """

    request: str
    sent_at: float
    timeout_s: float
    answered_at: float = 0.0
    status: int = 0
    body: bytes = b""
    was_closed: bool = False

    @property
    def took_s(self) -> float:
        """The time from the request's last byte to the answer's."""
        return self.answered_at - self.sent_at


class Clients:
    """One front that sends the requests of many customers to one gateway, at a steady mean rate."""

    def __init__(self, record: Record, address: str, plan: str, request_class: str, seed: int) -> None:
        self.record = record
        self.host, _, port = address.partition(":")
        self.port = int(port)
        self.plan = plan
        self.request_class = request_class
        self.timeout_s = 1.5
        self.is_random = False  # requests come at random (Poisson) rather than at equal intervals
        self.random = random.Random(seed)
        self.exchanges: list[Exchange] = []
        self.refused_connections = 0
        self._idle: list[Connection] = []

    async def run(self, requests_per_s: float, seconds: float) -> None:
        """Send requests for a while; return once each has its answer or is given up."""
        loop = asyncio.get_running_loop()
        begin = loop.time()
        pending = []
        at_s = 0.0
        for number in range(int(requests_per_s * seconds)):
            at_s += self.random.expovariate(requests_per_s) if self.is_random else 0.0
            await asyncio.sleep(begin + (at_s or number / requests_per_s) - loop.time())
            pending.append(asyncio.ensure_future(self._request()))
        await asyncio.gather(*pending)

    async def _request(self) -> None:
        request = f"{self.random.getrandbits(64):016x}"
        head = self._head(request)
        kept = bool(self._idle)
        exchange = await self._exchange(request, head, self._idle.pop() if kept else None)
        if exchange is not None and exchange.was_closed:
            # The close crossed the request: it is sent once more, on a new connection
            exchange = await self._exchange(request, head, None)
        if exchange is None:
            self.refused_connections += 1
        else:
            self.exchanges.append(exchange)

    def _head(self, request: str) -> bytes:
        customer = self.random.randrange(1 << 20)
        return (
            f"GET /{self.request_class}/1?client={customer:016x} HTTP/1.1\r\nHost: origin.svc\r\n"
            f"X-Request-ID: {request}\r\nPlan: {self.plan}\r\nX-Timeout: {self.timeout_s:.3f}\r\n"
            "Quota-Info: units=1,spread=1,first=0\r\n\r\n"
        ).encode()

    async def _exchange(self, request: str, head: bytes, connection: Connection | None) -> Exchange | None:
        """Send a request and read its answer; return None if no connection was accepted."""
        if connection is None:
            try:
                connecting = asyncio.open_connection(self.host, self.port)
                connection = await asyncio.wait_for(connecting, self.timeout_s)
            except (OSError, TimeoutError) as error:
                self.record.write(f"client {request} could not connect: {type(error).__name__}")
                return None
        reader, writer = connection
        writer.write(head)
        exchange = Exchange(request, self.record.now(), self.timeout_s)
        self.record.write(f"client sent {request} from {writer.get_extra_info('sockname')}")
        try:
            answer = await asyncio.wait_for(
                self._read_answer(reader, exchange), self.timeout_s + WAIT_AFTER_TIMEOUT_S
            )
        except TimeoutError:
            self.record.write(f"client {request} got no answer and gave up")
            writer.close()
            return exchange
        except (asyncio.IncompleteReadError, OSError) as error:
            exchange.was_closed = True
            self.record.write(f"client {request} was closed without an answer: {type(error).__name__}")
            writer.close()
            return exchange
        exchange.answered_at = self.record.now()
        exchange.status = int(answer.first_line.split(" ")[1])
        self.record.write(f"client {request} got {exchange.status} {exchange.body!r}")
        if answer.headers.get("connection") == "close":
            writer.close()
        else:
            self._idle.append(connection)
        return exchange

    async def _read_answer(self, reader: asyncio.StreamReader, exchange: Exchange) -> Head:
        head = parse_head(await reader.readuntil(b"\r\n\r\n"))
        exchange.body = await read_body(reader, head)
        return head

    def close(self) -> None:
        """Close the connections that are kept."""
        for _, writer in self._idle:
            writer.close()
        self._idle.clear()
