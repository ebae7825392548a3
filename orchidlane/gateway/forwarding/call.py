"""The meaning of a request in the policy's terms: class, customer, units, timeout."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol

from orchidlane import policy


@dataclass(frozen=True, slots=True)
class Call:
    """The meaning of a request's head.

    ``class_index`` is the index of the request class in the policy's settings; ``target`` is the request
    target that is sent to endpoints; ``timeout_us`` counts from the start of the request.
    """

    class_index: int
    request_class: policy.RequestClass
    customer: int
    plan: int
    units: float
    replica_set_start: int
    replica_set_size: int
    timeout_us: int
    target: bytes
    is_retry: bool = False

    @property
    def number(self) -> int:
        """The customer's number, under the name that ``QuotaOwner`` has for it."""
        return self.customer


class QuotaOwner(Protocol):
    """The customer whose units a request takes."""

    @property
    def number(self) -> int:
        """The customer's number."""

    @property
    def plan(self) -> int:
        """The plan's index."""

    @property
    def replica_set_start(self) -> int:
        """The rank of the first gateway of the replica set."""

    @property
    def replica_set_size(self) -> int:
        """The number of gateways in the replica set."""
