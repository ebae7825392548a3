"""Spread of the latest replicated state, and the leases by which gateways serve. Decisions only, without I/O.

Each gateway regularly requests the latest state of another one, selected at random (pull gossip). A gateway
that receives a later state sends a hint to a few others. The work and the bytes of one gateway are therefore
the same at any size of the fleet, and a state spreads in a number of rounds that grows with the logarithm of
the size.

A response contains the age of the latest confirmation: how long ago a quorum of voters confirmed the state
to the leader. The receiver adds the time since its own request, by its own clock, so that any delay of a
datagram counts as age.

A gateway serves by a version for one lease after the latest moment at which a quorum confirmed a state that
assigns this version to the gateway. Once a lease has passed since a state was chosen, no gateway serves by a
version that the state reverted, whether the gateway could not adopt another version or did not receive the
state. A gateway that restarts serves nothing until it has received a confirmation.
"""

from __future__ import annotations

import random
from collections.abc import Sequence
from typing import NamedTuple

from orchidlane.rollout.messages import GossipRequest, GossipResponse, Message, NewStateHint

HINT_FANOUT = 2  # gateways to which each gateway that receives a later state sends a hint
MAX_OUTSTANDING_REQUESTS = 16  # the oldest is dropped, and a late response to it ignored
UNCONFIRMED_POLL_RATE_FACTOR = 5  # by which polls are more frequent until a state is confirmed
MIN_HINT_INTERVAL_US = 20_000  # between two requests that are sent because of a later state
NONCE_BITS = 32


class Send(NamedTuple):
    """Send a datagram to another gateway."""

    rank: int
    message: Message


class FetchState(NamedTuple):
    """Fetch a later state from a gateway; a quorum confirmed it at ``confirmed_at`` (None: never)."""

    rank: int
    state_hash: str
    state_index: int
    confirmed_at: int | None


Action = Send | FetchState


