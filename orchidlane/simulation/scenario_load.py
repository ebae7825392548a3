"""Creates the clients of a scenario from its plan."""

from __future__ import annotations

import random
from collections.abc import Callable

from orchidlane import policy
from orchidlane.gateway.control.customers import CustomerRecord, make_customer
from orchidlane.gateway.control.settings_loader import parse_host_port
from orchidlane.runtime import EventLoop
from orchidlane.simulation.client_load import ClientProfile, GatewayAddress
from orchidlane.simulation.http_clients import HttpClients, RequestKind
from orchidlane.simulation.observations import Record
from orchidlane.simulation.quota_clients import QuotaClients
from orchidlane.simulation.scenario_plan import ScenarioPlan, api_key

# Load of a customer as a multiple of its quota, chosen at random: most stay below it, some request a multiple
QUOTA_USE = (0.4, 0.8, 0.8, 4.0)


def make_http_clients(loop: EventLoop, plan: ScenarioPlan, record: Callable[[Record], None]) -> HttpClients:
    """Return the HTTP clients of a plan's customers."""
    generator = loop.backend.random
    return HttpClients(
        loop=loop,
        gateways=[GatewayAddress(f"gw-{rank}", address) for rank, address in enumerate(plan.gateways)],
        profiles=[
            _client_profile(plan, index, customer, generator) for index, customer in enumerate(plan.customers)
        ],
        kinds=_request_kinds(plan),
        rate=plan.scenario.request_rate,
        duration_us=plan.scenario.duration,
        record=record,
    )


def make_quota_clients(
    loop: EventLoop, plan: ScenarioPlan, profiles: list[ClientProfile], record: Callable[[Record], None]
) -> QuotaClients:
    """Return clients of the same customers that request quota over RESP."""
    return QuotaClients(
        loop=loop,
        gateways=[GatewayAddress(entry.name, parse_host_port(entry.resp)) for entry in plan.fleet.gateways],
        profiles=profiles,
        rate=plan.scenario.quota_request_rate,
        duration_us=plan.scenario.duration,
        record=record,
    )


def _client_profile(
    plan: ScenarioPlan, index: int, record: CustomerRecord, generator: random.Random
) -> ClientProfile:
    customer = make_customer(record, plan.fleet, list(plan.fleet.plans))
    gateway_count = plan.scenario.gateway_count
    ranks = [(customer.replica_set_start + i) % gateway_count for i in range(customer.replica_set_size)]
    generator.shuffle(ranks)
    weight = plan.fleet.plans[record.plan].rate * generator.choice(QUOTA_USE)
    return ClientProfile(record.id, api_key(index), weight, tuple(ranks))


def _request_kinds(plan: ScenarioPlan) -> list[RequestKind]:
    classes = dict(zip(plan.generation.class_names, plan.generation.classes, strict=True))
    return [
        RequestKind(
            class_name=entry.class_name,
            share=entry.share,
            method=entry.method,
            target=entry.target,
            deadline_us=classes[entry.class_name].deadline_us,
            is_idempotent=classes[entry.class_name].idempotency is policy.Idempotency.IDEMPOTENT,
            body_bytes=entry.body_bytes,
        )
        for entry in plan.scenario.request_kinds
    ]
