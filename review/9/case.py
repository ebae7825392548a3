"""Twenty bad clients send bodies of 60 MB in chunks of one byte. Judged by what the usual clients get."""

from __future__ import annotations

import threading
import time
from contextlib import ExitStack
from pathlib import Path

from stand_ins import BadClients, Client, Discovery, Gateway, Host, Record, instance, run_case, settings

HOSTS = 4
CLIENTS = 4
TIMEOUT_S = 1.0  # half of the deadline of the class: a try is given up after 50 to 100% of it
QUIET_S = 3.0
BAD_CLIENTS = 20
BAD_CLIENTS_S = 15.0
PAUSE_S = 0.05  # between two requests of a client


def case(record: Record, trouble: bool) -> bool:
    """Return whether each request of the usual clients got its final answer."""
    hosts = [Host(record, f"s-{number}") for number in range(HOSTS)]
    entries = [instance(host.name, host.port) for host in hosts]
    discovery = Discovery(record, "discovery", *entries)
    with Gateway(record, discovery.address, settings(), entries) as gateway, ExitStack() as stack:
        clients = [Client(record, gateway.port, customer=1 + number) for number in range(CLIENTS)]
        end = record.now() + QUIET_S + BAD_CLIENTS_S
        threads = [threading.Thread(target=send_until, args=(record, client, end)) for client in clients]
        for thread in threads:
            thread.start()
        time.sleep(QUIET_S)
        if trouble:
            stack.enter_context(BadClients(record, "body", gateway.port, BAD_CLIENTS, BAD_CLIENTS_S))
        for thread in threads:
            thread.join()
        is_running = gateway.is_running()
    lost = [request for client in clients for request in client.lost]
    answered = sum(len(client.answers) for client in clients)
    record.note(f"requests answered in time: {answered}, lost: {len(lost)} ({' '.join(lost)})")
    return not lost and is_running


def send_until(record: Record, client: Client, end: float) -> None:
    """Send one request after the other until a time of the record."""
    while record.now() < end:
        client.send("sheet-read", TIMEOUT_S)
        time.sleep(PAUSE_S)


if __name__ == "__main__":
    run_case(Path(__file__).parent, case)
