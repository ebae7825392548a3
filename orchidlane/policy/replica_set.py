"""Replica sets: which gateways serve a customer, and which of them own the tokens of its ceiling.

A set is a run of ranks that begins at its start and wraps around at the number of replicas.
"""

from __future__ import annotations

from orchidlane.policy.accounts import Account
from orchidlane.policy.state import PolicyState

TOKEN_OWNER_STRIDE = 2_654_435_761  # multiplicative hash: spreads customers over the gateways of their sets


def position(state: PolicyState, replica: int, replica_set_start: int) -> int:
    """Return a gateway's position from the start of a set; below the set's size for its members."""
    return (replica - replica_set_start) % state.settings.replica_count


def member(state: PolicyState, account: Account, index: int) -> int:
    """Return the gateway at a position of the account's set; positions wrap around at its size."""
    key = account.key
    return (key.replica_set_start + index % key.replica_set_size) % state.settings.replica_count


def token_owner(state: PolicyState, account: Account, index: int = 0) -> int:
    """Return the gateway that adds up the account's spending; index 1 and on are its stand-ins."""
    return member(state, account, (account.customer * TOKEN_OWNER_STRIDE >> 16) + index)