class Dissemination:
    """One gateway's view of the replicated state. Times are microseconds of its own clock.

    ``index`` and ``state_hash`` name the latest state that it holds (index 0: none). ``confirmed_at`` is the
    latest moment at which a quorum is known to have confirmed that state. ``target_confirmed_at`` is the
    latest moment at which a quorum is known to have confirmed a state whose version for this gateway is the
    one that it runs; the gateway's lease starts there.
    """

    def __init__(
        self,
        rank: int,
        gateways: int,
        voters: Sequence[int],
        lease_us: int,
        poll_interval_us: int,
        rng: random.Random,
    ) -> None:
        self.rank = rank
        self.gateways = gateways
        self.voters = tuple(voters)
        self.lease_us = lease_us
        self.poll_interval_us = poll_interval_us
        self.random = rng
        self.index = 0
        self.state_hash = ""
        self.confirmed_at: int | None = None
        self.target_confirmed_at: int | None = None
        self.runs_target = False
        # rank of a voter that reported to have no state -> when the request was sent that it responded to
        self._unbootstrapped_voters: dict[int, int] = {}
        self._outstanding: dict[int, int] = {}  # nonce of a request -> when it was sent
        self._next_poll_at = 0
        self._poll_count = 0
        self._newer_state_requested_at = 0

    # -- the latest state and its confirmations

    def learn_state(self, index: int, state_hash: str, confirmed_at: int | None) -> list[Action]:
        """Record the state that this gateway holds; return hints to others if it is a later one."""
        if index < self.index or (index == self.index and confirmed_at is None):
            return []
        is_later = index > self.index
        self.index = index
        self.state_hash = state_hash
        if is_later:
            self.runs_target = False  # until ``set_running`` is called for this state
        self.record_confirmation(confirmed_at)
        if not is_later:
            return []
        others = [rank for rank in range(self.gateways) if rank != self.rank]
        receivers = self.random.sample(others, min(HINT_FANOUT, len(others)))
        return [Send(rank, NewStateHint(index)) for rank in receivers]

    def record_confirmation(self, confirmed_at: int | None) -> None:
        """Record that a quorum confirmed the state that this gateway holds."""
        self.confirmed_at = _latest(self.confirmed_at, confirmed_at)
        if self.runs_target:
            self.target_confirmed_at = _latest(self.target_confirmed_at, self.confirmed_at)

    def set_running(self, runs_target: bool, runs_initial: bool = False) -> None:
        """Record whether this gateway runs its target version.

        ``runs_initial``: the target is version 0, which has the contents of the files that it serves by.
        """
        self.runs_target = runs_target
        if runs_initial:
            self.target_confirmed_at = _latest(self.target_confirmed_at, self._unbootstrapped_at())
        if runs_target:
            self.target_confirmed_at = _latest(self.target_confirmed_at, self.confirmed_at)

    def _unbootstrapped_at(self) -> int | None:
        """Return the latest moment at which a majority of the voters had no state, or None if unknown."""
        sent_at = sorted(self._unbootstrapped_voters.values(), reverse=True)
        minority = len(self.voters) // 2
        return sent_at[minority] if len(sent_at) > minority else None

    def rejection_reason(self, now: int) -> str:
        """Return why requests are rejected; "" where they are served."""
        if not self.index:
            if self._in_lease(now, self._unbootstrapped_at()):
                return ""
            return "no majority of the voters has reported which version to serve by"
        if self._in_lease(now, self.target_confirmed_at):
            return ""
        if self._in_lease(now, self.confirmed_at):
            return "another version is assigned to this gateway and not adopted yet"
        return "no quorum confirms the version" + (" yet" if self.confirmed_at is None else " any more")

    def _in_lease(self, now: int, since: int | None) -> bool:
        return since is not None and now - since <= self.lease_us

    # -- events

    def tick(self, now: int) -> list[Action]:
        """Send the next request when it is due; the interval between requests has a random part."""
        if now < self._next_poll_at or self.gateways < 2:
            return []
        interval_us = self.poll_interval_us
        if self.confirmed_at is None:
            interval_us //= UNCONFIRMED_POLL_RATE_FACTOR
        self._next_poll_at = now + int(interval_us * (0.75 + 0.5 * self.random.random()))
        return [self._request(now, self._next_peer())]

    def _next_peer(self) -> int:
        """Return a random other gateway, or the next voter in turn as long as this gateway has no state.

        Only voters can report that no state exists yet.
        """
        self._poll_count += 1
        if self.index:
            rank = self.random.choice(range(self.gateways))
            return rank if rank != self.rank else (rank + 1) % self.gateways
        rank = self.voters[self._poll_count % len(self.voters)]
        return rank if rank != self.rank else self.voters[(self._poll_count + 1) % len(self.voters)]

    def _request(self, now: int, rank: int) -> Send:
        nonce = self.random.getrandbits(NONCE_BITS)
        self._outstanding[nonce] = now
        while len(self._outstanding) > MAX_OUTSTANDING_REQUESTS:
            del self._outstanding[next(iter(self._outstanding))]
        return Send(rank, GossipRequest(nonce, self.index))

    def receive(self, now: int, sender: int, message: Message, is_unused_voter: bool = False) -> list[Action]:
        """Handle a message about the latest state; ``is_unused_voter``: this gateway is an unused voter."""
        match message:
            case GossipRequest():
                return self._on_request(now, sender, message, is_unused_voter)
            case GossipResponse():
                return self._on_response(sender, message)
            case NewStateHint() if message.index > self.index:
                return self._request_newer(now, sender)
        return []

    def _on_request(
        self, now: int, sender: int, message: GossipRequest, is_unused_voter: bool
    ) -> list[Action]:
        age_us = -1 if self.confirmed_at is None else max(0, now - self.confirmed_at)
        is_unbootstrapped = is_unused_voter and not self.index
        response = GossipResponse(message.nonce, self.index, self.state_hash, age_us, is_unbootstrapped)
        actions: list[Action] = [Send(sender, response)]
        if message.index > self.index:
            actions += self._request_newer(now, sender)
        return actions

    def _request_newer(self, now: int, sender: int) -> list[Action]:
        if now - self._newer_state_requested_at < MIN_HINT_INTERVAL_US:
            return []
        self._newer_state_requested_at = now
        return [self._request(now, sender)]

    def _on_response(self, sender: int, message: GossipResponse) -> list[Action]:
        sent_at = self._outstanding.pop(message.nonce, None)
        if sent_at is None:
            return []  # too late, or a response to a request that was never sent
        if message.is_unbootstrapped and sender in self.voters:
            self._unbootstrapped_voters[sender] = sent_at
        confirmed_at = sent_at - message.age_us if message.age_us >= 0 else None
        if message.index > self.index:
            return [FetchState(sender, message.state_hash, message.index, confirmed_at)]
        if message.index == self.index and message.index and message.state_hash == self.state_hash:
            self.record_confirmation(confirmed_at)
        return []


def _latest(first: int | None, second: int | None) -> int | None:
    """Return the later of two moments; None is earlier than any moment."""
    return max((moment for moment in (first, second) if moment is not None), default=None)
