"""Bad clients send bodies of 60 MB in chunks of one byte. Judged by the gateway's memory."""

from __future__ import annotations

import time
from contextlib import ExitStack
from pathlib import Path
from signal import SIGKILL

from stand_ins import BadClients, Client, Discovery, Gateway, Host, Record, instance, plan, run_case, settings

HOSTS = 4
SOCKETS = 512  # the pages give an api gateway 256 to 1,024
MEMORY_MB = 96  # the pages give it 32 to 192 MB
BAD_CLIENTS = 200
BAD_CLIENTS_S = 20.0
QUIET_S = 3.0
CHECK_INTERVAL_S = 0.05


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
        peak_mb = watch(record, gateway, client, QUIET_S)
        record.note(f"memory in quiet: at most {peak_mb:.1f} MB")
        if trouble:
            stack.enter_context(BadClients(record, gateway.port, BAD_CLIENTS, BAD_CLIENTS_S))
        peak_mb = watch(record, gateway, client, BAD_CLIENTS_S)
        record.note(f"memory: at most {peak_mb:.1f} MB of {MEMORY_MB} MB")
        return peak_mb <= MEMORY_MB and gateway.is_running()


def watch(record: Record, gateway: Gateway, client: Client, seconds: float) -> float:
    """Do what the platform does: kill the gateway once it is over its memory. Return the most memory seen."""
    end = record.now() + seconds
    peak_mb = 0.0
    next_request = 0.0
    while record.now() < end and gateway.is_running():
        memory_mb = gateway.anonymous_memory_mb()
        if memory_mb > peak_mb + 20:
            record.note(f"memory: {memory_mb:.1f} MB")
        peak_mb = max(peak_mb, memory_mb)
        if memory_mb > MEMORY_MB:
            gateway.signal(SIGKILL)
            record.note("the platform has killed the gateway, as it is over its memory")
            break
        if record.now() >= next_request and peak_mb < 20:
            client.send("sheet-read", 1.0)
            next_request = record.now() + 0.9
        time.sleep(CHECK_INTERVAL_S)
    return peak_mb


if __name__ == "__main__":
    run_case(Path(__file__).parent, case)
