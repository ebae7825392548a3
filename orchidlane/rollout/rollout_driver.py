"""The leader's next command on a rollout: to approve, extend, finish or revert it. Decisions only, no I/O."""

from __future__ import annotations

from dataclasses import dataclass
from typing import NamedTuple

from orchidlane.rollout import phases
from orchidlane.rollout.commands import (
    ApproveVersion,
    Command,
    ExtendRollout,
    FinishRollout,
    ProposeVersion,
    StopRollout,
)
from orchidlane.rollout.messages import AdoptionReport, AdoptionReportAck, VersionVote
from orchidlane.rollout.replicated_state import (
    ReplicatedState,
    Rollout,
    RolloutPhase,
    encode_ranks,
    has_rank,
)
from orchidlane.rollout.version import Vote, is_valid_vote, quorum_size
from orchidlane.rollout.voter_state import Send

CLOCK_DRIFT_FACTOR = 1.02  # the leader's clock may run faster than another gateway's by this factor
MAX_GATEWAYS_IN_REASON = 5


@dataclass(frozen=True)
class RolloutSettings:
    """Durations in microseconds, and the stages of a rollout."""

    lease_us: int
    vote_timeout_us: int
    staging: phases.StagingSettings


class GatewayReport(NamedTuple):
    """The latest report of a gateway; ``running_since``: when it first reported the version that it runs."""

    running_number: int
    target_number: int
    reason: str
    responses_per_second: int
    received_at: int
    running_since: int


class Progress(NamedTuple):
    """The progress of a rollout; when it changes, the timeouts start again."""

    term: int
    number: int
    phase: RolloutPhase
    target_ranks: bytes


class Sides(NamedTuple):
    """Ranks of gateways that run a rollout's version, and of gateways on the previous version."""

    new: list[int]
    old: list[int]


