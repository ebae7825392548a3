"""Admission of a voter whose store is not a member, and creation of the first replicated state."""

from __future__ import annotations

from typing import Any

from orchidlane.gateway.rollout_agent.agent_state import AgentState
from orchidlane.gateway.rollout_agent.background_tasks import BackgroundTasks
from orchidlane.gateway.rollout_agent.voter_runner import SendMessage, VoterRunner
from orchidlane.rollout.bootstrap import admission_request, bootstrap_state
from orchidlane.rollout.leader import Leadership


class Admission:
    """Requests admission repeatedly until the voter is a member.

    The first voter in the settings creates the first replicated state.
    """

    def __init__(
        self,
        rank: int,
        voters: list[int],
        secret: bytes,
        agent_state: AgentState,
        background: BackgroundTasks,
        runner: VoterRunner,
        send: SendMessage,
        log: Any,
    ) -> None:
        self.rank = rank
        self.voters = voters
        self.secret = secret
        self.agent_state = agent_state
        self.background = background
        self.runner = runner
        self.send = send
        self.log = log
        self._logged_reason = ""

    def tick(self, now: int, leadership: Leadership) -> None:
        """Request admission if the voter is not a member and a request is due."""
        voter = leadership.voter
        if voter.is_member or not self.background.is_due("admission"):
            return
        contents = self.agent_state.own_contents
        if not contents.rules:
            return
        request = admission_request(self.secret, self.rank, voter.voter_state.store_id, contents)
        state = self.agent_state.replicated
        if state is not None:
            if state.leader != self.rank:
                self.send(state.leader, request)
            return
        creator = self.voters[0]
        self.send(creator, request)
        if self.rank == creator:
            self._bootstrap(now, leadership)

    def _bootstrap(self, now: int, leadership: Leadership) -> None:
        """Create the first state if all voters have requested admission with the same contents."""
        requests = leadership.recent_admission_requests(now)
        state = bootstrap_state(self.secret, self.voters, requests, self.agent_state.own_contents)
        if not isinstance(state, str):
            self.runner.bootstrap(state)
        elif state != self._logged_reason:
            self._logged_reason = state
            self.log.info("no replicated state yet", reason=state)
