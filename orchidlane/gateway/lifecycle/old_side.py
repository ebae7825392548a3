"""The old process's side of a hot restart; the state machine is ``orchidlane.hot_restart.old_process``.

The old process listens on a Unix socket. A new process connects there and receives the listeners as
descriptors and the state as table rows while traffic continues. At the handover the old process stops
accepting requests and sends the rest of the state; from then on the policy of the new process decides.
Clients are handed over between two requests, with the bytes read of the next one; a request in progress is
answered by the process that accepted it.

During probation the new process reports each step before it takes it, so that the old process can take over
again: each count before the counted request is forwarded, each request before it is carried out, each
response before it is written. In the meantime the old process keeps a descriptor of every client's
connection. If the new process crashes, the old one serves the idle clients again and sends the others a
response that does not say whether their request was carried out.
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
# Skipped when this process serves again, as the new process may have used more numbers than it reported.
SKIPPED_NUMBERS = 1 << 20


class LastUsedNumbers(NamedTuple):
    """The last numbers that the new process reported as used."""

    datagram_sequence: int = 0
    last_request_id: int = 0


class OldSide:
    """Hands a running gateway over to a new process, and takes it back if probation fails."""

    def __init__(self, gateway: ServedGateway, scope: TaskGroup) -> None:
        self.gateway = gateway
        self.loop = gateway.loop
        self.scope = scope
        self.machine = old_process.OldProcess(_identity(gateway), _timeouts(gateway))
        self.channels: dict[int, Channel] = {}
        self.clients = ClientTransfer(gateway, scope, lambda: self.in_probation)
        self.new_process_units: NewProcessUnits | None = None
        self.new_process_numbers = LastUsedNumbers()
        self.handover_pause_us = 0  # from the handover to ``Started``
        self._state = StateHandover(gateway)
        self._baseline_samples: deque[ResponseCounts] = deque(maxlen=MAX_BASELINE_SAMPLES)
        self._baseline = ResponseCounts()
        self._handed_over_at_us = 0
        self._last_channel_number = 0
        self._accept_task: Task | None = None

    @property
    def in_probation(self) -> bool:
        """Whether the new process serves and this one may still have to take over again."""
        return self.machine.phase in (
            old_process.Phase.COMMITTED,
            old_process.Phase.RECLAIMING,
            old_process.Phase.FENCING,
        )

    def listen(self) -> None:
        """Accept new processes, if the settings have a directory for the Unix socket."""
        self.gateway.sockets.bind("upgrade")
        if "upgrade" in self.gateway.sockets:
            self._accept_task = self.scope.spawn(self._accept, priority=CONTROL, name="hot restart")
            self.scope.spawn(self._sample_responses, priority=BACKGROUND, name="hot restart baseline")

    def _accept(self) -> None:
        listener = self.gateway.sockets["upgrade"]
        while True:
            try:
                stream = listener.accept()
            except ConnectionClosedError:
                return
            self._last_channel_number += 1
            channel = Channel(self.loop, stream, self._last_channel_number, self.scope)
            self.channels[channel.number] = channel
            self.scope.spawn(self._serve_channel, channel, priority=CONTROL, name="hot restart channel")

    def _sample_responses(self) -> None:
        while True:
            if self.machine.phase is old_process.Phase.SERVING:
                self._baseline_samples.append(count_responses(self.gateway.metrics))
            self.loop.sleep(BASELINE_INTERVAL_US)

    def _serve_channel(self, channel: Channel) -> None:
        try:
            try:
                for message in channel.received():
                    self._receive(channel, message)
            except (messages.ProtocolError, *INVALID_STATE_ERRORS) as error:
                self.feed(old_process.FailureDetected(channel.number, f"garbage: {error}"))
                channel.discard_until_closed()
            self.feed(old_process.ChannelClosed(channel.number))
        finally:
            self.channels.pop(channel.number, None)
            channel.close()

    def feed(self, event: old_process.Event) -> None:
        """Feed an event to the state machine and carry out its actions."""
        previous = self.machine.phase
        actions = self.machine.handle(self.loop.now(), event)
        phase = self.machine.phase
        if phase is not previous:
            outcome = self.machine.last_outcome
            self.gateway.log.info(
                "hot restart phase changed",
                phase=phase.value,
                previous_phase=previous.value,
                last_outcome=outcome,
            )
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
                    self._hand_over, self.channels[action.channel], priority=CONTROL, name="hand over"
                )
            case old_process.SendReclaim():
                self.channels[action.channel].send(messages.Reclaim(action.reason))
            case old_process.KillNewProcess():
                self.channels[action.channel].stream.kill_peer()
            case old_process.Release():
                self._release(self.channels[action.channel])
            case _:
                self._carry_out_without_channel(action)

    def _carry_out_without_channel(self, action: old_process.Action) -> None:
        """Carry out an action that does not use a channel."""
        match action:
            case old_process.ResumeServing():
                self._resume_serving()
            case old_process.AnswerOrphanedClients():
                self.clients.respond_to_orphans()
            case old_process.SetTimer():
                fire_at_us = self.loop.now() + action.delay_us
                self.loop.call_at(fire_at_us, lambda _: self.feed(old_process.TimerFired()))
            case old_process.Exit():
                pass  # ``GatewayProcess.run`` ends after the drain

    def _reject(self, action: old_process.Reject) -> None:
        self._state.cancel(action.channel)
        channel = self.channels.get(action.channel)
        if channel is not None:
            channel.send(messages.Abort(action.reason))
            self.scope.spawn(self._close_flushed, channel, priority=CONTROL, name="reject new process")

    def _close_flushed(self, channel: Channel) -> None:
        with contextlib.suppress(DeadlineExceededError):
            channel.flush()
        channel.close()

    # -- messages from the new process and from the command line

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
                self.gateway.log.info(
                    "hot restart: new process serving", pause_ms=self.handover_pause_us / 1_000
                )
                self.feed(old_process.StartedReceived(channel))
            case messages.Heartbeat():
                self.new_process_numbers = LastUsedNumbers(message.datagram_sequence, message.last_request_id)
                responses = ResponseCounts(message.served, message.rejected, message.failed)
                self.feed(old_process.HeartbeatReceived(channel, responses, self._baseline))
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
        """Return the status that the commands ``upgrade`` and ``roll`` request."""
        responses = count_responses(self.gateway.metrics)
        return messages.Status(
            self.machine.phase.value,
            recording.build_name(),
            self.loop.backend.process_id(),
            self.machine.last_outcome,
            *responses,
        )

    # -- handover

    def _offer(self, channel: Channel) -> None:
        try:
            self._state.offer(channel)
        except DeadlineExceededError:
            self.feed(old_process.FailureDetected(channel.number, "it does not read"))

    def _hand_over(self, channel: Channel) -> None:
        """Copy the changes, then send the rest at once, so that the policy decides nothing in between."""
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
        self.new_process_numbers = LastUsedNumbers(
            gateway.sequence, gateway.policy_driver.last_request_number
        )
        self._state.complete(channel, copy)
        self.new_process_units = NewProcessUnits(channel)
        gateway.delegate_units(self.new_process_units)
        gateway.stop_accepting(
            lambda connection: self.clients.hand_over_http(channel, connection),
            lambda session: self.clients.hand_over_resp(channel, session),
        )

    def _take_baseline(self) -> ResponseCounts:
        """Return the responses since the oldest sample, or all of them if there were none since."""
        total = count_responses(self.gateway.metrics)
        since_oldest = total.since(self._baseline_samples[0]) if self._baseline_samples else total
        return since_oldest if since_oldest.total else total

    # -- after probation

    def _resume_serving(self) -> None:
        gateway = self.gateway
        forfeit_ceiling_tokens(gateway.policy_driver.gateway)
        last_used = self.new_process_numbers
        gateway.sequence = last_used.datagram_sequence + SKIPPED_NUMBERS
        gateway.policy_driver.last_request_number = (
            max(gateway.policy_driver.last_request_number, last_used.last_request_id) + SKIPPED_NUMBERS
        )
        gateway.resume_serving()
        self.new_process_units = None
        self.clients.take_back_idle()

    def _release(self, channel: Channel) -> None:
        if self._accept_task is not None:
            self.loop.cancel(self._accept_task)
        channel.send(messages.Release())
        self.clients.release_all()
        self.gateway.sockets.close()  # a listener kept open here would outlive the new process's
        self.gateway.stopping = True

    def finish(self) -> None:
        """Report the end of the drain, and wait until all queued messages are sent."""
        self.feed(old_process.Drained())
        for channel in list(self.channels.values()):
            with contextlib.suppress(DeadlineExceededError):
                channel.flush()


def _identity(gateway: ServedGateway) -> GatewayIdentity:
    fleet = gateway.fleet
    return GatewayIdentity(gateway.entry.name, gateway.rank, len(fleet.gateways), tuple(fleet.plans))


def _timeouts(gateway: ServedGateway) -> old_process.Timeouts:
    settings = gateway.fleet.hot_restart
    silence_timeout_us = int(settings.silence_timeout_us)
    return old_process.Timeouts(
        copy_us=int(settings.transfer_timeout_us),
        start_us=silence_timeout_us,
        heartbeat_us=silence_timeout_us,
        probation_us=int(settings.probation_us),
    )
