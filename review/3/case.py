"""Hosts are replaced one after another while each change ends the open watch instead of being told there."""

from __future__ import annotations

import asyncio

from support.case import Case, run, sends_after
from support.clients import Clients
from support.discovery import DiscoveryAgent
from support.gateways import Gateway
from support.hosts import Host
from support.settings import ZONE, kingston_main

HOSTS = 10
REPLACED = 6  # within 7 s
WORK_S = 0.04
DRAIN_GRACE_S = 0.5
QUIET_S = 5.0
REPLACE_EVERY_S = 1.1
DRAIN_AFTER_S = 0.4  # from the start of a new host to the drain of the old one
AFTERWARDS_S = 3.0
REQUESTS_PER_S = 80.0


async def play(case: Case) -> int:
    """Serve clients through a release; a host gets nothing new once the grace of its drain is over."""
    hosts = [Host(case.record, f"s-{number}", WORK_S) for number in range(HOSTS + REPLACED)]
    for host in hosts:
        await host.start()
    agent = DiscoveryAgent(case.record, "d0", hosts[:HOSTS], ZONE)
    await agent.start()
    gateway = Gateway(case.record, case.folder, 0, agent.address, kingston_main(1))
    gateway.configuration["known"] = agent.whole_list()
    case.gateways.append(gateway)
    gateway.start()
    await gateway.ready()
    agent.ends_instead_of_telling = case.trouble
    clients = Clients(case.record, gateway.listen, "starter", "status-check", seed=1)
    clients.timeout_s = 0.7
    duration_s = QUIET_S + REPLACED * REPLACE_EVERY_S + AFTERWARDS_S
    case.longest_lag_s = 0.0
    usual = asyncio.ensure_future(clients.run(REQUESTS_PER_S, duration_s))
    await asyncio.sleep(QUIET_S)
    told: dict[str, float] = {}
    for number in range(REPLACED):
        agent.add(hosts[HOSTS + number], ZONE)
        await asyncio.sleep(DRAIN_AFTER_S)
        agent.change(hosts[number].name, lifecycle="leaving")
        told[hosts[number].name] = case.record.now()
        await asyncio.sleep(REPLACE_EVERY_S - DRAIN_AFTER_S)
    await usual
    violations = [
        f"{late.request} began at {name} {late.at - at:.3f} s after the agent had its drain"
        for name, at in told.items()
        for late in sends_after(hosts, name, at + DRAIN_GRACE_S)
    ]
    return case.conclude(violations, f"{len(clients.exchanges)} requests, {len(told)} drains")


run(play, __file__)
