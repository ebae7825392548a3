"""The acceptor of a voter: promises, acceptances and votes, and the check that its disk is not an old copy.

A voter that restarts does not vote until it has verified its store (``verifying_store``): it requests from
each other member the highest vote count of this store that the member has seen.

- A count above the one on its disk proves that the disk is an old copy: the voter creates a new store and
  requests admission with it.
- Once all others have responded and none has seen a later vote, the voter votes again. Receivers drop
  datagrams of its earlier incarnation that are still in flight (see ``gateway/peers/datagrams``).
- Members that do not respond may be the only ones that have seen a later vote. After a timeout,
  if those that have responded and vote are a majority without them, the voter creates a new store and
  requests admission; otherwise it waits.
"""

from __future__ import annotations

from collections.abc import Callable

import msgspec

from orchidlane.rollout.messages import (
    Accept,
    Accepted,
    Message,
    Nack,
    Prepare,
    Promise,
    VoteCountRequest,
    VoteCountResponse,
)
from orchidlane.rollout.replicated_state import ReplicatedState
from orchidlane.rollout.version import Version, Vote, VotingMember, has_quorum
from orchidlane.rollout.voter_state import (
    STORE_ID_BITS,
    Action,
    CastVote,
    LogWarning,
    Persist,
    SeenVoteCount,
    Send,
    StoreBlob,
    VoterStart,
    VoterState,
)

RESEND_INTERVAL_US = 100_000  # of a request to voters that have not responded
STORE_CHECK_TIMEOUT_US = 2_000_000  # for the other voters' responses, before the voter requests admission
NO_VOTES_SEEN = SeenVoteCount(0, 0)


