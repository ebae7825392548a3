"""Builds the configuration that requests are handled by from a version's content files."""

from __future__ import annotations

import dataclasses
from typing import Any

from orchidlane.gateway.control.configuration import ConfigurationSnapshot, ContentError, build_snapshot
from orchidlane.gateway.control.customers import CustomersError
from orchidlane.gateway.control.settings import FleetSettings
from orchidlane.gateway.rollout_agent.storage import RolloutStorage
from orchidlane.rollout.compatibility import CustomerAssignment, VersionConfiguration
from orchidlane.rollout.version import ContentHashes, Version
from orchidlane.routes import DescriptionError


class ConfigurationReader:
    """Reads content files from this gateway's disk."""

    def __init__(self, fleet: FleetSettings, storage: RolloutStorage, log: Any) -> None:
        self.fleet = fleet
        self.storage = storage
        self.log = log

    def read(self, contents: ContentHashes, number: int) -> ConfigurationSnapshot:
        """Return the configuration, built in a separate thread. Raises ContentError."""
        description, customers = self._blobs(contents)
        snapshot: ConfigurationSnapshot = self.storage.backend.run_in_thread(
            lambda: self._build(description, customers, number)
        )
        return snapshot

    def read_version(self, version: Version, generation: int) -> ConfigurationSnapshot:
        """Return the configuration of a version, with the version's label. Raises ContentError."""
        return dataclasses.replace(self.read(version.contents, generation), version=version.label())

    def restore_version(self, version: Version, generation: int) -> ConfigurationSnapshot:
        """Return the same as ``read_version``, built in the calling task at start. Raises ContentError."""
        description, customers = self._blobs(version.contents)
        snapshot = self._build(description, customers, generation)
        return dataclasses.replace(snapshot, version=version.label())

    def _blobs(self, contents: ContentHashes) -> tuple[bytes, bytes]:
        """Return the description and the customers file. Raises ContentError."""
        description = self.storage.read_blob(contents.rules)
        customers = self.storage.read_blob(contents.customers)
        if description is None or customers is None:
            raise ContentError("the version's content files are missing or damaged on this gateway's disk")
        return description, customers

    def _build(self, description: bytes, customers: bytes, number: int) -> ConfigurationSnapshot:
        try:
            return build_snapshot(description, customers, self.fleet, number, self.log)
        except (DescriptionError, CustomersError, ValueError) as error:
            raise ContentError(str(error)) from None


def customer_assignments(
    snapshot: ConfigurationSnapshot, fleet: FleetSettings
) -> dict[int, CustomerAssignment]:
    """Return each customer's plan and replica set by customer number."""
    has_ceiling = {name: plan.ceiling is not None for name, plan in fleet.plans.items()}
    return {
        customer.number: CustomerAssignment(
            customer.plan_name,
            customer.replica_set_start,
            customer.replica_set_size,
            has_ceiling[customer.plan_name],
            customer.migrating,
        )
        for customer in snapshot.customers.all()
    }


def version_configuration(snapshot: ConfigurationSnapshot, fleet: FleetSettings) -> VersionConfiguration:
    """Return the parts of a configuration that decide whether two versions may serve at the same time."""
    return VersionConfiguration(snapshot.generation, customer_assignments(snapshot, fleet))
