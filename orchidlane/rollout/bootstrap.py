"""Creation of the first replicated state by all voters together. Decides without I/O.

Before it exists every gateway uses its own files. It is created only when every voter that the settings name
reports an unused store and files with the same contents, each with its vote for version 0. A voter that later
loses its disk can therefore not take part in a second creation beside a voter that remembers the first.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence

from orchidlane.rollout.messages import AdmissionRequest
from orchidlane.rollout.replicated_state import DONE, HistoryEntry, ReplicatedState
from orchidlane.rollout.version import (
    Certificate,
    ContentHashes,
    Version,
    Vote,
    VotingMember,
    cast_vote,
    is_valid_vote,
)

CONTENTS_PREFIX_CHARACTERS = 16


def initial_version(contents: ContentHashes) -> Version:
    """Return version 0, which has the contents of the files."""
    return Version(0, contents, 0, "files", "as the files had it")


def admission_request(secret: bytes, rank: int, store_id: int, contents: ContentHashes) -> AdmissionRequest:
    """Return the request of a voter whose store is no member."""
    member = VotingMember(rank, store_id)
    vote = cast_vote(secret, member, initial_version(contents), 0, True, "")
    return AdmissionRequest(store_id, _prefix(contents), vote.seal)


def bootstrap_state(
    secret: bytes,
    voters: Sequence[int],
    requests: Mapping[int, AdmissionRequest],
    contents: ContentHashes,
) -> ReplicatedState | str:
    """Return the first state, or the reason why it can't be created yet."""
    unreachable = [rank for rank in voters if rank not in requests]
    if unreachable:
        return f"voters not heard of: {unreachable}"
    differing = [rank for rank in voters if requests[rank].contents_prefix != _prefix(contents)]
    if differing:
        return f"voters whose files differ from ours: {differing}"
    version = initial_version(contents)
    votes = tuple(Vote(rank, requests[rank].store_id, True, "", requests[rank].seal) for rank in voters)
    if not all(is_valid_vote(secret, vote, version, 0) for vote in votes):
        return "a vote is not sealed for what our files have"
    members = tuple(vote.member for vote in votes)
    entry = HistoryEntry(version, DONE)
    return ReplicatedState(1, members, Certificate(version, 0, members, votes), history=(entry,))


def _prefix(contents: ContentHashes) -> str:
    return contents.combined_hash[:CONTENTS_PREFIX_CHARACTERS]
