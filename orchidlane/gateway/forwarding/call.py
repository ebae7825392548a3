"""What a request asks for, in the policy's terms."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol

from orchidlane import policy


@dataclass(frozen=True, slots=True)
class Call:
    """The meaning of a request's head; ``timeout_us`` counts from the request's begin.

    ``class_index`` is the index of the request class in the policy's settings, ``target`` what endpoints are
    asked for.
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
        """The customer's number, as in ``QuotaOwner``."""
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
