"""The plan of a scenario's run in a folder: addresses, the fleet's settings, endpoints and customers."""

from __future__ import annotations

import hashlib
from collections.abc import Callable
from dataclasses import dataclass
from functools import cache
from pathlib import Path
from typing import Any, NamedTuple

import msgspec

from orchidlane import config
from orchidlane.gateway.control.customers import CustomerRecord
from orchidlane.gateway.control.settings import FleetSettings
from orchidlane.gateway.control.settings_loader import parse_host_port, parse_settings, schema_text
from orchidlane.routes import Generation, build, load_description
from orchidlane.runtime.backend import Address, format_address
from orchidlane.simulation.audit_limits import AuditLimits, CeilingLimit, RateLimit
from orchidlane.simulation.datagram_relay import DatagramRoute
from orchidlane.simulation.endpoint_spec import ClassWork, EndpointSpec
from orchidlane.simulation.fake_discovery import ZONE
from orchidlane.simulation.scenario import Scenario

SECRET = b"a secret for stand-ins only"  # authenticates the gateways' datagrams
SETTINGS_NAME = "scenario"  # in error messages, in place of a file name
ADDRESSES_PER_GATEWAY = 5


class FleetAddresses(NamedTuple):
    """Addresses by rank or index; ``relay`` receives the datagrams of a gateway, and sends them to it."""

    listen: list[Address]
    datagrams: list[Address]
    relay: list[Address]
    admin: list[Address]
    resp: list[Address]
    discovery: Address
    endpoints: list[Address]


@dataclass
class ScenarioPlan:
    """A scenario with its addresses, customers and settings, for every kind of fleet backend."""

    scenario: Scenario
    fleet: FleetSettings
    generation: Generation
    settings_text: str  # the fleet's settings as the text of a file
    folder: str
    secret_file: str
    gateways: list[Address]
    discovery_address: Address
    datagram_routes: list[DatagramRoute]
    endpoints: list[EndpointSpec]
    customers: list[CustomerRecord]


def make_plan(
    scenario: Scenario,
    folder: str,
    free_addresses: Callable[[int], list[Address]],
    keep_addresses: bool = False,
) -> ScenarioPlan:
    """Return the plan of a scenario's run in a folder.

    With ``keep_addresses``, the gateways use the addresses in the fleet's file, which a user knows.
    """
    settings = config.plain_values(Path(scenario.fleet).read_text(), scenario.fleet, schema_text(), "#Fleet")
    addresses = _allocate_addresses(scenario, free_addresses)
    if keep_addresses:
        addresses = _with_configured_addresses(addresses, settings)
    settings_text = _fleet_settings_text(scenario, settings, addresses, folder)
    fleet = parse_settings(settings_text, SETTINGS_NAME)
    generation = _load_generation(fleet.description)
    return ScenarioPlan(
        scenario=scenario,
        fleet=fleet,
        generation=generation,
        settings_text=settings_text,
        folder=folder,
        secret_file=_secret_file(folder),
        gateways=addresses.listen,
        discovery_address=addresses.discovery,
        datagram_routes=list(map(DatagramRoute, addresses.relay, addresses.datagrams)),
        endpoints=_endpoint_specs(scenario, fleet, generation, addresses, folder),
        customers=[_customer(index, list(fleet.plans)) for index in range(scenario.customer_count)],
    )


def _allocate_addresses(scenario: Scenario, free_addresses: Callable[[int], list[Address]]) -> FleetAddresses:
    count = scenario.gateway_count
    addresses = free_addresses(ADDRESSES_PER_GATEWAY * count + 1 + scenario.endpoint_count)
    listen, datagrams, relay, admin, resp = (
        addresses[i * count : (i + 1) * count] for i in range(ADDRESSES_PER_GATEWAY)
    )
    discovery, *endpoints = addresses[ADDRESSES_PER_GATEWAY * count :]
    return FleetAddresses(listen, datagrams, relay, admin, resp, discovery, endpoints)


def _with_configured_addresses(addresses: FleetAddresses, settings: dict[str, Any]) -> FleetAddresses:
    def configured(key: str) -> list[Address]:
        return [parse_host_port(entry[key]) for entry in settings["gateways"]]

    return addresses._replace(
        listen=configured("listen"),
        relay=configured("peer"),
        admin=configured("admin"),
        resp=configured("resp"),
        discovery=parse_host_port(settings["nodes"]["list"]),
    )


