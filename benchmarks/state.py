"""What a state of many customers costs a gateway.

``python -m benchmarks.state``. For 1,000, 10,000 and 100,000 customers: the pause of a complete dump beside
that of a snapshot's begin and of its slowest page, the time of all pages, the policy's events beside those
made while a snapshot is taken, and the memory of a tool that counts a plan.
"""

from __future__ import annotations

import gc
import resource
import subprocess
import sys
import tempfile
import time
from collections.abc import Callable
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


def make_gateway(customers: int) -> Gateway:
    """Return a policy that knows so many customers."""
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


def measure_ms(work: Callable[[], object]) -> float:
    """Return the time of a call in milliseconds."""
    began = time.perf_counter()
    work()
    return (time.perf_counter() - began) * 1e3


def measure_events_ms(gateway: Gateway, customers: int, first: int) -> float:
    """Return the time of some events, spread over all customers."""
    now, step = START + 10**7, max(1, customers // EVENTS)

    def work() -> None:
        for n in range(EVENTS):
            gateway.handle(now + n, policy.QuotaRequested(first + n, n * step % customers, 0, 0, 1.0, 0, 3))

    return measure_ms(work)


def print_pauses(customers: int) -> None:
    """Print one line of the table."""
    gateway = make_gateway(customers)
    gc.collect()
    gc.disable()
    complete_dump_ms = measure_ms(lambda: msgspec.msgpack.encode(recording.dump_state(gateway)))
    snapshots: list[recording.Snapshot] = []
    begin_ms = measure_ms(lambda: snapshots.append(recording.Snapshot(gateway)))
    encode_ms = measure_ms(lambda: msgspec.msgpack.encode(snapshots[0].state))
    pages = snapshots[0].pages()
    page_times_ms = []
    while True:
        began = time.perf_counter()
        rows = next(pages, None)
        if rows is None:
            break
        recording.pack_account_page(0, rows, last=False)
        page_times_ms.append((time.perf_counter() - began) * 1e3)
    before = measure_events_ms(gateway, customers, 10**7)
    snapshots.append(recording.Snapshot(gateway))
    during = measure_events_ms(gateway, customers, 2 * 10**7)
    snapshots[1].close()
    gc.enable()
    print(
        f"{customers:9} {complete_dump_ms:12.1f} {begin_ms:9.2f} {encode_ms:9.2f} {max(page_times_ms):10.2f}"
        f" {sum(page_times_ms):9.0f} {during / before:12.2f} {measure_tool_mib(gateway):12.1f}"
    )


def measure_tool_mib(gateway: Gateway) -> float:
    """Return the MiB that a tool's process takes to count a plan, beyond those for an empty state."""
    with tempfile.TemporaryDirectory() as folder:
        sizes = []
        for name, counted in (("empty", False), ("complete", True)):
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
                "import resource; from orchidlane import recording;"
                "from orchidlane.gateway.telemetry.plan_counts import count_by_plan;"
                f"count_by_plan(recording.SegmentReader({str(path)!r}), 10);"
                "print(resource.getrusage(resource.RUSAGE_SELF).ru_maxrss)"
            )
            done = subprocess.run([sys.executable, "-c", program], capture_output=True, check=True)
            sizes.append(int(done.stdout) / 1024)
    return sizes[1] - sizes[0]


def main() -> None:
    """Print the table."""
    print("customers  whole dump      begin      head slowest page  all pages  events during  tool MiB")
    for customers in (1_000, 10_000, 100_000):
        print_pauses(customers)
    print(f"this process: {resource.getrusage(resource.RUSAGE_SELF).ru_maxrss // 1024} MiB")


if __name__ == "__main__":
    main()
