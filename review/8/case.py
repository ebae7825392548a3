"""One host of eight sends answers whose heads can't be read. Judged by the answers that clients get."""

from __future__ import annotations

import threading
import time
from pathlib import Path

from stand_ins import Client, Discovery, Gateway, Host, Record, instance, run_case, settings

HOSTS = 8
CLIENTS = 6
TIMEOUT_S = 1.0  # half of the deadline of the class: a try is given up after 50 to 100% of it
QUIET_S = 3.0
SPOILT_ANSWERS = 3
BETWEEN_SPOILT_S = 6.0
PAUSE_S = 0.05  # between two requests of a client
HEAD_BYTES = 16_000
UNREADABLE_HEAD = (
    b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nX-Server-Load:" + b" " * HEAD_BYTES + b"\x01\r\n\r\nok"
)


def case(record: Record, trouble: bool) -> bool:
    """Return whether each request of the usual clients got its final answer."""
    hosts = [Host(record, f"s-{number}") for number in range(HOSTS)]
    entries = [instance(host.name, host.port) for host in hosts]
    discovery = Discovery(record, "discovery", *entries)
    with Gateway(record, discovery.address, settings(), entries) as gateway:
        clients = [Client(record, gateway.port, customer=1 + number) for number in range(CLIENTS)]
        end = record.now() + QUIET_S + SPOILT_ANSWERS * BETWEEN_SPOILT_S
        threads = [threading.Thread(target=send_until, args=(record, client, end)) for client in clients]
        for thread in threads:
            thread.start()
        for number in range(SPOILT_ANSWERS if trouble else 0):
            wait_until(record, QUIET_S + number * BETWEEN_SPOILT_S)
            hosts[-1].spoilt_answers.append(UNREADABLE_HEAD)
        for thread in threads:
            thread.join()
        is_running = gateway.is_running()
    lost = [request for client in clients for request in client.lost]
    answered = sum(len(client.answers) for client in clients)
    record.note(f"requests answered in time: {answered}, lost: {len(lost)} ({' '.join(lost)})")
    return not lost and is_running


def wait_until(record: Record, at: float) -> None:
    """Wait until a time of the record."""
    time.sleep(max(0.0, at - record.now()))


def send_until(record: Record, client: Client, end: float) -> None:
    """Send one request after the other until a time of the record."""
    while record.now() < end:
        client.send("sheet-read", TIMEOUT_S)
        time.sleep(PAUSE_S)


if __name__ == "__main__":
    run_case(Path(__file__).parent, case)
