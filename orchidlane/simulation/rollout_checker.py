"""Checks the invariants of a rollout scenario while it runs: see ``rollout_scenarios``."""

from __future__ import annotations

import msgspec

from orchidlane.gateway.rollout_agent.agent import RolloutAgent
from orchidlane.rollout.replicated_state import ReplicatedState, RolloutPhase
from orchidlane.rollout.version import Certificate, certificate_error, content_hash

SECRET = b"a secret for stand-ins only"  # the simulated fleet's key
CHECK_INTERVAL_US = 10_000
LEASE_TOLERANCE_US = 5 * CHECK_INTERVAL_US


class InvariantViolationError(AssertionError):
    """An invariant was violated, or an expected condition did not come about in time."""


class RolloutChecker:
    """Collects all replicated states seen in a run, and checks the gateways against them."""

    def __init__(self, lease_us: int) -> None:
        self.lease_us = lease_us
        self.state_hashes: dict[int, str] = {}  # by the state's index
        self.states: dict[int, ReplicatedState] = {}
        self.first_seen_at: dict[int, int] = {}
        self.approved: set[tuple[int, str]] = set()  # (number, combined hash) of versions

    def check(self, rank: int, agent: RolloutAgent, is_frozen: bool, now: int) -> None:
        """Check a gateway that runs; ``is_frozen`` is set if it is paused. Raises InvariantViolationError."""
        if agent.state is None:
            return
        self._record_state(agent.state, agent.dissemination.state_hash, now)
        if agent.leadership is not None and agent.leadership.state is not None:
            leader_state = agent.leadership.state
            self._record_state(leader_state, content_hash(msgspec.msgpack.encode(leader_state)), now)
        if agent.agent_state.running is not None:
            self._check_running(rank, agent.agent_state.running)
        if not is_frozen and not agent.rejection_reason():
            self._check_serving(rank, agent.agent_state.running_number, now)

    def _record_state(self, state: ReplicatedState, state_hash: str, now: int) -> None:
        index = state.index
        if self.state_hashes.setdefault(index, state_hash) != state_hash:
            raise InvariantViolationError(
                f"two different states have index {index}: {state}; {self.states[index]}"
            )
        if index in self.first_seen_at:
            return
        self.first_seen_at[index] = now
        self.states[index] = state
        certificates = [state.current]
        rollout = state.rollout
        if rollout is not None and rollout.phase is RolloutPhase.ADOPTING and rollout.certificate is not None:
            certificates.append(rollout.certificate)
        for certificate in certificates:
            error = certificate_error(SECRET, certificate)
            if error:
                raise InvariantViolationError(f"state {index}: {error}")
            self.approved.add((certificate.version.number, certificate.version.combined_hash))

    def _check_running(self, rank: int, running: Certificate) -> None:
        version = running.version
        if (version.number, version.combined_hash) not in self.approved:
            raise InvariantViolationError(
                f"gw-{rank} runs {version.label()}, which no replicated state has approved"
            )

    def _check_serving(self, rank: int, number: int, now: int) -> None:
        lease_started_at = now - self.lease_us - LEASE_TOLERANCE_US
        oldest = max((index for index, at in self.first_seen_at.items() if at <= lease_started_at), default=0)
        targets = {
            state.target_certificate(rank).version.number
            for index, state in self.states.items()
            if index >= oldest
        }
        if number not in targets:
            raise InvariantViolationError(
                f"gw-{rank} serves version {number}; the states of the last lease allow only {targets}"
            )
