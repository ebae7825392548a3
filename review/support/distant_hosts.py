"""Hosts in another hall, some of whose answers are followed by a second copy some milliseconds later."""

from __future__ import annotations

import asyncio
import random
from contextlib import suppress

from support.hosts import Arrival, Host
from support.messages import parse_head, read_body
from support.record import Record


class DistantHost(Host):
    """A host whose bytes take ``one_way_s`` in each direction.

    A share of its answers is sent a second time after a delay within ``delays_s``, unless another request has
    reached the host on that connection by then.
    """

    def __init__(
        self,
        record: Record,
        name: str,
        work_s: float,
        one_way_s: float,
        share: float,
        delays_s: tuple[float, float],
    ) -> None:
        super().__init__(record, name, work_s)
        self.one_way_s = one_way_s
        self.share = share
        self.delays_s = delays_s
        self.second_answers = 0
        self.random = random.Random(name)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        connection = _Connection(writer, self.one_way_s)
        carrier = asyncio.ensure_future(connection.carry(reader))
        with suppress(asyncio.IncompleteReadError, ConnectionError):
            while True:
                first = await connection.arrived.readexactly(1)
                connection.requests += 1
                arrived_at = self.record.now()
                head = parse_head(first + await connection.arrived.readuntil(b"\r\n\r\n"))
                await read_body(connection.arrived, head)
                request = head.headers.get("x-request-id", "")
                self.arrivals.append(Arrival(arrived_at, self.name, request))
                self.record.write(f"host {self.name} got {request} from {writer.get_extra_info('peername')}")
                await asyncio.sleep(self.work_s)
                body = f"served {request}".encode()
                answer = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body)
                connection.send(answer)
                if self.random.random() < self.share:
                    delay_s = self.random.uniform(*self.delays_s)
                    asyncio.get_running_loop().call_later(
                        delay_s, self._send_again, connection, connection.requests, request, answer, delay_s
                    )
        carrier.cancel()
        writer.close()

    def _send_again(
        self, connection: _Connection, number: int, request: str, answer: bytes, delay_s: float
    ) -> None:
        if connection.requests == number:  # nothing else waits on the connection
            self.second_answers += 1
            self.record.write(f"host {self.name} answers {request} again, {delay_s * 1_000:.1f} ms later")
            connection.send(answer)


class _Connection:
    """A connection whose bytes take a while in each direction; counts the requests that have arrived."""

    def __init__(self, writer: asyncio.StreamWriter, one_way_s: float) -> None:
        self.writer = writer
        self.one_way_s = one_way_s
        self.arrived = asyncio.StreamReader()
        self.requests = 0
        self.loop = asyncio.get_running_loop()

    def send(self, data: bytes) -> None:
        """Send bytes, which arrive after the time on the way."""
        self.loop.call_later(self.one_way_s, self._write, data)

    def _write(self, data: bytes) -> None:
        if not self.writer.is_closing():
            self.writer.write(data)

    async def carry(self, reader: asyncio.StreamReader) -> None:
        """Pass on what is read after the time on the way."""
        with suppress(ConnectionError):
            while data := await reader.read(65_536):
                self.loop.call_later(self.one_way_s, self.arrived.feed_data, data)
        self.loop.call_later(self.one_way_s, self.arrived.feed_eof)
