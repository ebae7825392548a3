"""The real program on loopback at the size of a fleet: started and told as the platform does."""

from __future__ import annotations

import json
import os
import signal
import socket
import subprocess
import sys
import threading
import time
from pathlib import Path

from harness.platform_harness import OK, call, file, instance, settings

PEERS, HOSTS = 1_024, 1_500


def listener() -> socket.socket:
    found = socket.create_server(("127.0.0.1", 0), backlog=64)
    found.settimeout(60)
    return found


def port(sock: socket.socket) -> int:
    return sock.getsockname()[1]


def free_port(kind: int) -> int:
    with socket.socket(socket.AF_INET, kind) as probe:
        probe.bind(("127.0.0.1", 0))
        return port(probe)


def serve(sock: socket.socket, answer: bytes, hold: list) -> None:
    """Give each connection one answer for each piece it sends; for discovery that is the whole watch."""

    def one(stream):
        while stream.recv(65_536):
            stream.sendall(answer)

    def all_of_them():
        while True:
            try:
                stream, _ = sock.accept()
            except OSError:
                return
            hold.append(stream)
            threading.Thread(target=one, args=(stream,), daemon=True).start()

    threading.Thread(target=all_of_them, daemon=True).start()


def ask(at: int, data: bytes) -> bytes:
    with socket.create_connection(("127.0.0.1", at), timeout=20) as stream:
        stream.sendall(data)
        return stream.recv(65_536)


def wait_until_up(at: int) -> None:
    """503 is honest until discovery has spoken."""
    by = time.monotonic() + 20
    while not (said := ask(at, b"GET /up HTTP/1.1\r\nHost: a\r\n\r\n")).startswith(b"HTTP/1.1 200"):
        assert said.startswith(b"HTTP/1.1 503")
        assert time.monotonic() < by


def test_a_gateway_with_a_thousand_peers_and_many_endpoints_starts_serves_and_ends(tmp_path: Path):
    held: list[socket.socket] = []
    with listener() as host, listener() as discovery:
        hosts = [instance(index, port=port(host)) for index in range(HOSTS)]
        line = json.dumps({"generation": 7, "reset": True, "instances": hosts}).encode() + b"\n"
        watch = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n" % (len(line), line)
        serve(host, OK, held)
        serve(discovery, watch, held)
        here, peer_port = free_port(socket.SOCK_STREAM), free_port(socket.SOCK_DGRAM)
        peers = [f"127.0.{1 + rank // 250}.{1 + rank % 250}:{peer_port}" for rank in range(PEERS)]
        peers[0] = f"127.0.0.1:{peer_port}"
        may = {**settings()["permissions"], "peers": True}
        told = file(
            listen=f"127.0.0.1:{here}",
            discovery=f"127.0.0.1:{port(discovery)}",
            peer_listen=peers[0],
            peers=peers,
            limits={"cores": 0.4, "memory_mb": 32, "sockets": 256},
            settings=settings(balancers=PEERS, permissions=may),
        )
        path = tmp_path / "config.json"
        path.write_text(json.dumps(told))
        started = subprocess.Popen(
            [sys.executable, "-m", "orchidlane.platform"],
            env={**os.environ, "PROXY_CONFIG": str(path)},
            stdout=subprocess.PIPE,
            stderr=subprocess.STDOUT,
            text=True,
        )
        try:
            assert started.stdout is not None
            assert "serves" in started.stdout.readline()
            wait_until_up(here)
            extras = f"units=1,spread={PEERS},first=0"
            asked = (call(left="2.000", extras=extras, client=f"{one:016x}") for one in range(20))
            answers = {ask(here, data)[:12] for data in asked}
            assert answers == {b"HTTP/1.1 200"}
            with open(f"/proc/{started.pid}/status") as status:
                resident = next(int(row.split()[1]) for row in status if row.startswith("VmRSS"))
            assert resident < 28 * 1024  # KiB: of the smallest machine's 32 MB
            started.send_signal(signal.SIGTERM)
            log = started.communicate(timeout=30)[0]
        finally:
            started.kill()
        assert (started.returncode, "Traceback" in log, "contained" in log) == (0, False, False), log
    for stream in held:
        stream.close()
