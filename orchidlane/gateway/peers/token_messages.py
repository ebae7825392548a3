"""Queries of gateways to each other about tokens and grants, and their replies; stored by position."""

from __future__ import annotations

from enum import IntEnum

import msgspec

from orchidlane.limits.tokens import NO_CLAIMANT


class TokenOperation(IntEnum):
    """What a query asks for; values are on the wire."""

    CLAIM = 1
    LOOK_UP = 2
    SETTLE = 3
    WITHDRAW = 4
    REFUND = 5
    COMMIT = 6
    RELEASE = 7


class TokenQuery(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """A query; ``name`` is a token's or a grant's, ``number`` the claim's."""

    id: int
    operation: int
    name: bytes
    customer: int = 0
    number: int = 0
    units: float = 0.0


class TokenReply(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """The reply: a token's state, or the outcome of a command on a grant."""

    id: int
    state: int = 0
    claimant: int = NO_CLAIMANT
    units: float = 0.0
    outcome: str = ""
