"""Hosts: each serves every request after a fixed time of work."""

from __future__ import annotations

import asyncio
from contextlib import suppress
from typing import NamedTuple

from support.messages import parse_head, read_body
from support.record import Record


class Arrival(NamedTuple):
    """A request that reached a host: when its first byte came, which host, and the request's id."""

    at: float
    host: str
    request: str


class Host:
    """One host, which answers each request with 200 and a body that names the request."""

    def __init__(self, record: Record, name: str, work_s: float) -> None:
        self.record = record
        self.name = name
        self.work_s = work_s
        self.arrivals: list[Arrival] = []
        self.address = ""
        self._server: asyncio.Server

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0, backlog=512)
        self.address = f"127.0.0.1:{self._server.sockets[0].getsockname()[1]}"

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with suppress(asyncio.IncompleteReadError, ConnectionError):
            while True:
                first = await reader.readexactly(1)
                arrived_at = self.record.now()
                head = parse_head(first + await reader.readuntil(b"\r\n\r\n"))
                await read_body(reader, head)
                request = head.headers.get("x-request-id", "")
                self.arrivals.append(Arrival(arrived_at, self.name, request))
                self.record.write(f"host {self.name} got {request}: {head.first_line}")
                await asyncio.sleep(self.work_s)
                body = f"served {request}".encode()
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body))
                await writer.drain()
        writer.close()
