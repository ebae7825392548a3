"""Bad clients send bodies of 60 MB in chunks of one byte. Judged by the gateway's memory."""

from __future__ import annotations

from contextlib import ExitStack
from pathlib import Path

from stand_ins import (
    BadClients,
    Client,
    Discovery,
    Gateway,
    Host,
    Record,
    instance,
    plan,
    run_case,
    settings,
    watch_memory,
)

HOSTS = 4
SOCKETS = 512  # the pages give an api gateway 256 to 1,024
MEMORY_MB = 96  # the pages give it 32 to 192 MB
BAD_CLIENTS = 150
BAD_CLIENTS_S = 20.0
REQUESTS_BEFORE = 4


def case(record: Record, trouble: bool) -> bool:
    """Return whether the gateway stayed within its memory."""
    hosts = [Host(record, f"s-{number}") for number in range(HOSTS)]
    entries = [instance(host.name, host.port) for host in hosts]
    discovery = Discovery(record, "discovery", *entries)
    gateway_settings = settings(packages=[plan("basico", 1.2, 6.0)])
    with (
        Gateway(record, discovery.address, gateway_settings, entries, SOCKETS, MEMORY_MB) as gateway,
        ExitStack() as stack,
    ):
        client = Client(record, gateway.port)
        for _ in range(REQUESTS_BEFORE):
            client.send("sheet-read", 2.0)
        record.note(f"memory before: {gateway.anonymous_memory_mb():.1f} MB")
        if trouble:
            stack.enter_context(BadClients(record, "body", gateway.port, BAD_CLIENTS, BAD_CLIENTS_S))
        peak_mb = watch_memory(record, gateway, MEMORY_MB, BAD_CLIENTS_S)
        is_running = gateway.is_running()
    record.note(f"memory: at most {peak_mb:.1f} MB of {MEMORY_MB} MB")
    return peak_mb <= MEMORY_MB and is_running


if __name__ == "__main__":
    run_case(Path(__file__).parent, case)
