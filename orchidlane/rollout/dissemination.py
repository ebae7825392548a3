"""Spread of the latest replicated state, and the leases by which gateways serve. Decides without I/O.

Each gateway regularly asks another one, drawn at random, for its latest state (pull gossip); a gateway that
learns of a later state hints it to a few others. The work and the bytes of a gateway are therefore the same
at any size of the fleet, and a state spreads in a number of rounds that grows with the logarithm of the size.

A response tells how long ago a quorum of voters confirmed that state to the leader. The receiver adds the
time since its own request, by its own clock, so that any delay of a datagram counts as age. A gateway serves
by a version until a lease after the latest moment at which a quorum confirmed a state that wants it there. A
lease after a state is chosen no gateway serves by a version that the state took back, whether it could not
follow or did not hear; and a gateway that restarts serves nothing before it has heard.
"""

from __future__ import annotations

import random
from collections.abc import Sequence
from typing import NamedTuple

from orchidlane.rollout.messages import GossipRequest, GossipResponse, Message, NewStateHint

HINT_FANOUT = 2  # gateways that get a hint from each that learns of a later state
MAX_OUTSTANDING_REQUESTS = 16
UNCONFIRMED_POLL_RATE_FACTOR = 5  # while nothing was confirmed yet
MIN_HINT_INTERVAL_US = 20_000  # between two requests that hints cause
NONCE_BITS = 32


class Send(NamedTuple):
    """Send a datagram to another gateway."""

    rank: int
    message: Message


class FetchState(NamedTuple):
    """Fetch a later state from a gateway; ``confirmed_at``: when a quorum confirmed it, None: never."""

    rank: int
    state_hash: str
    state_index: int
    confirmed_at: int | None


Action = Send | FetchState


