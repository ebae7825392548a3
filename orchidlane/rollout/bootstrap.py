"""The first ledger: founded once, by all voters together. Decides without I/O.

Before it every gateway goes by its own files. It is founded only when every voter that the settings name says
that its store is a new one and that its files have the same content, each with its vote for version 0; so a
voter that lost its disk later can't be part of a second founding beside one that remembers the first.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence

from orchidlane.rollout.messages import Waiting
from orchidlane.rollout.replicated_state import Entry, Ledger
from orchidlane.rollout.version import Certificate, Parts, Seat, Version, Vote, cast, is_cast


def first_version(parts: Parts) -> Version:
    """What the files have, as a version."""
    return Version(0, parts, 0, "files", "as the files had it")


def own_waiting(secret: bytes, rank: int, store: int, parts: Parts) -> Waiting:
    """What a voter without a seat says."""
    vote = cast(secret, Seat(rank, store), first_version(parts), 0, True, "")
    return Waiting(store, parts.content[:16], vote.seal)


def found(secret: bytes, voters: Sequence[int], waiting: Mapping[int, Waiting], parts: Parts) -> Ledger | str:
    """The first ledger, or why there is none yet."""
    silent = [rank for rank in voters if rank not in waiting]
    if silent:
        return f"voters not heard of: {silent}"
    other = [rank for rank in voters if waiting[rank].content != parts.content[:16]]
    if other:
        return f"voters whose files differ from ours: {other}"
    version = first_version(parts)
    votes = tuple(Vote(rank, waiting[rank].store, True, "", waiting[rank].seal) for rank in voters)
    if not all(is_cast(secret, vote, version, 0) for vote in votes):
        return "a vote is not sealed for what our files have"
    seats = tuple(Seat(vote.rank, vote.store) for vote in votes)
    entry = Entry(version, "done")
    return Ledger(1, seats, Certificate(version, 0, seats, votes), history=(entry,))
