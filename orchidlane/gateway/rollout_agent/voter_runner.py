"""Runs a voter: passes events to it and carries out its actions, such as writes, datagrams and outcomes.

One task processes the voter's events one at a time and carries out the actions of an event in their order, so
that a state that must be persisted is on disk before any later message is sent.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random
from typing import Any

import msgspec

from orchidlane.gateway.rollout_agent.admin_messages import CommandOutcome
from orchidlane.gateway.rollout_agent.blob_fetcher import BlobFetcher
from orchidlane.gateway.rollout_agent.storage import CorruptFileError, RolloutStorage, VoterFile
from orchidlane.rollout import messages, replicated_state
from orchidlane.rollout.commands import Command, ProposeVersion, ResumeRollout, StopRollout
from orchidlane.rollout.consensus import Voter
from orchidlane.rollout.leader import Leadership, LeadershipSettings
from orchidlane.rollout.replicated_state import ReplicatedState
from orchidlane.rollout.version import content_hash
from orchidlane.rollout.voter_state import (
    STORE_ID_BITS,
    Action,
    CommandDropped,
    LogWarning,
    Persist,
    Send,
    StateChosen,
    StoreBlob,
    VoterStart,
    VoterState,
)
from orchidlane.runtime import CONTROL, DeadlineExceededError, EventLoop, Task, TaskGroup

MAX_QUEUED_EVENTS = 1_000  # events beyond this are dropped, as a datagram may be lost
COMMAND_TIMEOUT_US = 5_000_000

Event = Callable[[], list[Action]]
SendMessage = Callable[[int, messages.Message], None]
LearnState = Callable[[ReplicatedState, str, bytes], None]


@dataclass
class WaitingCommand:
    """A task that waits for the outcome of a command."""

    task: Task
    outcomes: list[CommandOutcome] = field(default_factory=list)


class VoterRunner:
    """Runs the voter of one gateway and stores its state; ``leadership`` is None if it is not a voter."""

    def __init__(
        self,
        rank: int,
        loop: EventLoop,
        storage: RolloutStorage,
        fetcher: BlobFetcher,
        send: SendMessage,
        learn: LearnState,
        log: Any,
    ) -> None:
        self.rank = rank
        self.loop = loop
        self.storage = storage
        self.fetcher = fetcher
        self.send = send
        self.learn = learn
        self.log = log
        self.leadership: Leadership | None = None
        self._queue: deque[Event] = deque()
        self._worker: Task | None = None
        self._waiting: dict[str, WaitingCommand] = {}  # by command id
        self._write_failed = False

    # -- start and stop

    def load_voter(
        self,
        gateway_count: int,
        secret: bytes,
        settings: LeadershipSettings,
        latest_state: ReplicatedState | None,
    ) -> None:
        """Create the voter from its file, or with a new store if the file is missing or damaged."""
        now = self.loop.now()
        rng: Random = self.storage.backend.random
        file = accepted_state = chosen_state = None
        try:
            file = self.storage.read_voter()
            if file is not None:
                accepted_state = self._decode_state(file.accepted_state)
                chosen_state = self._decode_state(file.chosen_state)
        except (CorruptFileError, msgspec.DecodeError, OSError) as error:
            self.log.error("voter file unusable; waiting for admission with a new store", reason=str(error))
            file = accepted_state = chosen_state = None
        if chosen_state is not None and (latest_state is None or chosen_state.index > latest_state.index):
            data = replicated_state.encode(chosen_state)
            self.learn(chosen_state, content_hash(data), data)
            latest_state = chosen_state
        voter_state = file.voter_state if file else VoterState(rng.getrandbits(STORE_ID_BITS) + 1)
        start = VoterStart(
            self.rank, voter_state, accepted_state, latest_state, rng, now, verifies_store=file is not None
        )
        self.leadership = Leadership(Voter(start), gateway_count, secret, settings, rng, now)

    def _decode_state(self, data: bytes) -> ReplicatedState | None:
        if not data:
            return None
        self.storage.cache_state(content_hash(data), data)
        return replicated_state.decode(data)

    def start(self, scope: TaskGroup) -> None:
        """Start the task that processes events."""
        self._worker = scope.spawn(self._process_events, priority=CONTROL, name="voter")

    def stop(self) -> None:
        """Stop voting and drop all queued events."""
        if self._worker is not None:
            self.loop.cancel(self._worker)
        self._worker = None
        self.leadership = None
        self._queue.clear()

    # -- events

    @property
    def is_idle(self) -> bool:
        """Whether no event is queued."""
        return not self._queue

    def enqueue(self, event: Event) -> None:
        """Queue an event for the voter; drop it if the queue is full or the voter is stopped."""
        if len(self._queue) < MAX_QUEUED_EVENTS and self._worker is not None:
            self._queue.append(event)
            self.loop.wake(self._worker)

    def learn_chosen(self, state: ReplicatedState) -> None:
        """Notify the voter of a chosen state."""
        self.enqueue(lambda: self._voter().learn_chosen(state))

    def receive(self, sender: int, message: messages.Message, leadership: Leadership) -> None:
        """Handle a message addressed to a voter or to the leader."""
        now = self.loop.now()
        match message:
            case messages.AdoptionReport():
                self._send_all(leadership.driver.receive_report(now, sender, message))
            case messages.VersionVote():
                leadership.driver.receive_vote(sender, message, leadership.state)
            case messages.AdmissionRequest():
                leadership.receive_admission_request(now, sender, message)
            case messages.Heartbeat():
                self._send_all(leadership.receive_heartbeat(now, sender, message))
            case messages.HeartbeatAck():
                leadership.receive_heartbeat_ack(sender, message)
            case messages.Prepare() if not leadership.accepts_ballot_of(now, sender):
                pass
            case messages.Promise() | messages.Accept() if message.state_hash:
                self.fetcher.with_state(
                    sender, message.state_hash, lambda state: self._enqueue_message(sender, message, state)
                )
            case _:
                self._enqueue_message(sender, message, None)

    def _enqueue_message(
        self, sender: int, message: messages.Message, named_state: ReplicatedState | None
    ) -> None:
        self.enqueue(lambda: self._voter().receive(self.loop.now(), sender, message, named_state))

    def tick(self, now: int, leadership: Leadership) -> None:
        """Resend or abandon the voter's attempt, and send heartbeats, whichever is due."""
        voter = leadership.voter
        if voter.attempt is not None or voter.verifying_store:
            self.enqueue(lambda: voter.tick(self.loop.now()))
        self._send_all(leadership.heartbeats(now))

    def propose_next(self, now: int, leadership: Leadership) -> None:
        """Propose the next command if one is due and no event is queued."""
        if not self.is_idle:
            return
        command = leadership.next_command(now)
        if command is not None:
            self.enqueue(lambda: leadership.voter.propose(self.loop.now(), command))

    def _voter(self) -> Voter:
        assert self.leadership is not None
        return self.leadership.voter

    def _send_all(self, sends: list[Send]) -> None:
        for send in sends:
            self.send(send.rank, send.message)

    # -- actions

    def _process_events(self) -> None:
        while True:
            while not self._queue:
                self.loop.park()
            event = self._queue.popleft()
            if self.leadership is not None:
                voter = self._voter()
                previous = voter.voter_state
                accepted_state = voter.accepted_state
                self._carry_out(event(), previous, accepted_state)

    def _carry_out(
        self, actions: list[Action], previous: VoterState, accepted_state: ReplicatedState | None
    ) -> None:
        for action in actions:
            match action:
                case StoreBlob():
                    self.storage.cache_state(action.content_hash, action.data)
                case Persist():
                    if not self._write_voter(action.voter_state):
                        failure_actions = self._voter().persist_failed(previous, accepted_state)
                        self._carry_out(failure_actions, previous, accepted_state)
                        return
                case Send():
                    self.send(action.rank, action.message)
                case StateChosen():
                    self._on_chosen(action)
                case CommandDropped():
                    outcome = CommandOutcome(False, action.reason, not action.is_final)
                    self._deliver_outcome(action.command, outcome)
                case LogWarning():
                    self.log.warning(action.text, store=self._voter().voter_state.store_id)

    def _write_voter(self, voter_state: VoterState) -> bool:
        voter = self._voter()
        file = VoterFile(voter_state, _encode(voter.accepted_state), _encode(voter.chosen_state))
        try:
            self.storage.write_voter(file)
        except OSError as error:
            if not self._write_failed:
                self.log.error("voter file not written; not voting", reason=str(error))
            self._write_failed = True
            return False
        self._write_failed = False
        return True

    def _on_chosen(self, chosen: StateChosen) -> None:
        self.learn(chosen.state, chosen.state_hash, replicated_state.encode(chosen.state))
        if chosen.command is not None:
            self._deliver_outcome(chosen.command, CommandOutcome(True))

    def bootstrap(self, state: ReplicatedState) -> None:
        """Store the first replicated state, on which all voters agree, and claim leadership immediately."""
        assert self.leadership is not None
        voter = self.leadership.voter
        voter.chosen_state = state
        if not self._write_voter(voter.voter_state):
            voter.chosen_state = None
            return
        self.leadership.claim_immediately()
        data = replicated_state.encode(state)
        self.learn(state, content_hash(data), data)

    # -- commands

    def run_command(self, command: Command, command_id: str) -> CommandOutcome | None:
        """Have a command carried out and wait for its outcome; None if this gateway is not the leader."""
        leadership = self.leadership
        if leadership is None or not leadership.is_leader:
            return None
        if not leadership.enqueue(command):
            return CommandOutcome(False, "too many commands are queued", is_retryable=True)
        task = self.loop.current
        assert task is not None
        waiting = WaitingCommand(task)
        self._waiting[command_id] = waiting
        deadline = self.loop.now() + COMMAND_TIMEOUT_US
        try:
            while not waiting.outcomes:
                self.loop.park(deadline)
        except DeadlineExceededError:
            reason = "no quorum of voters responded in time; the command may still be carried out"
            return CommandOutcome(False, reason, is_retryable=True)
        finally:
            self._waiting.pop(command_id, None)
        return waiting.outcomes[0]

    def _deliver_outcome(self, command: Command, outcome: CommandOutcome) -> None:
        waiting = self._waiting.get(_command_id(command))
        if waiting is not None:
            waiting.outcomes.append(outcome)
            self.loop.wake(waiting.task)
        if not outcome.is_accepted:
            self.log.info("command dropped", command=type(command).__name__, reason=outcome.reason)


def _command_id(command: Command) -> str:
    """Return the id that a client gave to a command; "" for a command of the leader itself."""
    match command:
        case ProposeVersion():
            return command.proposal_id
        case StopRollout() | ResumeRollout():
            return command.command_id
    return ""


def _encode(state: ReplicatedState | None) -> bytes:
    return replicated_state.encode(state) if state is not None else b""