def _fleet_settings_text(
    scenario: Scenario, settings: dict[str, Any], addresses: FleetAddresses, folder: str
) -> str:
    """Return the settings with the scenario's addresses and files in place of the configured ones."""
    settings |= {
        "description": str((Path(scenario.fleet).parent / settings["description"]).resolve()),
        "customers": f"{folder}/customers.json",
        "state": folder,
        "gateways": [_gateway_entry(rank, addresses) for rank in range(scenario.gateway_count)],
    }
    settings["nodes"]["list"] = format_address(addresses.discovery)
    settings["peers"]["secret_file"] = _secret_file(folder)
    return render_settings(settings)


def _gateway_entry(rank: int, addresses: FleetAddresses) -> dict[str, str]:
    return {
        "name": f"gw-{rank}",
        "listen": format_address(addresses.listen[rank]),
        "peer": format_address(addresses.relay[rank]),
        "admin": format_address(addresses.admin[rank]),
        "resp": format_address(addresses.resp[rank]),
        "zone": ZONE,
    }


def render_settings(settings: dict[str, Any]) -> str:
    """Return settings as the text of a file, which has no braces around all settings."""
    return config.render(settings)[1:-1]


def _secret_file(folder: str) -> str:
    return f"{folder}/secret"


@cache
def _load_generation(path: str) -> Generation:
    return build(load_description(Path(path).read_bytes(), path), path)


def gateway_settings(plan: ScenarioPlan, rank: int) -> str:
    """Return one gateway's settings, in which its own datagram address replaces the relay's."""
    settings = config.plain_values(plan.settings_text, SETTINGS_NAME, schema_text(), "#Fleet")
    settings["gateways"][rank]["peer"] = format_address(plan.datagram_routes[rank].gateway)
    return render_settings(settings)


def _endpoint_specs(
    scenario: Scenario, fleet: FleetSettings, generation: Generation, addresses: FleetAddresses, folder: str
) -> list[EndpointSpec]:
    settings = fleet.endpoints
    costs = {operation.class_name: operation.cost for operation in generation.operations}
    work = tuple(
        ClassWork(kind.method, kind.class_name, int(kind.mean_work), costs[kind.class_name])
        for kind in scenario.request_kinds
    )
    return [
        EndpointSpec(
            name=f"node-{index}",
            address=address,
            cell=f"rack-{index // scenario.rack_size}",
            records_path=f"{folder}/node-{index}.records",
            work_by_class=work,
            cores=scenario.cores,
            slow_start_initial_share=settings.slow_start_initial_share,
            slow_start_duration_us=int(settings.slow_start_duration_us),
            overload_multiple=settings.overload_multiple,
            overload_duration_us=int(settings.overload_duration_us),
        )
        for index, address in enumerate(addresses.endpoints)
    ]


def _customer(index: int, plans: list[str]) -> CustomerRecord:
    key_digest = hashlib.sha256(api_key(index).encode()).hexdigest()
    plan = plans[index % len(plans)]
    return CustomerRecord(id=index + 1, plan=plan, keys=(key_digest,), name=f"subscriber {index}")


def api_key(index: int) -> str:
    """Return the API key of a customer by its index in the plan."""
    return f"key-of-{index}"


def customers_file(plan: ScenarioPlan) -> bytes:
    """Return the content of the customers file that the gateways read."""
    return msgspec.json.encode({"customers": plan.customers})


def audit_limits(plan: ScenarioPlan) -> AuditLimits:
    """Return the limits that the audit checks a run of this plan against."""
    plans = {customer.id: plan.fleet.plans[customer.plan] for customer in plan.customers}
    ceilings = {
        customer: customer_plan.ceiling
        for customer, customer_plan in plans.items()
        if customer_plan.ceiling is not None
    }
    return AuditLimits(
        classes=dict(zip(plan.generation.class_names, plan.generation.classes, strict=True)),
        drain_grace_us=plan.fleet.endpoints.drain_grace_us,
        response_slack_us=plan.scenario.response_slack,
        arrival_slack_us=plan.scenario.arrival_slack,
        ceilings={
            customer: CeilingLimit(ceiling.rate, ceiling.burst, ceiling.slack)
            for customer, ceiling in ceilings.items()
        },
        quotas={
            customer: RateLimit(customer_plan.rate, customer_plan.burst)
            for customer, customer_plan in plans.items()
        },
    )
