"""Bad clients come beside the usual ones, which still have to get their answers."""

from __future__ import annotations

import asyncio

from support.bad_clients import BatchClient, SilentClient
from support.case import SOCKET_SLACK_S, Case, run
from support.clients import Clients
from support.discovery import DiscoveryAgent
from support.gateways import Gateway
from support.hosts import Host
from support.settings import ZONE, shared_hosting

HOSTS = 9
WORK_S = 0.1
FRONTS = 10
REQUESTS_PER_S = 2.0  # of each front
QUIET_S = 4.0
DURATION_S = 20.0
BATCH_CLIENTS = 40
REQUESTS_AT_ONCE = 300  # of each batch client
SILENT_CLIENTS = 500
LATEST_ANSWER_S = 0.5  # after the request's time; later, or never, it is lost


async def play(case: Case) -> int:
    """Serve usual clients; after a while bad clients come beside them."""
    hosts = [Host(case.record, f"s-{number}", WORK_S) for number in range(HOSTS)]
    for host in hosts:
        await host.start()
    agent = DiscoveryAgent(case.record, "d0", hosts, ZONE)
    await agent.start()
    gateway = Gateway(case.record, case.folder, 0, agent.address, shared_hosting(1))
    gateway.configuration["known"] = agent.whole_list()
    case.gateways.append(gateway)
    gateway.start()
    await gateway.ready()
    fronts = [
        Clients(case.record, gateway.listen, "basico", "sheet-read", seed) for seed in range(1, FRONTS + 1)
    ]
    batch_clients = [
        BatchClient(case.record, gateway.listen, number, REQUESTS_AT_ONCE) for number in range(BATCH_CLIENTS)
    ]
    silent_clients = [SilentClient(gateway.listen) for _ in range(SILENT_CLIENTS)]
    case.longest_lag_s = 0.0
    usual = asyncio.gather(*(front.run(REQUESTS_PER_S, DURATION_S) for front in fronts))
    await asyncio.sleep(QUIET_S)
    bad = []
    if case.trouble:
        case.record.write(f"{BATCH_CLIENTS} batch clients and {SILENT_CLIENTS} silent ones connect")
        bad = [asyncio.ensure_future(client.run()) for client in [*batch_clients, *silent_clients]]
    await usual
    for task in bad:
        task.cancel()
    exchanges = [exchange for front in fronts for exchange in front.exchanges]
    bound_s = LATEST_ANSWER_S + SOCKET_SLACK_S
    violations = [
        f"{exchange.request}, sent at {exchange.sent_at:.3f}, has no answer "
        f"{exchange.timeout_s + bound_s:.3f} s later"
        for exchange in exchanges
        if not exchange.was_closed and (not exchange.status or exchange.took_s > exchange.timeout_s + bound_s)
    ]
    checked = (
        f"{len(exchanges)} requests on accepted connections, "
        f"{sum(exchange.status == 200 for exchange in exchanges)} served, "
        f"{sum(exchange.was_closed for exchange in exchanges)} closed twice without an answer, "
        f"{sum(front.refused_connections for front in fronts)} not connected; "
        f"closed by the gateway: {sum(client.was_closed for client in silent_clients)} silent clients, "
        f"{sum(client.closed for client in batch_clients)} batch clients"
    )
    return case.conclude(violations, checked, max_lag_s=LATEST_ANSWER_S)


run(play, __file__)
