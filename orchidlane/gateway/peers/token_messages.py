"""Queries between gateways about tokens and grants, and their replies; encoded as arrays, without names."""

from __future__ import annotations

from enum import IntEnum

import msgspec

from orchidlane.limits.tokens import NO_CLAIMANT


class TokenOperation(IntEnum):
    """The operation that a query requests; the values are on the wire."""

    CLAIM = 1
    LOOK_UP = 2
    SETTLE = 3
    WITHDRAW = 4
    REFUND = 5
    COMMIT = 6
    RELEASE = 7


class TokenQuery(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """A query; ``name`` identifies a token or a grant, ``claim_number`` the claim on a token."""

    id: int
    operation: int
    name: bytes
    customer: int = 0
    claim_number: int = 0
    units: float = 0.0


class TokenReply(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """The reply to a query: a token's state, or the outcome of an operation on a grant."""

    id: int
    state: int = 0
    claimant: int = NO_CLAIMANT
    units: float = 0.0
    outcome: str = ""
