"""Cost of dumps and snapshots of a gateway's state with many customers.

``python -m benchmarks.state``. For 1,000, 10,000 and 100,000 customers: the pauses, in milliseconds, for a
complete dump, for the start of a snapshot, for encoding its state without accounts (``head``) and for its
slowest page; the time of all pages; the time of events during a snapshot divided by that before it; and the
memory of a tool that counts customers by plan.
"""

from __future__ import annotations

import argparse
import contextlib
import gc
import resource
import subprocess
import sys
import tempfile
from collections.abc import Iterator
from pathlib import Path

import msgspec

from benchmarks.example_policy import START_US, example_gateway, feed_endpoint_list
from benchmarks.timing import measure_ms, timed_result
from orchidlane import policy, recording
from orchidlane.policy.gateway import Gateway

EVENTS = 4_000
EVENTS_START_US = START_US + 10**7
PLAN_NAMES = ("basico", "amplio")
KIB_PER_MIB = 1024
COUNT_PROGRAM = """
import resource, sys
from orchidlane import recording
from orchidlane.gateway.telemetry.plan_counts import count_by_plan
count_by_plan(recording.SegmentReader(sys.argv[1]), 10)
print(resource.getrusage(resource.RUSAGE_SELF).ru_maxrss)
"""


def make_gateway(customers: int) -> Gateway:
    """Return a policy with an account for each of the customers."""
    gateway = example_gateway()
    recording.track_accounts(gateway)
    feed_endpoint_list(gateway)
    for number in range(customers):
        requested = policy.QuotaRequested(number, number, number % 2, 0, 1.0, 0, 3)
        gateway.handle(START_US + number, requested)
    return gateway


@contextlib.contextmanager
def garbage_collection_paused() -> Iterator[None]:
    """Collect garbage now, and not again before the context ends."""
    gc.collect()
    gc.disable()
    try:
        yield
    finally:
        gc.enable()


def measure_pages_ms(snapshot: recording.Snapshot) -> list[float]:
    """Return the milliseconds that it takes to make and encode each page of a snapshot."""
    pages = snapshot.pages()
    times_ms: list[float] = []

    def pack_next() -> bool:
        rows = next(pages, None)
        if rows is None:
            return False
        recording.pack_account_page(0, rows, last=False)
        return True

    while True:
        seconds, is_packed = timed_result(pack_next)
        if not is_packed:
            return times_ms
        times_ms.append(seconds * 1e3)


def measure_events_ms(gateway: Gateway, customers: int, first_number: int) -> float:
    """Return the milliseconds that the policy takes for ``EVENTS`` events, spread over all customers."""
    step = max(1, customers // EVENTS)

    def handle_events() -> None:
        for index in range(EVENTS):
            customer = index * step % customers
            requested = policy.QuotaRequested(first_number + index, customer, 0, 0, 1.0, 0, 3)
            gateway.handle(EVENTS_START_US + index, requested)

    return measure_ms(handle_events)


def measure_events_ratio(gateway: Gateway, customers: int) -> float:
    """Return the time of events during a snapshot divided by their time before it."""
    before_ms = measure_events_ms(gateway, customers, 10**7)
    snapshot = recording.Snapshot(gateway)
    during_ms = measure_events_ms(gateway, customers, 2 * 10**7)
    snapshot.close()
    return during_ms / before_ms


def print_line(customers: int) -> None:
    """Measure a state of ``customers`` customers, and print a line of the table."""
    gateway = make_gateway(customers)
    with garbage_collection_paused():
        dump_ms = measure_ms(lambda: msgspec.msgpack.encode(recording.dump_state(gateway)))
        start_seconds, snapshot = timed_result(lambda: recording.Snapshot(gateway))
        head_ms = measure_ms(lambda: msgspec.msgpack.encode(snapshot.state))
        pages_ms = measure_pages_ms(snapshot)
        events_ratio = measure_events_ratio(gateway, customers)
    print(
        f"{customers:9} {dump_ms:12.1f} {start_seconds * 1e3:9.2f} {head_ms:9.2f} {max(pages_ms):10.2f}"
        f" {sum(pages_ms):9.0f} {events_ratio:12.2f} {measure_tool_mib(gateway):12.1f}"
    )


def measure_tool_mib(gateway: Gateway) -> float:
    """Return the MiB by which the accounts enlarge a process that counts customers by plan."""
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "state.olr"
        write_state(gateway, path, with_accounts=False)
        empty_mib = count_plan_mib(path)
        write_state(gateway, path, with_accounts=True)
        return count_plan_mib(path) - empty_mib


def write_state(gateway: Gateway, path: Path, with_accounts: bool) -> None:
    """Write a saved state, with or without the accounts."""
    snapshot = recording.Snapshot(gateway)
    header = recording.Header(
        recording.FORMAT_VERSION,
        recording.build_name(),
        "g",
        START_US,
        0,
        recording.settings_to_stored(gateway.settings),
        snapshot.state,
        tuple("abc"),
        PLAN_NAMES,
        {"now": EVENTS_START_US},
    )
    with path.open("wb") as out:
        out.write(recording.pack_header(header))
        for rows in snapshot.pages() if with_accounts else ():
            out.write(recording.pack_account_page(0, rows, last=False))
        out.write(recording.pack_account_page(0, [], last=True))
    snapshot.close()


def count_plan_mib(path: Path) -> float:
    """Return the peak size in MiB of a process that counts a saved state's customers by plan."""
    command = [sys.executable, "-c", COUNT_PROGRAM, str(path)]
    done = subprocess.run(command, capture_output=True, check=True)
    return int(done.stdout) / KIB_PER_MIB


def main() -> None:
    """Print a table with a line for each number of customers."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--customers", type=int, nargs="*", default=[1_000, 10_000, 100_000])
    customer_counts = parser.parse_args().customers
    print("customers  whole dump      start      head slowest page  all pages  events during  tool MiB")
    for customers in customer_counts:
        print_line(customers)
    print(f"this process: {resource.getrusage(resource.RUSAGE_SELF).ru_maxrss // KIB_PER_MIB} MiB")


if __name__ == "__main__":
    main()
