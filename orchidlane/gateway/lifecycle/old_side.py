"""The old process's side of a hot restart; ``orchidlane.hot_restart.old_process`` decides.

It listens at a Unix socket, where a new process connects and gets the listeners as descriptors and the state
as rows while traffic goes on. At the handover it stops accepting requests and sends what is left; from then
on the new process decides. Clients are handed over between two requests, with what was read of the next one;
a request in progress is answered by the process that accepted it.

In probation the new process reports what it is about to do before it does it, so that this side can take
everything back: each count before the counted request is forwarded, each request before it is carried out,
each answer before it is written. This side keeps a descriptor of every client's connection meanwhile. After a
crash of the new process, clients without a request go on, and those that are owed an answer get one that
promises nothing.
"""

from __future__ import annotations

import contextlib
from collections import deque
from typing import NamedTuple

from orchidlane import policy, recording
from orchidlane.gateway.lifecycle.client_transfer import ClientTransfer
from orchidlane.gateway.lifecycle.restart_channel import Channel
from orchidlane.gateway.lifecycle.served_gateway import ServedGateway, count_responses
from orchidlane.gateway.lifecycle.state_errors import INVALID_STATE_ERRORS
from orchidlane.gateway.lifecycle.state_handover import StateHandover
from orchidlane.gateway.lifecycle.successor_units import NewProcessUnits
from orchidlane.hot_restart import messages, old_process
from orchidlane.hot_restart.handshake import GatewayIdentity
from orchidlane.hot_restart.probation import ResponseCounts
from orchidlane.hot_restart.tables import forfeit_ceiling_tokens
from orchidlane.runtime import (
    BACKGROUND,
    CONTROL,
    ConnectionClosedError,
    DeadlineExceededError,
    Task,
    TaskGroup,
)

BASELINE_INTERVAL_US = 5_000_000
MAX_BASELINE_SAMPLES = 6
NUMBERS_SKIPPED = 1 << 20  # after another process used ours: some that it used may not have been reported


class UsedNumbers(NamedTuple):
    """Numbers that the new process last reported."""

    datagram_sequence: int = 0
    last_request_id: int = 0


