"""Requests a second and latency of the gateway beside a plain node and an aiohttp forwarder, in one run.

The gateway and the forwarder have the same core and take turns; node and load have others. For 1, 32 and 256
connections the three take turns in short rounds, so that drift of the machine meets them alike. Run it by
``python -m benchmarks.gateway``.
"""

from __future__ import annotations

import argparse
import hashlib
import json
import os
import selectors
import socket
import statistics
import subprocess
import sys
import tempfile
import time
from pathlib import Path

ROOT = Path(__file__).parent.parent
KEY = "bench-key"
REQUEST = f"GET /v1/sheets/steel HTTP/1.1\r\nHost: g\r\nX-Api-Key: {KEY}\r\nAccept: */*\r\n\r\n".encode()
ROUND = 1.5  # seconds
ANSWER = b"HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 200\r\n\r\n" + b"x" * 200


def node(port: int) -> None:
    """The fastest plain node: answers each request from a prepared string."""
    import asyncio

    class Plain(asyncio.Protocol):
        def connection_made(self, transport):
            self.transport = transport

        def data_received(self, data):
            self.transport.write(ANSWER * data.count(b"\r\n\r\n"))

    async def serve() -> None:
        loop = asyncio.get_running_loop()
        server = await loop.create_server(Plain, "127.0.0.1", port)
        await server.serve_forever()

    asyncio.run(serve())


def forwarder(port: int, target: int) -> None:
    """A plain forwarder by aiohttp, without any decision."""
    import aiohttp
    from aiohttp import web

    async def forward(request: web.Request) -> web.Response:
        session = request.app["session"]
        async with session.request(
            request.method, f"http://127.0.0.1:{target}{request.path_qs}", headers={"accept": "*/*"}
        ) as answer:
            return web.Response(status=answer.status, body=await answer.read())

    async def make() -> web.Application:
        app = web.Application()
        app["session"] = aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0))
        app.router.add_route("*", "/{tail:.*}", forward)
        return app

    web.run_app(make(), host="127.0.0.1", port=port, print=None, access_log=None)


def free_ports(count: int) -> list[int]:
    held = [socket.socket() for _ in range(count)]
    for sock in held:
        sock.bind(("127.0.0.1", 0))
    ports = [sock.getsockname()[1] for sock in held]
    for sock in held:
        sock.close()
    return ports


def settings(folder: Path, gateway: int, peer: int, node_list: int) -> Path:
    """One gateway whose only customer has no quota in the way."""
    digest = hashlib.sha256(KEY.encode()).hexdigest()
    customers = {"customers": [{"id": 1, "plan": "wide", "keys": [digest]}]}
    (folder / "customers.json").write_text(json.dumps(customers))
    (folder / "secret").write_bytes(b"0123456789abcdef")
    (folder / "secret").chmod(0o600)
    (folder / "fleet.cue").write_text(
        f'description: "{ROOT}/examples/materials/openapi.yaml"\ncustomers: "customers.json"\n'
        f'gateways: [{{name: "gw-0", listen: "127.0.0.1:{gateway}", peer: "127.0.0.1:{peer}"}}]\n'
        "plans: wide: {rate: 1000000, burst: 2000000}\n"
        f'nodes: {{list: "127.0.0.1:{node_list}"}}\npeers: secret_file: "secret"\n'
        "bounds: node_connections: 1024\ntimes: {}\nlimits: {}\n"
    )
    return folder / "fleet.cue"


def list_server(port: int, node_port: int) -> None:
    """A node list with one node that is ready."""
    from orchidlane.gateway.control.endpoint_list import EndpointRecord
    from orchidlane.runtime import EventLoop, RealBackend
    from orchidlane.simulation.fake_discovery import FakeDiscovery

    loop = EventLoop(RealBackend())

    def serve() -> None:
        nodes = FakeDiscovery(loop, ("127.0.0.1", port), (0, 0), lambda _: None)
        address = f"127.0.0.1:{node_port}"
        nodes.endpoints[address] = EndpointRecord(address, "ready", "z", "c")
        nodes.endpoint_names[address] = "node"
        nodes.serve()

    loop.run(serve)


