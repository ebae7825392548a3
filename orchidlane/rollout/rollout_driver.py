"""The leader's next command on a rollout: approval, extension by stages, end. Decides without I/O."""

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

CLOCK_DRIFT_FACTOR = 1.02  # how much faster one gateway's clock may run than another's
MAX_NAMED_GATEWAYS = 5  # in a reason


@dataclass(frozen=True)
class RolloutSettings:
    """Durations in microseconds, and the stages of a rollout."""

    lease_us: int
    vote_timeout_us: int
    staging: phases.StagingSettings


class GatewayReport(NamedTuple):
    """What a gateway reported last; ``running_since``: when it first reported its present version."""

    running_number: int
    target_number: int
    reason: str
    answers_per_second: int
    received_at: int
    running_since: int


class Progress(NamedTuple):
    """Where a rollout stands; a change of it restarts the timeouts."""

    term: int
    number: int
    phase: RolloutPhase
    target_ranks: bytes


class Sides(NamedTuple):
    """Ranks that run a rollout's version, and ranks that run the version before."""

    new: list[int]
    old: list[int]


class RolloutDriver:
    """What a leader knows of the rollout in progress. Times are microseconds of its own clock."""

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
        """Take note of what a gateway runs, and acknowledge."""
        known = self.reports.get(sender)
        is_same = known is not None and known.running_number == report.running_number
        self.reports[sender] = GatewayReport(
            report.running_number,
            report.target_number,
            report.reason,
            report.answers_per_second,
            received_at=now,
            running_since=known.running_since if known is not None and is_same else now,
        )
        return [Send(sender, AdoptionReportAck(report.running_number, report.target_number))]

    def receive_vote(self, sender: int, message: VersionVote, state: ReplicatedState | None) -> None:
        """Take note of a valid vote on the version that is voted on, in this term."""
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
        """Return the answers a second of each gateway, by its latest report."""
        reports = [self.reports.get(rank) for rank in range(self.gateway_count)]
        return [float(report.answers_per_second) if report is not None else 0.0 for report in reports]

    def sample_sides(self, rollout: Rollout, round_number: int) -> Sides:
        """Return a sample of the gateways that run a rollout's version, and of those on the one before."""
        number = rollout.version.number
        running = {rank: report.running_number for rank, report in self.reports.items()}
        new = [rank for rank in sorted(running) if running[rank] == number]
        old = [rank for rank in sorted(running) if running[rank] != number and not rollout.includes(rank)]
        return Sides(phases.sample(new, round_number), phases.sample(old, round_number))

    def ranks_behind(self, rollout: Rollout) -> list[int]:
        """Return the gateways that should run a rollout's version and did not report that they do."""
        running = {rank: report.running_number for rank, report in self.reports.items()}
        return [rank for rank in self._target_ranks(rollout) if running.get(rank) != rollout.version.number]

    def _target_ranks(self, rollout: Rollout) -> list[int]:
        return [rank for rank in range(self.gateway_count) if has_rank(rollout.target_ranks, rank)]

    # -- the next command

    def track_progress(self, now: int, state: ReplicatedState) -> None:
        """Note since when the rollout stands where it does, by our own clock."""
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
        """Return the command that takes the rollout further, if one is due."""
        rollout = state.rollout
        if rollout is None:
            return None
        if rollout.phase is RolloutPhase.VOTING:
            return self._count_votes(now, state, rollout)
        return self._advance(now, state, rollout)

    def _count_votes(self, now: int, state: ReplicatedState, rollout: Rollout) -> Command | None:
        """Approve or stop by the votes that came, or by the silence of the others."""
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
            reason = f"no quorum said yes; silent: {silent}; {reasons}"
            return StopRollout(state.term, number, reason)
        return None

    def _first_ranks(self, state: ReplicatedState, rollout: Rollout) -> list[int]:
        """Return the first stage; all gateways for a rollback, and for a migration, which goes by shares."""
        keeps_customers = rollout.version.contents.customers == state.current.version.contents.customers
        if self.settings.staging.soak_us and keeps_customers and not rollout.version.reverts:
            return phases.first_batch(self.settings.staging, self.loads())
        return list(range(self.gateway_count))

    def _advance(self, now: int, state: ReplicatedState, rollout: Rollout) -> Command | None:
        """Extend or end a rollout, once all gateways of the stage run it or can't serve by anything else."""
        behind = self.ranks_behind(rollout)
        lease_is_over = now - self._progress_since > self.settings.lease_us * CLOCK_DRIFT_FACTOR
        reached = self._target_ranks(rollout)
        if len(reached) == self.gateway_count:
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
        added = phases.next_batch(self.settings.staging, self.loads(), reached)
        target_ranks = encode_ranks(added, self.gateway_count)
        return ExtendRollout(state.term, rollout.version.number, target_ranks)


def _behind_reason(behind: list[int]) -> str:
    if not behind:
        return ""
    names = ", ".join(map(str, behind[:MAX_NAMED_GATEWAYS]))
    more = " ..." if len(behind) > MAX_NAMED_GATEWAYS else ""
    return f"not confirmed, and not serving: {len(behind)}: {names}{more}"


def _rollback_command(state: ReplicatedState, rollout: Rollout, reason: str) -> Command:
    """Propose the prior contents: a stage does harm."""
    number = rollout.version.number
    return ProposeVersion(
        term=state.term,
        proposal_id=f"harm-{number}",
        contents=state.current.version.contents,
        base=number,
        author="the fleet",
        reason=f"stopped at harm: {reason}",
        reverts=number,
    )
