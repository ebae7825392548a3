"""Creation of the first replicated state by all voters together. Contains decisions only, without I/O.

Until the first state exists, every gateway uses its own files. The state is created only when every voter
named in the settings reports an unused store and files with the same contents, together with its vote for
version 0. All voters are needed so that the state is never created twice: a voter that later loses its disk
finds at least one voter that already has the first state.
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
    """Return version 0, made of the contents of the gateways' own files."""
    return Version(0, contents, 0, "files", "as the files had it")


def admission_request(secret: bytes, rank: int, store_id: int, contents: ContentHashes) -> AdmissionRequest:
    """Return the admission request of a voter whose store is not a member."""
    member = VotingMember(rank, store_id)
    vote = cast_vote(secret, member, initial_version(contents), 0, True, "")
    return AdmissionRequest(store_id, _prefix(contents), vote.seal)


def bootstrap_state(
    secret: bytes,
    voters: Sequence[int],
    requests: Mapping[int, AdmissionRequest],
    contents: ContentHashes,
) -> ReplicatedState | str:
    """Return the first state, or the reason why it can't be created yet.

    ``requests`` are the admission requests received, by rank; ``contents`` are those of the local files.
    """
    missing = [rank for rank in voters if rank not in requests]
    if missing:
        return f"no admission request received from voters {missing}"
    differing = [rank for rank in voters if requests[rank].contents_prefix != _prefix(contents)]
    if differing:
        return f"files differ from the local ones at voters {differing}"
    version = initial_version(contents)
    votes = tuple(Vote(rank, requests[rank].store_id, True, "", requests[rank].seal) for rank in voters)
    if not all(is_valid_vote(secret, vote, version, 0) for vote in votes):
        return "the seal of a vote does not match the contents of the local files"
    members = tuple(vote.member for vote in votes)
    entry = HistoryEntry(version, DONE)
    return ReplicatedState(1, members, Certificate(version, 0, members, votes), history=(entry,))


def _prefix(contents: ContentHashes) -> str:
    return contents.combined_hash[:CONTENTS_PREFIX_CHARACTERS]