def load(port: int, connections: int, seconds: float) -> tuple[float, list[float], int]:
    """Answers a second, latencies in ms, and how many were not 200; each connection asks again at once."""
    selector = selectors.DefaultSelector()
    begun: dict[socket.socket, float] = {}
    left: dict[socket.socket, int] = {}
    for _ in range(connections):
        sock = socket.create_connection(("127.0.0.1", port))
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        selector.register(sock, selectors.EVENT_READ)
        begun[sock] = time.perf_counter()
        left[sock] = 0
        sock.send(REQUEST)
    latencies, refused, end = [], 0, time.perf_counter() + seconds
    while (now := time.perf_counter()) < end:
        for key, _ in selector.select(0.1):
            sock = key.fileobj
            data = sock.recv(65536)
            if not data:
                raise RuntimeError("the server closed a connection")
            if not left[sock]:
                head, _, body = data.partition(b"\r\n\r\n")
                refused += not head.startswith(b"HTTP/1.1 200")
                length = int(head.lower().split(b"content-length: ")[1].split(b"\r\n")[0])
                left[sock] = length - len(body)
            else:
                left[sock] -= len(data)
            if left[sock] <= 0:
                left[sock] = 0
                now = time.perf_counter()
                latencies.append((now - begun[sock]) * 1e3)
                begun[sock] = now
                sock.send(REQUEST)
    for sock in begun:
        sock.close()
    return len(latencies) / seconds, latencies, refused


def start(core: int, *arguments: str) -> subprocess.Popen:
    command = [sys.executable, *arguments]
    return subprocess.Popen(command, cwd=ROOT, preexec_fn=lambda: os.sched_setaffinity(0, {core}))


def until_up(port: int) -> None:
    for _ in range(400):
        try:
            socket.create_connection(("127.0.0.1", port)).close()
            return
        except OSError:
            time.sleep(0.05)
    raise RuntimeError(f"nothing listens at {port}")


def measure(rounds: int, counts: list[int]) -> None:
    cores = sorted(os.sched_getaffinity(0))
    ports = dict(zip(("node", "list", "gateway", "peer", "forwarder"), free_ports(5), strict=True))
    with tempfile.TemporaryDirectory() as folder:
        config = settings(Path(folder), ports["gateway"], ports["peer"], ports["list"])
        here = "benchmarks.gateway"
        processes = [
            start(cores[0], "-m", here, "--node", str(ports["node"])),
            start(cores[0], "-m", here, "--list", str(ports["list"]), str(ports["node"])),
            start(cores[2 % len(cores)], "-m", "orchidlane", "gateway", str(config)),
            start(
                cores[2 % len(cores)], "-m", here, "--forwarder", str(ports["forwarder"]), str(ports["node"])
            ),
        ]
        os.sched_setaffinity(0, {cores[4 % len(cores)]})
        try:
            for name in ("node", "list", "gateway", "forwarder"):
                until_up(ports[name])
            time.sleep(1)
            for count in counts:
                report(count, rounds, ports)
        finally:
            for process in processes:
                process.kill()
                process.wait()


def report(count: int, rounds: int, ports: dict[str, int]) -> None:
    names = ("node", "gateway", "forwarder")
    rates: dict[str, list[float]] = {name: [] for name in names}
    times: dict[str, list[float]] = {name: [] for name in names}
    refused = dict.fromkeys(names, 0)
    for name in names:
        load(ports[name], count, 0.5)
    for _ in range(rounds):
        for name in names:
            rate, latencies, others = load(ports[name], count, ROUND)
            rates[name].append(rate)
            times[name] += latencies
            refused[name] += others
    print(f"{count} connections")
    for name in names:
        cuts = statistics.quantiles(times[name], n=100)
        middle = statistics.median(rates[name])
        print(
            f"  {name:10} {middle:8.0f} requests/s  p50 {cuts[49]:7.2f} ms  p99 {cuts[98]:7.2f} ms"
            f"  not 200: {refused[name]} of {len(times[name])}"
        )
    ratio = statistics.median(a / b for a, b in zip(rates["gateway"], rates["forwarder"], strict=True))
    print(f"  gateway/forwarder {ratio:.2f}", flush=True)


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--node", type=int)
    parser.add_argument("--forwarder", type=int, nargs=2)
    parser.add_argument("--list", type=int, nargs=2)
    parser.add_argument("--rounds", type=int, default=3)
    parser.add_argument("--connections", type=int, nargs="*", default=[1, 32, 256])
    chosen = parser.parse_args()
    if chosen.node:
        node(chosen.node)
    elif chosen.forwarder:
        forwarder(*chosen.forwarder)
    elif chosen.list:
        list_server(*chosen.list)
    else:
        measure(chosen.rounds, chosen.connections)


if __name__ == "__main__":
    main()