class Dissemination:
    """One gateway's view of the replicated state. Times are microseconds of its own clock.

    ``index`` and ``state_hash`` name the latest state that it holds (0: none). ``confirmed_at`` is the latest
    moment at which a quorum is known to have confirmed it, ``target_confirmed_at`` the latest one at which
    the version that runs here was known to be wanted here.
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
        # voter without a state -> when the request was sent that it answered so
        self._unbootstrapped_voters: dict[int, int] = {}
        self._outstanding: dict[int, int] = {}  # nonce -> when the request was sent
        self._next_poll_at = 0
        self._round = 0
        self._hinted_at = 0

    # -- what is known

    def learn_state(self, index: int, state_hash: str, confirmed_at: int | None) -> list[Action]:
        """Take note of a state that is held here; return the hints of a later one."""
        if index < self.index or (index == self.index and confirmed_at is None):
            return []
        is_later = index > self.index
        self.index = index
        self.state_hash = state_hash
        if is_later:
            self.runs_target = False  # until ``set_running`` tells of this state
        self.record_confirmation(confirmed_at)
        if not is_later:
            return []
        others = [rank for rank in range(self.gateways) if rank != self.rank]
        receivers = self.random.sample(others, min(HINT_FANOUT, len(others)))
        return [Send(rank, NewStateHint(index)) for rank in receivers]

    def record_confirmation(self, confirmed_at: int | None) -> None:
        """Take note that a quorum confirmed the state that is held here."""
        self.confirmed_at = _latest(self.confirmed_at, confirmed_at)
        if self.runs_target:
            self.target_confirmed_at = _latest(self.target_confirmed_at, self.confirmed_at)

    def set_running(self, runs_target: bool, runs_initial: bool = False) -> None:
        """Tell whether the target version runs; ``runs_initial``: by the files that became version 0."""
        self.runs_target = runs_target
        if runs_initial:
            self.target_confirmed_at = _latest(self.target_confirmed_at, self._unbootstrapped_at())
        if runs_target:
            self.target_confirmed_at = _latest(self.target_confirmed_at, self.confirmed_at)

    def _unbootstrapped_at(self) -> int | None:
        """Return the latest moment at which a majority of the voters is known to have had no state."""
        sent_at = sorted(self._unbootstrapped_voters.values(), reverse=True)
        minority = len(self.voters) // 2
        return sent_at[minority] if len(sent_at) > minority else None

    def rejection_reason(self, now: int) -> str:
        """Return why requests are rejected; "" where they are served."""
        if not self.index:
            if self._in_lease(now, self._unbootstrapped_at()):
                return ""
            return "no majority of the voters has told by which rules"
        if self._in_lease(now, self.target_confirmed_at):
            return ""
        if self._in_lease(now, self.confirmed_at):
            return "other rules are wanted, which are not here yet"
        return "the rules are not confirmed" + (" yet" if self.confirmed_at is None else " any more")

    def _in_lease(self, now: int, since: int | None) -> bool:
        return since is not None and now - since <= self.lease_us

    # -- events

    def tick(self, now: int) -> list[Action]:
        """Ask the next gateway when it is time, by an interval with a random part."""
        if now < self._next_poll_at or self.gateways < 2:
            return []
        interval_us = self.poll_interval_us
        if self.confirmed_at is None:
            interval_us //= UNCONFIRMED_POLL_RATE_FACTOR
        self._next_poll_at = now + int(interval_us * (0.75 + 0.5 * self.random.random()))
        return [self._request(now, self._next_peer())]

    def _next_peer(self) -> int:
        """Draw any gateway, or take the voters in turn until there is a state: only they can tell of none."""
        self._round += 1
        if self.index:
            rank = self.random.choice(range(self.gateways))
            return rank if rank != self.rank else (rank + 1) % self.gateways
        rank = self.voters[self._round % len(self.voters)]
        return rank if rank != self.rank else self.voters[(self._round + 1) % len(self.voters)]

    def _request(self, now: int, rank: int) -> Send:
        nonce = self.random.getrandbits(NONCE_BITS)
        self._outstanding[nonce] = now
        while len(self._outstanding) > MAX_OUTSTANDING_REQUESTS:
            del self._outstanding[next(iter(self._outstanding))]
        return Send(rank, GossipRequest(nonce, self.index))

    def receive(self, now: int, sender: int, message: Message, is_blank_voter: bool = False) -> list[Action]:
        """Handle a message about the latest state; ``is_blank_voter``: we are a voter that never voted."""
        match message:
            case GossipRequest():
                return self._on_request(now, sender, message, is_blank_voter)
            case GossipResponse():
                return self._on_response(sender, message)
            case NewStateHint() if message.index > self.index:
                return self._request_newer(now, sender)
        return []

    def _on_request(
        self, now: int, sender: int, message: GossipRequest, is_blank_voter: bool
    ) -> list[Action]:
        age_us = -1 if self.confirmed_at is None else max(0, now - self.confirmed_at)
        is_unbootstrapped = is_blank_voter and not self.index
        response = GossipResponse(message.nonce, self.index, self.state_hash, age_us, is_unbootstrapped)
        actions: list[Action] = [Send(sender, response)]
        if message.index > self.index:
            actions += self._request_newer(now, sender)
        return actions

    def _request_newer(self, now: int, sender: int) -> list[Action]:
        if now - self._hinted_at < MIN_HINT_INTERVAL_US:
            return []
        self._hinted_at = now
        return [self._request(now, sender)]

    def _on_response(self, sender: int, message: GossipResponse) -> list[Action]:
        sent_at = self._outstanding.pop(message.nonce, None)
        if sent_at is None:
            return []  # too late, or an answer to no request of ours
        if message.is_unbootstrapped and sender in self.voters:
            self._unbootstrapped_voters[sender] = sent_at
        confirmed_at = sent_at - message.age_us if message.age_us >= 0 else None
        if message.index > self.index:
            return [FetchState(sender, message.state_hash, message.index, confirmed_at)]
        if message.index == self.index and message.index and message.state_hash == self.state_hash:
            self.record_confirmation(confirmed_at)
        return []


def _latest(one: int | None, other: int | None) -> int | None:
    """Return the later of two moments, either of which may never have been."""
    return max((at for at in (one, other) if at is not None), default=None)
