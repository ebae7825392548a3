"""Discovery takes 1.3 s to answer a call; a host begins to drain. Judged by what the host gets."""

from __future__ import annotations

import time
from pathlib import Path

from stand_ins import Client, Discovery, Gateway, Host, Record, instance, run_case, settings

HOSTS = 4
ANSWER_AFTER_S = 1.3
DRAIN_GRACE_S = 0.5
TOLD_AT_THE_LATEST_S = 6.0  # after discovery had the change and could be reached
SLACK_S = 0.05  # on every time limit on sockets
BEFORE_DRAIN_S = 8.0
AFTER_TOLD_S = 8.0
PAUSE_S = 0.03  # between two requests


def case(record: Record, trouble: bool) -> bool:
    """Return whether nothing new went to the draining host after it counted as told and the grace."""
    hosts = [Host(record, f"s-{number}") for number in range(HOSTS)]
    entries = [instance(host.name, host.port) for host in hosts]
    discovery = Discovery(record, "discovery", *entries)
    discovery.answer_after_s = ANSWER_AFTER_S if trouble else 0.0
    gateway_settings = settings()
    gateway_settings["rules"]["drainGrace"] = int(DRAIN_GRACE_S * 1_000_000)
    with Gateway(record, discovery.address, gateway_settings, entries) as gateway:
        client = Client(record, gateway.port)
        send_until(record, client, record.now() + BEFORE_DRAIN_S)
        drained = hosts[1]
        drain_at = discovery.change(instance(drained.name, drained.port, lifecycle="leaving"))
        limit = drain_at + TOLD_AT_THE_LATEST_S + DRAIN_GRACE_S + SLACK_S
        send_until(record, client, limit + AFTER_TOLD_S)
        late = [at for at, _ in drained.requests if at > limit]
        others = sum(at > limit for host in hosts for at, _ in host.requests) - len(late)
    record.note(f"calls to discovery: {discovery.calls}, lists that it wrote: {discovery.lists_written}")
    record.note(f"{drained.name} drains since {drain_at:.3f}; nothing new may go there after {limit:.3f}")
    record.note(f"requests after that: {len(late)} to {drained.name}, {others} to the other hosts")
    return not late


def send_until(record: Record, client: Client, end: float) -> None:
    """Send one request after the other until a time of the record."""
    while record.now() < end:
        client.send("sheet-read", 2.0)
        time.sleep(PAUSE_S)


if __name__ == "__main__":
    run_case(Path(__file__).parent, case)
