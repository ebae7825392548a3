"""Decisions on quota requests that are repeated, refunded or reserved, without I/O."""

from orchidlane.limits.reservations import GrantOutcome, GrantStore, GrantStoreFullError
from orchidlane.limits.tokens import (
    ClaimVerdict,
    TokenAnswer,
    TokenClaim,
    TokenOwner,
    TokenState,
    owners_of,
    token_name,
)

__all__ = [
    "ClaimVerdict",
    "GrantOutcome",
    "GrantStore",
    "GrantStoreFullError",
    "TokenAnswer",
    "TokenClaim",
    "TokenOwner",
    "TokenState",
    "owners_of",
    "token_name",
]
