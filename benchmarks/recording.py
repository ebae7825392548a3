"""What recording costs a gateway: the same requests with and without, in turn on one core; bytes a request.

``python -m benchmarks.recording``.
"""

from __future__ import annotations

import os
import statistics
import tempfile
import time
from pathlib import Path

from benchmarks.gateway import ROUND, free_ports, load, settings, start, until_up

ROUNDS = 8
CONNECTIONS = 32
HERE = "benchmarks.gateway"


def main() -> None:
    """Print the ratio of each pair, and the bytes."""
    cores = sorted(os.sched_getaffinity(0))
    node, listed, *ports = free_ports(6)
    with tempfile.TemporaryDirectory() as first, tempfile.TemporaryDirectory() as second:
        plain = settings(Path(first), ports[0], ports[1], listed)
        taped = settings(Path(second), ports[2], ports[3], listed)
        core = cores[2 % len(cores)]
        processes = [
            start(cores[0], "-m", HERE, "--node", str(node)),
            start(cores[0], "-m", HERE, "--list", str(listed), str(node)),
            start(core, "-m", "orchidlane", "gateway", str(plain)),
            start(core, "-m", "orchidlane", "gateway", str(taped), "--record", second),
        ]
        os.sched_setaffinity(0, {cores[4 % len(cores)]})
        try:
            for port in (node, listed, ports[0], ports[2]):
                until_up(port)
            time.sleep(1)
            ratios, requests = [], 0
            for _ in range(ROUNDS):
                without, _, _ = load(ports[0], CONNECTIONS, ROUND)
                rate, times, _ = load(ports[2], CONNECTIONS, ROUND)
                requests += len(times)
                ratios.append(rate / without)
            time.sleep(0.5)
            size = sum(path.stat().st_size for path in Path(second).glob("*.olr"))
        finally:
            for process in processes:
                process.kill()
                process.wait()
    shown = ", ".join(f"{ratio:.2f}" for ratio in ratios)
    print(f"requests/s recording beside not: {shown}; median {statistics.median(ratios):.2f}")
    print(f"{size / requests:.0f} bytes a request")


if __name__ == "__main__":
    main()
