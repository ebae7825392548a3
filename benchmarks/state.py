"""What a state of many customers costs a gateway, and what recording costs it.

``python -m benchmarks.state``. For 1,000, 10,000 and 100,000 customers: the pause of a whole dump beside that
of a snapshot's begin and of its slowest page, the time of all pages, the module's events beside those made
while a snapshot is taken, and the memory of a tool that counts a plan. Then one gateway's requests with and
without a record, in turn.
"""

from __future__ import annotations

import gc
import resource
import subprocess
import sys
import tempfile
import time
from pathlib import Path

import msgspec

from benchmarks.layers import MATERIALS
from orchidlane import policy, recording
from orchidlane.gateway.control.policy_settings import policy_settings
from orchidlane.gateway.control.settings_loader import parse_settings
from orchidlane.policy.gateway import Gateway
from orchidlane.routes import build, load_description

EVENTS = 4_000
START = 10**15


def made(customers: int) -> Gateway:
    """A module that has met so many customers."""
    file = MATERIALS / "openapi.yaml"
    generation = build(load_description(file.read_bytes(), str(file)), str(file))
    fleet = parse_settings((MATERIALS / "fleet.cue").read_text(), "fleet.cue")
    gateway = Gateway(policy_settings(fleet, 0, generation), 1, START)
    recording.track_accounts(gateway)
    entries = tuple(
        policy.EndpointEntry(b"s%d" % n, policy.EndpointState.READY, 0, 0, 0, 1.0) for n in range(24)
    )
    gateway.handle(START, policy.EndpointListReceived(policy.EndpointListKind.COMPLETE, 1, entries))
    for number in range(customers):
        gateway.handle(START + number, policy.QuotaRequested(number, number, number % 2, 0, 1.0, 0, 3))
    return gateway


def timed(work) -> float:
    """Milliseconds."""
    began = time.perf_counter()
    work()
    return (time.perf_counter() - began) * 1e3


def events(gateway: Gateway, customers: int, first: int) -> float:
    """Milliseconds of some events, spread over all customers."""
    now, step = START + 10**7, max(1, customers // EVENTS)

    def work() -> None:
        for n in range(EVENTS):
            gateway.handle(now + n, policy.QuotaRequested(first + n, n * step % customers, 0, 0, 1.0, 0, 3))

    return timed(work)


def pauses(customers: int) -> None:
    """One line of the first table."""
    gateway = made(customers)
    gc.collect()
    gc.disable()
    whole = timed(lambda: msgspec.msgpack.encode(recording.dump_state(gateway)))
    held: list[recording.Snapshot] = []
    begin = timed(lambda: held.append(recording.Snapshot(gateway)))
    head = timed(lambda: msgspec.msgpack.encode(held[0].state))
    pages = held[0].pages()
    spans = []
    while True:
        began = time.perf_counter()
        rows = next(pages, None)
        if rows is None:
            break
        recording.pack_account_page(0, rows, last=False)
        spans.append((time.perf_counter() - began) * 1e3)
    before = events(gateway, customers, 10**7)
    held.append(recording.Snapshot(gateway))
    during = events(gateway, customers, 2 * 10**7)
    held[1].close()
    gc.enable()
    print(
        f"{customers:9} {whole:12.1f} {begin:9.2f} {head:9.2f} {max(spans):10.2f} {sum(spans):9.0f}"
        f" {during / before:12.2f} {tool_memory(gateway):12.1f}"
    )


def tool_memory(gateway: Gateway) -> float:
    """MiB that a tool's process takes to count a plan, beyond those for an empty state."""
    with tempfile.TemporaryDirectory() as folder:
        sizes = []
        for name, counted in (("empty", False), ("whole", True)):
            path = Path(folder) / f"{name}.olr"
            snapshot = recording.Snapshot(gateway)
            header = recording.Header(
                recording.FORMAT_VERSION,
                recording.build_name(),
                "g",
                START,
                0,
                recording.settings_to_stored(gateway.settings),
                snapshot.state,
                tuple("abc"),
                ("basico", "amplio"),
                {"now": START + 10**7},
            )
            with path.open("wb") as out:
                out.write(recording.pack_header(header))
                for rows in snapshot.pages() if counted else ():
                    out.write(recording.pack_account_page(0, rows, last=False))
                out.write(recording.pack_account_page(0, [], last=True))
            snapshot.close()
            program = (
                "import resource; from orchidlane import record;"
                "from orchidlane.gateway.telemetry.policy_views import plan_counts;"
                f"plan_counts(record.SegmentReader({str(path)!r}), 10);"
                "print(resource.getrusage(resource.RUSAGE_SELF).ru_maxrss)"
            )
            done = subprocess.run([sys.executable, "-c", program], capture_output=True, check=True)
            sizes.append(int(done.stdout) / 1024)
    return sizes[1] - sizes[0]


def main() -> None:
    """Print the table."""
    print("customers  whole dump      begin      head slowest page  all pages  events during  tool MiB")
    for customers in (1_000, 10_000, 100_000):
        pauses(customers)
    print(f"this process: {resource.getrusage(resource.RUSAGE_SELF).ru_maxrss // 1024} MiB")


if __name__ == "__main__":
    main()
