"""Reading a version's contents as the configuration that requests are handled by."""

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
    """Reads contents that are on this gateway's disk."""

    def __init__(self, fleet: FleetSettings, storage: RolloutStorage, log: Any) -> None:
        self.fleet = fleet
        self.storage = storage
        self.log = log

    def read(self, contents: ContentHashes, number: int) -> ConfigurationSnapshot:
        """Return the configuration, made beside the loop. Raises ContentError."""
        description, customers = self._blobs(contents)
        snapshot: ConfigurationSnapshot = self.storage.backend.run_in_thread(
            lambda: self._make(description, customers, number)
        )
        return snapshot

    def read_version(self, version: Version, generation: int) -> ConfigurationSnapshot:
        """Return the configuration of a version, which carries its label. Raises ContentError."""
        return dataclasses.replace(self.read(version.contents, generation), version=version.label())

    def restore_version(self, version: Version, generation: int) -> ConfigurationSnapshot:
        """Do the same at a start, in the calling task. Raises ContentError."""
        description, customers = self._blobs(version.contents)
        snapshot = self._make(description, customers, generation)
        return dataclasses.replace(snapshot, version=version.label())

    def _blobs(self, contents: ContentHashes) -> tuple[bytes, bytes]:
        """Return description and customers."""
        description = self.storage.read_blob(contents.rules)
        customers = self.storage.read_blob(contents.customers)
        if description is None or customers is None:
            raise ContentError("its contents are not on this disk")
        return description, customers

    def _make(self, description: bytes, customers: bytes, number: int) -> ConfigurationSnapshot:
        try:
            return build_snapshot(description, customers, self.fleet, number, self.log)
        except (DescriptionError, CustomersError, ValueError) as error:
            raise ContentError(str(error)) from None


def customer_assignments(
    snapshot: ConfigurationSnapshot, fleet: FleetSettings
) -> dict[int, CustomerAssignment]:
    """Return plan and replica set of each customer."""
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
    """Return what decides whether a version may serve beside another."""
    return VersionConfiguration(snapshot.generation, customer_assignments(snapshot, fleet))
