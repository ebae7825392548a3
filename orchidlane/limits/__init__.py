"""Decides, without I/O, on quota requests that are repeated with a token, refunded or reserved."""

from orchidlane.limits.reservations import GrantOutcome, GrantStore, GrantStoreFullError
from orchidlane.limits.tokens import (
    ClaimVerdict,
    OwnerReply,
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
    "OwnerReply",
    "TokenClaim",
    "TokenOwner",
    "TokenState",
    "owners_of",
    "token_name",
]
