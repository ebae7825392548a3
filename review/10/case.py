"""A gateway is killed and starts again while discovery is down. Judged by what a draining host gets."""

from __future__ import annotations

import threading
import time
from pathlib import Path

from stand_ins import SLACK_S, Client, Discovery, Gateway, Host, Record, instance, run_case, settings

HOSTS = 4
CLIENTS = 4
DRAIN_GRACE_S = 1.0
QUIET_S = 3.0
DRAIN_AFTER_KILL_S = 0.5
OUTAGE_AFTER_DRAIN_S = 1.0
START_AFTER_OUTAGE_S = 0.5  # so that the gateway was dead for 2 s
OUTAGE_S = 8.0
AFTER_OUTAGE_S = 3.0
PAUSE_S = 0.02  # between two requests of a client


def case(record: Record, trouble: bool) -> bool:
    """Return whether nothing new went to the draining host after the new process's start and the grace."""
    hosts = [Host(record, f"s-{number}") for number in range(HOSTS)]
    entries = [instance(host.name, host.port) for host in hosts]
    discovery = Discovery(record, "discovery", *entries)
    drained = hosts[1]
    with Gateway(record, discovery.address, settings(), entries) as gateway:
        send_until(record, gateway, record.now() + QUIET_S)
        gateway.kill()
        time.sleep(DRAIN_AFTER_KILL_S)
        discovery.change(instance(drained.name, drained.port, lifecycle="leaving"))
        time.sleep(OUTAGE_AFTER_DRAIN_S)
        outage_end = record.now() + OUTAGE_S
        if trouble:
            discovery.go_down()
        time.sleep(START_AFTER_OUTAGE_S)
        limit = gateway.start() + DRAIN_GRACE_S + SLACK_S
        send_until(record, gateway, outage_end)
        discovery.come_back()
        send_until(record, gateway, outage_end + AFTER_OUTAGE_S)
        is_running = gateway.is_running()
    late = [at for at, _ in drained.requests if at > limit]
    others = sum(at > limit for host in hosts for at, _ in host.requests) - len(late)
    record.note(f"from its readiness on the new process had a grace and {SLACK_S} s, until {limit:.3f}")
    record.note(f"requests after that: {len(late)} to {drained.name}, which drains, {others} to the others")
    return not late and is_running


def send_until(record: Record, gateway: Gateway, end: float) -> None:
    """Let some clients send one request after the other until a time of the record."""
    clients = [Client(record, gateway.port, customer=1 + number) for number in range(CLIENTS)]
    threads = [threading.Thread(target=send_one_by_one, args=(record, client, end)) for client in clients]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()


def send_one_by_one(record: Record, client: Client, end: float) -> None:
    """Send one request after the other until a time of the record."""
    while record.now() < end:
        client.send("sheet-read", 2.0)
        time.sleep(PAUSE_S)


if __name__ == "__main__":
    run_case(Path(__file__).parent, case)