class RolloutDriver:
    """What a leader has received on the rollout in progress. Times are microseconds of its own clock."""

    def __init__(self, gateway_count: int, secret: bytes, settings: RolloutSettings, now: int) -> None:
        self.gateway_count = gateway_count
        self.secret = secret
        self.settings = settings
        self.reports: dict[int, GatewayReport] = {}
        self.votes: dict[int, Vote] = {}
        self.stage_controller: phases.StageController | None = None
        self._progress: Progress | None = None
        self._progress_since = now

    # -- messages

    def receive_report(self, now: int, sender: int, report: AdoptionReport) -> list[Send]:
        """Record and acknowledge the report of a gateway."""
        previous = self.reports.get(sender)
        runs_same = previous is not None and previous.running_number == report.running_number
        self.reports[sender] = GatewayReport(
            report.running_number,
            report.target_number,
            report.reason,
            report.responses_per_second,
            received_at=now,
            running_since=previous.running_since if previous is not None and runs_same else now,
        )
        return [Send(sender, AdoptionReportAck(report.running_number, report.target_number))]

    def receive_vote(self, sender: int, message: VersionVote, state: ReplicatedState | None) -> None:
        """Record a vote if it is valid and cast on the version that is voted on, in the present term."""
        rollout = state.rollout if state is not None else None
        if rollout is None or rollout.phase is not RolloutPhase.VOTING:
            return
        if message.term != rollout.term or message.number != rollout.version.number:
            return
        vote = Vote(sender, message.store_id, message.approves, message.reason, message.seal)
        if is_valid_vote(self.secret, vote, rollout.version, rollout.term):
            self.votes[sender] = vote

    # -- what gateways run

    def loads(self) -> list[float]:
        """Return the responses per second of each gateway by rank, from its latest report; 0 without one."""
        reports = [self.reports.get(rank) for rank in range(self.gateway_count)]
        return [float(report.responses_per_second) if report is not None else 0.0 for report in reports]

    def sample_sides(self, rollout: Rollout, round_number: int) -> Sides:
        """Return a sample of the gateways that run a rollout's version, and of those on the previous one."""
        number = rollout.version.number
        running = {rank: report.running_number for rank, report in self.reports.items()}
        new = [rank for rank in sorted(running) if running[rank] == number]
        old = [rank for rank in sorted(running) if running[rank] != number and not rollout.includes(rank)]
        return Sides(phases.sample(new, round_number), phases.sample(old, round_number))

    def ranks_behind(self, rollout: Rollout) -> list[int]:
        """Return the gateways that should run a rollout's version and have not reported that they do."""
        running = {rank: report.running_number for rank, report in self.reports.items()}
        return [rank for rank in self._target_ranks(rollout) if running.get(rank) != rollout.version.number]

    def _target_ranks(self, rollout: Rollout) -> list[int]:
        return [rank for rank in range(self.gateway_count) if has_rank(rollout.target_ranks, rank)]

    # -- the next command

    def track_progress(self, now: int, state: ReplicatedState) -> None:
        """Record when the rollout made progress; drop votes and stages that no longer apply."""
        rollout = state.rollout
        progress = None
        if rollout is not None:
            progress = Progress(state.term, rollout.version.number, rollout.phase, rollout.target_ranks)
        if progress == self._progress:
            return
        if progress is None or self._progress is None or progress[:3] != self._progress[:3]:
            self.votes.clear()
        if progress is None:
            self.stage_controller = None
        elif self.stage_controller is None or self.stage_controller.number != progress.number:
            self.stage_controller = phases.StageController(self.settings.staging, progress.number, now)
        self._progress = progress
        self._progress_since = now

    def next_command(self, now: int, state: ReplicatedState) -> Command | None:
        """Return the command that advances the rollout, if one is due."""
        rollout = state.rollout
        if rollout is None:
            return None
        if rollout.phase is RolloutPhase.VOTING:
            return self._count_votes(now, state, rollout)
        return self._advance(now, state, rollout)

    def _count_votes(self, now: int, state: ReplicatedState, rollout: Rollout) -> Command | None:
        """Approve or stop the rollout once the votes received decide on it, or stop it after the timeout."""
        number = rollout.version.number
        members = set(state.members)
        quorum = quorum_size(state.members)
        votes = [vote for vote in self.votes.values() if vote.member in members]
        approving = tuple(vote for vote in votes if vote.approves)
        if len(approving) >= quorum:
            target_ranks = encode_ranks(self._first_ranks(state, rollout), self.gateway_count)
            return ApproveVersion(state.term, number, approving, target_ranks)
        rejecting = [vote for vote in votes if not vote.approves]
        reasons = "; ".join(f"gateway {vote.rank}: {vote.reason}" for vote in rejecting)
        if len(rejecting) > len(members) - quorum:
            return StopRollout(state.term, number, reasons)
        if now - self._progress_since > self.settings.vote_timeout_us:
            silent = sorted({member.rank for member in members} - {vote.rank for vote in votes})
            reason = f"no quorum approved the version; no vote from gateways {silent}; {reasons}"
            return StopRollout(state.term, number, reason)
        return None

    def _first_ranks(self, state: ReplicatedState, rollout: Rollout) -> list[int]:
        """Return the ranks of the first stage.

        A rollback is adopted by all gateways at once, and so is a migration of customers, which has stages of
        its own (``shard_migration``).
        """
        keeps_customers = rollout.version.contents.customers == state.current.version.contents.customers
        if self.settings.staging.soak_us and keeps_customers and not rollout.version.reverts:
            return phases.first_batch(self.settings.staging, self.loads())
        return list(range(self.gateway_count))

    def _advance(self, now: int, state: ReplicatedState, rollout: Rollout) -> Command | None:
        """Extend or finish a rollout once all gateways of the stage run it or no longer serve.

        Gateways that have not adopted the version serve nothing after a lease.
        """
        behind = self.ranks_behind(rollout)
        lease_is_over = now - self._progress_since > self.settings.lease_us * CLOCK_DRIFT_FACTOR
        target_ranks = self._target_ranks(rollout)
        if len(target_ranks) == self.gateway_count:
            if behind and not lease_is_over:
                return None
            return FinishRollout(state.term, rollout.version.number, _behind_reason(behind))
        assert self.stage_controller is not None
        self.stage_controller.update_stage(now, rollout.target_ranks, () if lease_is_over else behind)
        verdict = self.stage_controller.verdict(now)
        if verdict:
            return _rollback_command(state, rollout, verdict)
        if verdict is None or rollout.pause_reason:
            return None
        added = phases.next_batch(self.settings.staging, self.loads(), target_ranks)
        added_ranks = encode_ranks(added, self.gateway_count)
        return ExtendRollout(state.term, rollout.version.number, added_ranks)


def _behind_reason(behind: list[int]) -> str:
    if not behind:
        return ""
    names = ", ".join(map(str, behind[:MAX_GATEWAYS_IN_REASON]))
    ellipsis = " ..." if len(behind) > MAX_GATEWAYS_IN_REASON else ""
    return f"not confirmed, and not serving: {len(behind)}: {names}{ellipsis}"


def _rollback_command(state: ReplicatedState, rollout: Rollout, reason: str) -> Command:
    """Return the proposal that reverts a rollout whose stage failed."""
    number = rollout.version.number
    return ProposeVersion(
        term=state.term,
        proposal_id=f"harm-{number}",
        contents=state.current.version.contents,
        base=number,
        author="the fleet",
        reason=f"reverted after a regression: {reason}",
        reverts=number,
    )
