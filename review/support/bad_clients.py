"""Bad clients: some send hundreds of requests at once, others connect and say nothing."""

from __future__ import annotations

import asyncio
from contextlib import suppress

from support.record import Record

REQUEST = (
    "GET /no-such-class/{number}?client=0000000000000001 HTTP/1.1\r\nHost: origin.svc\r\n"
    "User-Agent: tender-import/2.4 (batch of an engineering firm; costing run before a deadline)\r\n"
    "Accept: application/json, application/xml;q=0.9, text/plain;q=0.8, */*;q=0.1\r\n"
    "X-Request-ID: {client:04x}-{number:04x}\r\nPlan: basico\r\nX-Timeout: 1.500\r\n"
    "Quota-Info: units=1,spread=1,first=0\r\n\r\n"
)


class BatchClient:
    """Sends all its requests at once and reads what it is sent; it connects again once it is closed."""

    def __init__(self, record: Record, address: str, number: int, requests: int) -> None:
        self.record = record
        self.host, _, port = address.partition(":")
        self.port = int(port)
        self.number = number
        self.data = "".join(REQUEST.format(client=number, number=index) for index in range(requests)).encode()
        self.first_read_after_s: list[float] = []
        self.closed = 0

    async def run(self) -> None:
        """Send and read until cancelled."""
        while True:
            with suppress(OSError):
                await self._send_all()
            await asyncio.sleep(0.01)

    async def _send_all(self) -> None:
        reader, writer = await asyncio.open_connection(self.host, self.port)
        connected_at = self.record.now()
        self.record.write(f"batch client {self.number} sends {len(self.data)} bytes at once")
        writer.write(self.data)
        try:
            first = await reader.read(65_536)
            self.first_read_after_s.append(self.record.now() - connected_at)
            while first and await reader.read(65_536):
                pass
            self.closed += 1
            self.record.write(f"batch client {self.number} was closed")
        finally:
            writer.close()


class SilentClient:
    """Connects once, says nothing, and closes once it is closed."""

    def __init__(self, address: str) -> None:
        self.host, _, port = address.partition(":")
        self.port = int(port)
        self.was_closed = False

    async def run(self) -> None:
        """Stay until closed or cancelled."""
        with suppress(OSError):
            reader, writer = await asyncio.open_connection(self.host, self.port)
            try:
                await reader.read()
                self.was_closed = True
            finally:
                writer.close()
