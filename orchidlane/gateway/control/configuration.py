"""What requests are understood by: one immutable value, replaced as a whole."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from orchidlane.gateway.control.customers import Customers, load_customers
from orchidlane.gateway.control.settings import Fleet
from orchidlane.gateway.forwarding.openapi_adapter import call_of
from orchidlane.gateway.forwarding.pending_request import Answer, Exchange
from orchidlane.routes import Generation, build, load_description
from orchidlane.runtime.backend import World


@dataclass
class Knowledge:
    """What requests are understood by: replaced as a whole, never changed in place."""

    generation: Generation
    customers: Customers
    log: Any
    log_requests: bool
    version: str = ""  # of the fleet, where it has versions

    def log_answer(self, exchange: Exchange, answer: Answer, span: int) -> None:
        """One line for a request, if the settings ask for it; never a key, target or body."""
        if self.log_requests:
            call = call_of(exchange)
            self.log.info(
                "answered",
                request=exchange.number,
                customer=call.customer,
                operation=call.match.operation.name,
                **({"version": call.version} if call.version else {}),
                kind=answer.kind,
                status=answer.status,
                attempts=exchange.sends,
                ms=span / 1_000,
            )


class UnfitContent(Exception):
    """Contents that no knowledge can be made of; says where and why."""


def read_sources(world: World, fleet: Fleet) -> tuple[bytes, bytes]:
    """Description and customers as the files say now. Raises OSError."""
    return _read(world, fleet.description), _read(world, fleet.customers)


def make_knowledge(rules: bytes, customers: bytes, fleet: Fleet, number: int, log: Any) -> Knowledge:
    """What a description and customers mean. Raises DescriptionError, CustomersError."""
    generation = build(load_description(rules, fleet.description), fleet.description, number)
    known = load_customers(customers, fleet.customers, fleet)
    return Knowledge(generation, known, log, fleet.log_requests)


def _read(world: World, path: str) -> bytes:
    data = world.read_file(path)
    if data is None:
        raise FileNotFoundError(f"{path}: no such file")
    return data
