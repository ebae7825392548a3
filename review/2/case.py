"""Hosts in another hall send some answers twice, the second some milliseconds late."""

from __future__ import annotations

from support.case import Case, run
from support.clients import Clients
from support.discovery import DiscoveryAgent
from support.distant_hosts import DistantHost
from support.gateways import Gateway
from support.settings import ZONE, shared_hosting

HOSTS = 4
WORK_S = 0.03
ONE_WAY_S = 0.0025  # between two halls
SECOND_ANSWER_SHARE = 0.2
SECOND_ANSWER_AFTER_S = (0.001, 0.012)
REQUESTS_PER_S = 140.0
DURATION_S = 60.0


async def play(case: Case) -> int:
    """Serve clients; each 200 has to have the body that a host made for that request."""
    share = SECOND_ANSWER_SHARE if case.trouble else 0.0
    hosts = [
        DistantHost(case.record, f"s-{number}", WORK_S, ONE_WAY_S, share, SECOND_ANSWER_AFTER_S)
        for number in range(HOSTS)
    ]
    for host in hosts:
        await host.start()
    agent = DiscoveryAgent(case.record, "d0", list(hosts), ZONE)
    await agent.start()
    gateway = Gateway(case.record, case.folder, 0, agent.address, shared_hosting(1))
    gateway.configuration["known"] = agent.whole_list()
    case.gateways.append(gateway)
    gateway.start()
    await gateway.ready()
    clients = Clients(case.record, gateway.listen, "basico", "sheet-read", seed=1)
    clients.is_random = True
    await clients.run(REQUESTS_PER_S, DURATION_S)
    served = [exchange for exchange in clients.exchanges if exchange.status == 200]
    violations = [
        f"{exchange.request} was served {exchange.body!r} at {exchange.answered_at:.3f}"
        for exchange in served
        if exchange.body != f"served {exchange.request}".encode()
    ]
    second_answers = sum(host.second_answers for host in hosts)
    checked = f"{len(clients.exchanges)} requests, {len(served)} served, {second_answers} second answers"
    return case.conclude(violations, checked, max_lag_s=1.0)


run(play, __file__)
