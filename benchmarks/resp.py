"""Takes a second over RESP beside a plain asyncio server that answers without deciding, in one run.

Both have the same core and take turns; the load has another. ``python -m benchmarks.resp``.
"""

from __future__ import annotations

import argparse
import asyncio
import os
import selectors
import socket
import statistics
import tempfile
import time
from pathlib import Path

from benchmarks.gateway import KEY, ROUND, free_ports, settings, start, until_up

TAKE = b"*3\r\n$10\r\nLIMIT.TAKE\r\n$%d\r\n%s\r\n$1\r\n1\r\n" % (len(KEY), KEY.encode())
ANSWER = b"*3\r\n:1\r\n:1999999\r\n:0\r\n"


def plain(port: int) -> None:
    """Splits the bytes into commands, and answers each from a prepared string."""

    class Plain(asyncio.Protocol):
        def connection_made(self, transport):
            self.transport, self.rest = transport, b""

        def data_received(self, data):
            words = (self.rest + data).split(b"\r\n")
            whole = (len(words) - 1) // 7
            self.rest = b"\r\n".join(words[7 * whole :])
            self.transport.write(ANSWER * whole)

    async def serve() -> None:
        loop = asyncio.get_running_loop()
        await (await loop.create_server(Plain, "127.0.0.1", port)).serve_forever()

    asyncio.run(serve())


def load(port: int, connections: int, seconds: float) -> tuple[float, list[float]]:
    """Replies a second and latencies in ms."""
    selector = selectors.DefaultSelector()
    begun: dict[socket.socket, float] = {}
    for _ in range(connections):
        sock = socket.create_connection(("127.0.0.1", port))
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        selector.register(sock, selectors.EVENT_READ)
        begun[sock] = time.perf_counter()
        sock.send(TAKE)
    latencies, end = [], time.perf_counter() + seconds
    while time.perf_counter() < end:
        for key, _ in selector.select(0.1):
            sock = key.fileobj
            data = sock.recv(4096)
            if not data.startswith(b"*3\r\n:1\r\n"):
                raise RuntimeError(data.decode())
            now = time.perf_counter()
            latencies.append((now - begun[sock]) * 1e3)
            begun[sock] = now
            sock.send(TAKE)
    for sock in begun:
        sock.close()
    return len(latencies) / seconds, latencies


def measure(rounds: int, counts: list[int]) -> None:
    cores = sorted(os.sched_getaffinity(0))
    node, node_list, gateway, peer, front, other = free_ports(6)
    with tempfile.TemporaryDirectory() as folder:
        config = settings(Path(folder), gateway, peer, node_list)
        text = config.read_text().replace('name: "gw-0",', f'name: "gw-0", resp: "127.0.0.1:{front}",')
        config.write_text(text)
        core = cores[2 % len(cores)]
        processes = [
            start(cores[0], "-m", "benchmarks.gateway", "--list", str(node_list), str(node)),
            start(core, "-m", "orchidlane", "gateway", str(config)),
            start(core, "-m", "benchmarks.resp", "--plain", str(other)),
        ]
        os.sched_setaffinity(0, {cores[4 % len(cores)]})
        try:
            until_up(front)
            until_up(other)
            for count in counts:
                report(count, rounds, {"gateway": front, "plain": other})
        finally:
            for process in processes:
                process.kill()
                process.wait()


def report(count: int, rounds: int, ports: dict[str, int]) -> None:
    rates: dict[str, list[float]] = {name: [] for name in ports}
    times: dict[str, list[float]] = {name: [] for name in ports}
    for _ in range(rounds):
        for name, port in ports.items():
            rate, latencies = load(port, count, ROUND)
            rates[name].append(rate)
            times[name] += latencies
    print(f"{count} connections")
    for name in ports:
        cuts = statistics.quantiles(times[name], n=100)
        middle = statistics.median(rates[name])
        print(f"  {name:8} {middle:8.0f} takes/s  p50 {cuts[49]:7.2f} ms  p99 {cuts[98]:7.2f} ms")
    ratio = statistics.median(a / b for a, b in zip(rates["gateway"], rates["plain"], strict=True))
    print(f"  gateway/plain {ratio:.2f}", flush=True)


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--plain", type=int)
    parser.add_argument("--rounds", type=int, default=3)
    parser.add_argument("--connections", type=int, nargs="*", default=[1, 50, 500])
    chosen = parser.parse_args()
    if chosen.plain:
        plain(chosen.plain)
    else:
        measure(chosen.rounds, chosen.connections)


if __name__ == "__main__":
    main()
