"""Replica sets: the gateways that serve a customer, and which of them owns the tokens of its ceiling.

A replica set is a range of consecutive ranks, which wraps around at the number of replicas.
"""

from __future__ import annotations

from orchidlane.policy.accounts import Account
from orchidlane.policy.state import PolicyState

TOKEN_OWNER_STRIDE = 2_654_435_761  # multiplicative hash: spreads customers over the members of their sets


def position(state: PolicyState, replica: int, replica_set_start: int) -> int:
    """Return a gateway's position counted from the start of a set; members have a position below its size."""
    return (replica - replica_set_start) % state.settings.replica_count


def member(state: PolicyState, account: Account, index: int) -> int:
    """Return the rank of the set's member at an index; indexes wrap around at the size of the set."""
    key = account.key
    return (key.replica_set_start + index % key.replica_set_size) % state.settings.replica_count


def token_owner(state: PolicyState, account: Account, index: int = 0) -> int:
    """Return the rank of the account's token owner; indexes from 1 on give its stand-ins."""
    return member(state, account, (account.customer * TOKEN_OWNER_STRIDE >> 16) + index)
