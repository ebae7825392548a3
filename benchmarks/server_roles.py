"""Servers that a benchmark runs as separate processes.

``python -m benchmarks.server_roles ROLE PORT [TARGET_PORT]``. Roles: ``endpoint`` is the fastest plain HTTP
endpoint, ``endpoint-list`` a discovery service with the endpoint at the target port, ``forwarder`` a plain
aiohttp forwarder to the target port, ``resp`` the fastest plain RESP server.
"""

from __future__ import annotations

import argparse
import asyncio
from collections.abc import Callable

from aiohttp import ClientSession, TCPConnector, web

from orchidlane.gateway.control.endpoint_list import EndpointRecord
from orchidlane.runtime import EventLoop, RealBackend
from orchidlane.simulation.fake_discovery import FakeDiscovery

HTTP_RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 200\r\n\r\n" + b"x" * 200
RESP_REPLY = b"*3\r\n:1\r\n:1999999\r\n:0\r\n"
LINES_PER_RESP_COMMAND = 7  # a command is an array of three bulk strings


class PlainEndpoint(asyncio.Protocol):
    """Sends a prepared response to each request, without parsing the request."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport for the responses."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport

    def data_received(self, data: bytes) -> None:
        """Send a response for each request whose head ends in these bytes."""
        self._transport.write(HTTP_RESPONSE * data.count(b"\r\n\r\n"))


class PlainRespServer(asyncio.Protocol):
    """Splits its input into commands and sends a prepared reply to each."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport for the replies."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        self._incomplete = b""

    def data_received(self, data: bytes) -> None:
        """Reply to all complete commands."""
        lines = (self._incomplete + data).split(b"\r\n")
        command_count = (len(lines) - 1) // LINES_PER_RESP_COMMAND
        self._incomplete = b"\r\n".join(lines[LINES_PER_RESP_COMMAND * command_count :])
        self._transport.write(RESP_REPLY * command_count)


def serve_protocol(protocol: Callable[[], asyncio.Protocol], port: int) -> None:
    """Serve an asyncio protocol at a port of the loopback address until the process is killed."""

    async def serve() -> None:
        loop = asyncio.get_running_loop()
        server = await loop.create_server(protocol, "127.0.0.1", port)
        await server.serve_forever()

    asyncio.run(serve())


SESSION = web.AppKey("session", ClientSession)


def serve_forwarder(port: int, target_port: int) -> None:
    """Forward each request to the target port, without applying any policy."""

    async def forward(request: web.Request) -> web.Response:
        url = f"http://127.0.0.1:{target_port}{request.path_qs}"
        async with request.app[SESSION].request(request.method, url, headers={"accept": "*/*"}) as response:
            return web.Response(status=response.status, body=await response.read())

    async def make_application() -> web.Application:
        application = web.Application()
        application[SESSION] = ClientSession(connector=TCPConnector(limit=0))
        application.router.add_route("*", "/{tail:.*}", forward)
        return application

    web.run_app(make_application(), host="127.0.0.1", port=port, print=None, access_log=None)


def serve_endpoint_list(port: int, endpoint_port: int) -> None:
    """Serve an endpoint list with one endpoint, in state ready."""
    loop = EventLoop(RealBackend())

    def serve() -> None:
        endpoint_list = FakeDiscovery(loop, ("127.0.0.1", port), (0, 0), lambda _: None)
        address = f"127.0.0.1:{endpoint_port}"
        endpoint_list.add_endpoint("node", EndpointRecord(address, "ready", "z", "c"))
        endpoint_list.serve()

    loop.run(serve)


def main() -> None:
    """Run the server of the role that the command line names."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("role", choices=["endpoint", "endpoint-list", "forwarder", "resp"])
    parser.add_argument("port", type=int)
    parser.add_argument("target_port", type=int, nargs="?", default=0)
    arguments = parser.parse_args()
    match arguments.role:
        case "endpoint":
            serve_protocol(PlainEndpoint, arguments.port)
        case "endpoint-list":
            serve_endpoint_list(arguments.port, arguments.target_port)
        case "forwarder":
            serve_forwarder(arguments.port, arguments.target_port)
        case "resp":
            serve_protocol(PlainRespServer, arguments.port)


if __name__ == "__main__":
    main()