class OldSide:
    """Hands a running gateway over, and takes it back where probation fails."""

    def __init__(self, gateway: ServedGateway, scope: TaskGroup) -> None:
        self.gateway = gateway
        self.loop = gateway.loop
        self.scope = scope
        self.machine = old_process.OldProcess(_identity(gateway), _timeouts(gateway))
        self.channels: dict[int, Channel] = {}
        self.clients = ClientTransfer(gateway, scope, lambda: self.in_probation)
        self.new_process_units: NewProcessUnits | None = None
        self.new_process_numbers = UsedNumbers()
        self.handover_pause_us = 0  # from the handover to ``Started``
        self._state = StateHandover(gateway)
        self._samples: deque[ResponseCounts] = deque(maxlen=MAX_BASELINE_SAMPLES)
        self._baseline = ResponseCounts()
        self._handed_over_at_us = 0
        self._last_channel = 0
        self._accepting: Task | None = None

    @property
    def in_probation(self) -> bool:
        """Whether another process serves in our place, and everything could come back."""
        return self.machine.phase in (
            old_process.Phase.COMMITTED,
            old_process.Phase.RECLAIMING,
            old_process.Phase.FENCING,
        )

    def listen(self) -> None:
        """Accept successors, if the settings have a folder for the Unix socket."""
        self.gateway.sockets.bind("upgrade")
        if "upgrade" in self.gateway.sockets:
            self._accepting = self.scope.spawn(self._accept, priority=CONTROL, name="upgrade")
            self.scope.spawn(self._sample_answers, priority=BACKGROUND, name="upgrade samples")

    def _accept(self) -> None:
        listener = self.gateway.sockets["upgrade"]
        while True:
            try:
                stream = listener.accept()
            except ConnectionClosedError:
                return
            self._last_channel += 1
            channel = Channel(self.loop, stream, self._last_channel, self.scope)
            self.channels[channel.number] = channel
            self.scope.spawn(self._serve_channel, channel, priority=CONTROL, name="upgrade channel")

    def _sample_answers(self) -> None:
        while True:
            if self.machine.phase is old_process.Phase.SERVING:
                self._samples.append(count_responses(self.gateway.metrics))
            self.loop.sleep(BASELINE_INTERVAL_US)

    def _serve_channel(self, channel: Channel) -> None:
        try:
            try:
                for message in channel.received():
                    self._receive(channel, message)
            except (messages.ProtocolError, *INVALID_STATE_ERRORS) as error:
                self.feed(old_process.FailureDetected(channel.number, f"garbage: {error}"))
                channel.await_end()
            self.feed(old_process.ChannelClosed(channel.number))
        finally:
            self.channels.pop(channel.number, None)
            channel.close()

    def feed(self, event: old_process.Event) -> None:
        """Feed one event to the state machine and carry its actions out."""
        previous = self.machine.phase
        actions = self.machine.handle(self.loop.now(), event)
        phase = self.machine.phase
        if phase is not previous:
            outcome = self.machine.last_outcome
            self.gateway.log.info("upgrade", phase=phase.value, was=previous.value, latest=outcome)
        for action in actions:
            self._carry_out(action)

    def _carry_out(self, action: old_process.Action) -> None:
        match action:
            case old_process.SendOffer():
                self.scope.spawn(self._offer, self.channels[action.channel], priority=CONTROL, name="offer")
            case old_process.Reject():
                self._reject(action)
            case old_process.HandOver():
                self.scope.spawn(
                    self._hand_over, self.channels[action.channel], priority=CONTROL, name="commit"
                )
            case old_process.SendReclaim():
                self.channels[action.channel].send(messages.Reclaim(action.reason))
            case old_process.KillNewProcess():
                self.channels[action.channel].stream.kill_peer()
            case old_process.Release():
                self._release(self.channels[action.channel])
            case _:
                self._carry_out_alone(action)

    def _carry_out_alone(self, action: old_process.Action) -> None:
        """Carry out an action that needs no channel."""
        match action:
            case old_process.ResumeServing():
                self._resume_serving()
            case old_process.AnswerOrphanedClients():
                self.clients.answer_orphaned()
            case old_process.SetTimer():
                due = self.loop.now() + action.delay_us
                self.loop.call_at(due, lambda _: self.feed(old_process.TimerFired()))
            case old_process.Exit():
                pass  # the process exits by itself

    def _reject(self, action: old_process.Reject) -> None:
        self._state.cancel(action.channel)
        channel = self.channels.get(action.channel)
        if channel is not None:
            channel.send(messages.Abort(action.reason))
            self.scope.spawn(self._close_flushed, channel, priority=CONTROL, name="reject successor")

    def _close_flushed(self, channel: Channel) -> None:
        with contextlib.suppress(DeadlineExceededError):
            channel.flush()
        channel.close()

    # -- messages of the new process, and of tools

    def _receive(self, channel: Channel, message: messages.AnyMessage) -> None:
        match message:
            case messages.StatusRequest():
                channel.send(self.status())
            case messages.Hello():
                self.feed(old_process.HelloReceived(channel.number, message))
            case _ if channel.number != self.machine.channel:
                reason = "a message before the handshake"
                self.feed(old_process.FailureDetected(channel.number, reason))
            case messages.UnitsReply() | messages.PeerReply() | messages.CustomerCount():
                self._receive_decision(message)
            case (
                messages.Ready()
                | messages.Started()
                | messages.Heartbeat()
                | messages.Failure()
                | messages.ServingStopped()
            ):
                self._receive_progress(channel.number, message)
            case _:
                self.clients.receive(channel, message)

    def _receive_progress(self, channel: int, message: messages.AnyMessage) -> None:
        match message:
            case messages.Ready():
                self.feed(old_process.ReadyReceived(channel))
            case messages.Started():
                self.handover_pause_us = self.loop.now() - self._handed_over_at_us
                self.gateway.log.info("successor serves", pause_ms=self.handover_pause_us / 1_000)
                self.feed(old_process.StartedReceived(channel))
            case messages.Heartbeat():
                self.new_process_numbers = UsedNumbers(message.datagram_sequence, message.last_request_id)
                answers = ResponseCounts(message.served, message.rejected, message.failed)
                self.feed(old_process.HeartbeatReceived(channel, answers, self._baseline))
            case messages.Failure():
                self.feed(old_process.FailureDetected(channel, message.reason))
            case messages.ServingStopped():
                self.feed(old_process.ServingStoppedReceived(channel))

    def _receive_decision(
        self, message: messages.UnitsReply | messages.PeerReply | messages.CustomerCount
    ) -> None:
        match message:
            case messages.UnitsReply():
                if self.new_process_units is not None:
                    self.new_process_units.receive_reply(message)
            case messages.PeerReply():
                self.gateway.limit_service.receive(message.sender, message.body)
            case messages.CustomerCount():
                self.gateway.policy_driver.feed(
                    policy.CountRecovered(
                        message.customer,
                        message.plan,
                        message.replica_set_start,
                        message.replica_set_size,
                        message.incarnation,
                        message.value,
                    )
                )

    def status(self) -> messages.Status:
        """Return the status that tools ask for."""
        answers = count_responses(self.gateway.metrics)
        return messages.Status(
            self.machine.phase.value,
            recording.build_name(),
            self.loop.backend.process_id(),
            self.machine.last_outcome,
            *answers,
        )

    # -- handover

    def _offer(self, channel: Channel) -> None:
        try:
            self._state.offer(channel)
        except DeadlineExceededError:
            self.feed(old_process.FailureDetected(channel.number, "it does not read"))

    def _hand_over(self, channel: Channel) -> None:
        """Copy what changed, then all that is left at once, with no decision in between."""
        try:
            copy = self._state.copy_changes(channel)
        except DeadlineExceededError:
            self.feed(old_process.FailureDetected(channel.number, "it does not read"))
            return
        if self.machine.phase is not old_process.Phase.COMMITTED:
            return
        gateway = self.gateway
        self._handed_over_at_us = self.loop.now()
        self._baseline = self._take_baseline()
        self.new_process_numbers = UsedNumbers(gateway.sequence, gateway.policy_driver.last_request_number)
        self._state.complete(channel, copy)
        self.new_process_units = NewProcessUnits(channel)
        gateway.delegate_units(self.new_process_units)
        gateway.stop_accepting(
            lambda connection: self.clients.hand_over_http(channel, connection),
            lambda session: self.clients.hand_over_resp(channel, session),
        )

    def _take_baseline(self) -> ResponseCounts:
        """Return the answers since the oldest sample, or all of them if there were none since."""
        total = count_responses(self.gateway.metrics)
        recent = total.since(self._samples[0]) if self._samples else total
        return recent if recent.total else total

    # -- after probation

    def _resume_serving(self) -> None:
        gateway = self.gateway
        forfeit_ceiling_tokens(gateway.policy_driver.gateway)
        used = self.new_process_numbers
        gateway.sequence = used.datagram_sequence + NUMBERS_SKIPPED
        gateway.policy_driver.last_request_number = (
            max(gateway.policy_driver.last_request_number, used.last_request_id) + NUMBERS_SKIPPED
        )
        gateway.resume_serving()
        self.new_process_units = None
        self.clients.take_back_idle()

    def _release(self, channel: Channel) -> None:
        if self._accepting is not None:
            self.loop.cancel(self._accepting)
        channel.send(messages.Release())
        self.clients.drop_all()
        self.gateway.sockets.close()  # kept open, they would outlive the new process's own
        self.gateway.stopping = True

    def finish(self) -> None:
        """Our last request is answered: wait until all that was handed over is sent."""
        self.feed(old_process.Drained())
        for channel in list(self.channels.values()):
            with contextlib.suppress(DeadlineExceededError):
                channel.flush()


def _identity(gateway: ServedGateway) -> GatewayIdentity:
    fleet = gateway.fleet
    return GatewayIdentity(gateway.entry.name, gateway.rank, len(fleet.gateways), tuple(fleet.plans))


def _timeouts(gateway: ServedGateway) -> old_process.Timeouts:
    terms = gateway.fleet.hot_restart
    silence = int(terms.silence_timeout_us)
    return old_process.Timeouts(
        copy_us=int(terms.transfer_timeout_us),
        start_us=silence,
        heartbeat_us=silence,
        probation_us=int(terms.probation_us),
    )
