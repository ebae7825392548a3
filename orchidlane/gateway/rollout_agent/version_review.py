"""Review of the version that is being voted on, and this voter's vote on it."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from orchidlane.gateway.control.configuration import ContentError
from orchidlane.gateway.control.settings import FleetSettings
from orchidlane.gateway.rollout_agent.background_tasks import BackgroundTasks
from orchidlane.gateway.rollout_agent.blob_fetcher import BlobFetcher, ContentUnavailableError
from orchidlane.gateway.rollout_agent.configuration_reader import ConfigurationReader, version_configuration
from orchidlane.rollout import messages
from orchidlane.rollout.compatibility import incompatibility
from orchidlane.rollout.consensus import Voter
from orchidlane.rollout.replicated_state import ReplicatedState, RolloutPhase
from orchidlane.rollout.version import Version, cast_vote
from orchidlane.rollout.voter_state import Action

EventQueue = Callable[[Callable[[], list[Action]]], None]
SendMessage = Callable[[int, messages.Message], None]


class VersionReview:
    """Reviews each version once per term; sends the vote to the leader repeatedly until voting is over."""

    def __init__(
        self,
        secret: bytes,
        fetcher: BlobFetcher,
        reader: ConfigurationReader,
        background: BackgroundTasks,
        enqueue: EventQueue,
        send: SendMessage,
        log: Any,
    ) -> None:
        self.secret = secret
        self.fetcher = fetcher
        self.reader = reader
        self.background = background
        self.enqueue = enqueue
        self.send = send
        self.log = log

    @property
    def _fleet(self) -> FleetSettings:
        return self.reader.fleet

    def tick(self, state: ReplicatedState, voter: Voter) -> None:
        """Send this voter's vote on the version that is being voted on, or start its review."""
        rollout = state.rollout
        if rollout is None or rollout.phase is not RolloutPhase.VOTING:
            return
        latest = voter.voter_state.latest_vote
        if latest is not None and latest[:2] == (rollout.term, rollout.version.number):
            if self.background.is_due(_vote_task_kind(latest.term, latest.number)):
                vote = latest.vote
                message = messages.VersionVote(
                    latest.term, latest.number, vote.store_id, vote.approves, vote.seal, vote.reason
                )
                self.send(state.leader, message)
        elif not self.background.is_running("review") and self.background.is_due("review"):
            self.background.start("review", lambda: self._review(state, voter))

    def _review(self, state: ReplicatedState, voter: Voter) -> None:
        rollout = state.rollout
        assert rollout is not None
        version = rollout.version
        term = rollout.term
        try:
            objection = self._objection(state, version)
        except (ContentUnavailableError, OSError) as error:
            # The review is retried: the contents may become available, and the disk may have space again.
            self.log.info("vote postponed", version=version.label(), reason=str(error))
            return
        reason = messages.truncate_reason(objection)
        vote = cast_vote(self.secret, voter.member, version, term, not objection, reason)
        self.log.info("voted", version=version.label(), term=term, approves=not objection, reason=objection)
        self.background.make_due(_vote_task_kind(term, version.number))
        self.enqueue(lambda: voter.vote(term, version, lambda: vote))

    def _objection(self, state: ReplicatedState, version: Version) -> str:
        """Return why a version cannot be approved; "" if it can.

        Raises:
            ContentUnavailableError: its contents are not available yet.
            OSError: its contents could not be written to disk.
        """
        self.fetcher.ensure_contents(version.contents)
        try:
            new = self.reader.read(version.contents, version.number)
        except ContentError as error:
            return str(error)
        current = state.current.version
        if version.reverts and version.contents == current.contents:
            return ""  # a rollback to the current contents, which gateways outside the stages still run
        try:
            old = self.reader.read(current.contents, current.number)
        except ContentError as error:
            return f"the current version cannot be read: {error}"
        reason: str = self.reader.storage.backend.run_in_thread(
            lambda: incompatibility(
                version_configuration(old, self._fleet), version_configuration(new, self._fleet)
            )
        )
        return reason


def _vote_task_kind(term: int, number: int) -> str:
    return f"vote {term} {number}"