class Acceptor:
    """What a voter has promised, accepted and voted for. Times are microseconds of its own clock.

    ``voter_state`` is what its disk holds, ``accepted_state`` the replicated state that it accepted last, and
    ``chosen_state`` the latest replicated state that it knows to be chosen.
    """

    def __init__(self, start: VoterStart) -> None:
        self.rank = start.rank
        self.voter_state = start.voter_state
        self.accepted_state = start.accepted_state
        self.chosen_state = start.chosen_state
        self.random = start.random
        self.verifying_store = start.verifies_store
        self._check_started_at = start.now
        self._check_sent_at = 0
        self._check_responses: dict[int, bool] = {}  # rank that has seen no later vote -> whether it may vote
        self._actions: list[Action] = []

    @property
    def member(self) -> VotingMember:
        """This voter as a member: its rank and its store. Only an admitted store is among the members."""
        return VotingMember(self.rank, self.voter_state.store_id)

    @property
    def is_member(self) -> bool:
        """Whether this voter's store is a member in the latest chosen state."""
        return self.chosen_state is not None and self.member in self.chosen_state.members

    @property
    def may_vote(self) -> bool:
        """Whether this voter may vote and lead."""
        return self.is_member and not self.verifying_store

    def vote(self, term: int, version: Version, make_vote: Callable[[], Vote]) -> list[Action]:
        """Vote on a version, once per term; ``voter_state.latest_vote`` is the vote that counts."""

        def cast() -> None:
            latest = self.voter_state.latest_vote
            if self.may_vote and (latest is None or latest[:2] < (term, version.number)):
                self._vote_with(latest_vote=CastVote(term, version.number, make_vote()))

        return self._collect_actions(cast)

    def reset_store(self) -> None:
        """Create a new store, which has to be admitted; what the present disk holds is no longer used."""
        self.voter_state = VoterState(self.random.getrandbits(STORE_ID_BITS) + 1)
        self.accepted_state = None
        self.verifying_store = False

    def _collect_actions(self, handle: Callable[[], None]) -> list[Action]:
        """Return the actions of a handler: blobs first, then the write of a changed state, then the rest."""
        self._actions = []
        before = self.voter_state
        handle()
        if self.voter_state is before:
            return self._actions
        blobs = [action for action in self._actions if isinstance(action, StoreBlob)]
        others = [action for action in self._actions if not isinstance(action, StoreBlob)]
        return [*blobs, Persist(self.voter_state), *others]

    def _update(self, **changes: object) -> None:
        self.voter_state = msgspec.structs.replace(self.voter_state, **changes)

    def _vote_with(self, **changes: object) -> None:
        """Record a promise, an acceptance or a vote, each of which increases the vote count."""
        self._update(vote_count=self.voter_state.vote_count + 1, **changes)

    def _send(self, rank: int, message: Message) -> None:
        self._actions.append(Send(rank, message))

    # -- requests of proposers

    def _on_prepare(self, sender: int, message: Prepare) -> None:
        if not self.may_vote or self._rejects(sender, message):
            return
        if message.ballot > self.voter_state.promised:
            self._vote_with(promised=message.ballot)
        own = self.voter_state
        promise = Promise(message.ballot, own.accepted, own.accepted_hash, own.store_id, own.vote_count)
        self._send(sender, promise)

    def _on_accept(self, sender: int, message: Accept, state: ReplicatedState) -> None:
        if not self.may_vote or self._rejects(sender, message):
            return
        if message.ballot != self.voter_state.accepted:
            self.accepted_state = state
            self._vote_with(
                promised=message.ballot, accepted=message.ballot, accepted_hash=message.state_hash
            )
        own = self.voter_state
        self._send(sender, Accepted(message.ballot, own.store_id, own.vote_count))

    def _rejects(self, sender: int, message: Prepare | Accept) -> bool:
        """Return whether a later ballot was promised; if so, send a Nack."""
        self._record_vote_count(sender, message.ballot.store_id, message.vote_count)
        if message.ballot >= self.voter_state.promised:
            return False
        self._send(sender, Nack(message.ballot, self.voter_state.promised))
        return True

    # -- vote counts, by which a voter finds out that its disk is an old copy

    def _record_vote_count(self, rank: int, store_id: int, vote_count: int) -> None:
        """Record the vote count of another voter's store.

        It reaches the disk with the next write, which is at the latest the one after a state is chosen.
        """
        recorded = self.voter_state.seen_vote_counts.get(rank, NO_VOTES_SEEN)
        if recorded.store_id != store_id or recorded.vote_count < vote_count:  # datagrams arrive in any order
            self.voter_state.seen_vote_counts[rank] = SeenVoteCount(store_id, vote_count)

    def _on_vote_count_request(self, sender: int, message: VoteCountRequest) -> None:
        seen = self.voter_state.seen_vote_counts.get(sender, NO_VOTES_SEEN)
        vote_count = seen.vote_count if seen.store_id == message.store_id else 0
        self._send(sender, VoteCountResponse(message.store_id, vote_count, self.may_vote))

    def _verify_store(self, now: int) -> None:
        """Finish the check of the store if the responses suffice, otherwise send requests that are due."""
        if not self.is_member or self.chosen_state is None:
            return
        others = [member for member in self.chosen_state.members if member.rank != self.rank]
        responded = [member for member in others if member.rank in self._check_responses]
        voting = [member for member in responded if self._check_responses[member.rank]]
        timed_out = now - self._check_started_at > STORE_CHECK_TIMEOUT_US
        if len(responded) == len(others):
            self.verifying_store = False
            self._actions.append(LogWarning("store verified; voting again"))
        elif timed_out and has_quorum((*others, self.member), voting):
            silent = sorted({member.rank for member in others} - self._check_responses.keys())
            text = f"requesting admission with a new store: gateways {silent} did not report its vote count"
            self._actions.append(LogWarning(text))
            self.reset_store()
        elif now - self._check_sent_at >= RESEND_INTERVAL_US:
            self._check_sent_at = now
            for member in others:
                if member.rank not in self._check_responses:
                    self._send(member.rank, VoteCountRequest(self.voter_state.store_id))

    def _on_vote_count(self, sender: int, message: VoteCountResponse) -> None:
        if not self.verifying_store or message.store_id != self.voter_state.store_id:
            return
        if message.vote_count > self.voter_state.vote_count:
            self._actions.append(
                LogWarning(f"the disk is an old copy: gateway {sender} has seen later votes")
            )
            self.reset_store()
        else:
            self._check_responses[sender] = message.may_vote
