"""Configuration snapshots: what requests are handled by, replaced as a whole on each change."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from orchidlane.gateway.control.customers import CustomerDirectory, load_customers
from orchidlane.gateway.control.settings import FleetSettings
from orchidlane.routes import Generation, build, load_description
from orchidlane.runtime.backend import Backend


@dataclass
class ConfigurationSnapshot:
    """The routes, customers and log settings that requests are handled by; never changed in place.

    ``version`` is the name of the fleet's configuration version, "" where the fleet has none.
    """

    generation: Generation
    customers: CustomerDirectory
    log: Any
    log_requests: bool
    version: str = ""


class ContentError(Exception):
    """The contents of a configuration version are not valid, so that no snapshot can be built from them."""


def read_source_files(backend: Backend, fleet: FleetSettings) -> tuple[bytes, bytes]:
    """Read the API description and the customers' file and return their contents. Raises OSError."""
    return _read(backend, fleet.description), _read(backend, fleet.customers)


def build_snapshot(
    description: bytes, customers: bytes, fleet: FleetSettings, number: int, log: Any
) -> ConfigurationSnapshot:
    """Build a snapshot from the contents of an API description and a customers' file.

    Raises DescriptionError, CustomersError.
    """
    generation = build(load_description(description, fleet.description), fleet.description, number)
    directory = load_customers(customers, fleet.customers, fleet)
    return ConfigurationSnapshot(generation, directory, log, fleet.log_requests)


def _read(backend: Backend, path: str) -> bytes:
    data = backend.read_file(path)
    if data is None:
        raise FileNotFoundError(f"{path}: no such file")
    return data
