"""The new process's side of a hot restart; the state machine is ``orchidlane.hot_restart.new_process``.

The new process connects to the old process's Unix socket, receives the listeners and the state, runs a
self-check, and serves from the handover on. During probation it reports each step to the old process (see
``old_side``) before it takes it.
"""

from __future__ import annotations

import contextlib

from orchidlane import policy, recording
from orchidlane.gateway.control.customers import Customer
from orchidlane.gateway.control.settings_loader import hot_restart_address
from orchidlane.gateway.lifecycle.client_transfer import HTTP, RESP, ClientReturn, ConnectionReporter
from orchidlane.gateway.lifecycle.restart_channel import Channel
from orchidlane.gateway.lifecycle.served_gateway import ServedGateway, count_responses
from orchidlane.gateway.lifecycle.state_errors import INVALID_STATE_ERRORS
from orchidlane.hot_restart import messages, new_process
from orchidlane.hot_restart.tables import ReceivedTables, restore_policy
from orchidlane.policy.gateway import Gateway
from orchidlane.runtime import (
    CONTROL,
    Cancelled,
    ConnectionFailedError,
    DeadlineExceededError,
    Task,
    TaskGroup,
)
from orchidlane.runtime.backend import Handle, format_address

CONNECT_TIMEOUT_US = 5_000_000
DRAIN_POLL_INTERVAL_US = 10_000
SETTLED_PHASES = (new_process.Phase.PROBATION, new_process.Phase.INDEPENDENT, new_process.Phase.ENDED)


class NewSide:
    """Takes over serving from the old process of the same gateway."""

    def __init__(self, gateway: ServedGateway, scope: TaskGroup) -> None:
        self.gateway = gateway
        self.loop = gateway.loop
        self.scope = scope
        timeouts = new_process.Timeouts(copy_us=int(gateway.fleet.hot_restart.transfer_timeout_us))
        self.machine = new_process.NewProcess(timeouts)
        self.channel: Channel
        self.clients: ClientReturn
        self.sockets: dict[str, Handle] = {}
        self.expected_sockets: tuple[str, ...] = ()
        self.received_tables: ReceivedTables
        self.class_map: dict[int, int] = {}  # the old process's class index to this one's
        self.failure = ""  # why this process does not serve; empty while it may
        self._waiting_task: Task | None = None
        self._has_built_parts = False
        self._is_returning = False

    def await_serving(self) -> bool:
        """Connect, and wait until this process serves; if it can't, set ``failure`` and return False."""
        address = hot_restart_address(self.gateway.fleet, self.gateway.entry)
        if address is None:
            self.failure = (
                "the setting 'state' must name a directory: the old process listens on a Unix socket there"
            )
            return False
        try:
            stream = self.loop.backend.connect(address, self.loop.now() + CONNECT_TIMEOUT_US)
        except (ConnectionFailedError, DeadlineExceededError) as error:
            self.failure = f"cannot connect to the old process at {format_address(address)}: {error}"
            return False
        self.channel = Channel(self.loop, stream, 0, self.scope)
        self.clients = ClientReturn(self.gateway, self.channel)
        self.scope.spawn(self._serve_channel, priority=CONTROL, name="hot restart channel")
        self._carry_out_all(self.machine.start(self.loop.now()))
        self._waiting_task = self.loop.current
        while self.machine.phase not in SETTLED_PHASES:
            self.loop.park()
        self._waiting_task = None
        return not self.failure

    def _serve_channel(self) -> None:
        try:
            try:
                for message in self.channel.received():
                    self._receive(message)
            except (messages.ProtocolError, *INVALID_STATE_ERRORS) as error:
                self._fail(f"garbage: {type(error).__name__} {error}")
                self.channel.discard_until_closed()
            self.feed(new_process.ChannelClosed())
        except Cancelled:
            raise
        except Exception as error:  # a fault in this build: give up instead of hanging
            self._fail(f"{type(error).__name__}: {error}")
            raise

    def feed(self, event: new_process.Event) -> None:
        """Feed an event to the state machine and carry out its actions."""
        previous = self.machine.phase
        actions = self.machine.handle(self.loop.now(), event)
        phase = self.machine.phase
        if phase is not previous:
            self.gateway.log.info(
                "hot restart phase changed", phase=phase.value, previous_phase=previous.value
            )
        self._carry_out_all(actions)
        if self._waiting_task is not None:
            self.loop.wake(self._waiting_task)

    def _fail(self, reason: str) -> None:
        self.feed(new_process.FailureDetected(reason))

    def _carry_out_all(self, actions: list[new_process.Action]) -> None:
        for action in actions:
            self._carry_out(action)

    def _carry_out(self, action: new_process.Action) -> None:
        match action:
            case new_process.SendHello():
                self._send_hello()
            case new_process.RunSelfCheck():
                self._run_self_check()
            case new_process.SendReady():
                self.channel.send(messages.Ready())
            case new_process.SendHeartbeat():
                self._send_heartbeat()
            case new_process.Exit():
                self._exit(action.reason)
            case new_process.SetTimer():
                fire_at_us = self.loop.now() + action.delay_us
                self.loop.call_at(fire_at_us, lambda _: self.feed(new_process.TimerFired()))
            case _:
                self._change_serving(action)

    def _change_serving(self, action: new_process.Action) -> None:
        match action:
            case new_process.StartServing():
                self._start_probation()
            case new_process.ServeAlone():
                self._serve_alone(action.cold_start)
            case new_process.StopServing():
                self._stop_serving()
            case new_process.EndProbation():
                self._end_probation()

    def _exit(self, reason: str) -> None:
        self.failure = reason
        self.gateway.log.error("hot restart failed", reason=reason)
        self.channel.send(messages.Failure(reason))
        self.gateway.stopping = True
        self.scope.spawn(self._close, priority=CONTROL, name="close hot restart channel")

    def _close(self) -> None:
        with contextlib.suppress(DeadlineExceededError):
            self.channel.flush()
        self.channel.close()

    def _send_hello(self) -> None:
        gateway = self.gateway
        self.channel.send(
            messages.Hello(
                messages.PROTOCOL_VERSION,
                recording.build_name(),
                gateway.entry.name,
                gateway.rank,
                len(gateway.fleet.gateways),
                tuple(gateway.fleet.plans),
            )
        )

    def _send_heartbeat(self) -> None:
        gateway = self.gateway
        responses = count_responses(gateway.metrics)
        self.channel.send(
            messages.Heartbeat(*responses, gateway.sequence, gateway.policy_driver.last_request_number)
        )

    # -- messages of the old process

    def _receive(self, message: messages.AnyMessage) -> None:
        match message:
            case messages.Offer():
                self._receive_offer(message)
            case messages.InheritedSocket():
                self._receive_socket(message)
            case messages.TableRows():
                tables = self.received_tables
                tables.apply(message.table, message.rows, message.removed, self.loop.now())
            case messages.CopyComplete():
                self.feed(new_process.CopyCompleteReceived())
            case messages.FinalState():
                self._receive_final_state(message)
            case messages.Reclaim():
                self.feed(new_process.ReclaimReceived(message.reason))
            case messages.Release():
                self.feed(new_process.ReleaseReceived())
            case messages.Abort():
                self.feed(new_process.AbortReceived(message.reason))
            case _:
                self._receive_in_probation(message)

    def _receive_in_probation(self, message: messages.AnyMessage) -> None:
        """Receive a message about the old process's clients or about its requests in progress."""
        match message:
            case messages.ConnectionHandover():
                self.clients.adopt(message)
            case messages.UnitsRequest():
                self._receive_units_request(message)
            case messages.SendDatagram():
                self._send_datagram(message)
            case messages.GrantRecorded():
                self._record_grant(message)
            case _:
                self._fail("a message that only the new process may send")

    def _receive_offer(self, offer: messages.Offer) -> None:
        """Adopt the old process's clock and incarnation; load and check the configuration of this process."""
        gateway = self.gateway
        self.loop.backend.follow_clock(offer.clock_base_us)
        gateway.incarnation = offer.incarnation
        self.expected_sockets = offer.socket_names
        gateway.load_configuration(offer.generation + 1)
        gateway.build_parts(self.scope)
        self._has_built_parts = True
        self.received_tables = ReceivedTables(gateway.limit_service.token_owner, gateway.limit_service.grants)
        self.feed(new_process.OfferReceived())

    def _receive_socket(self, message: messages.InheritedSocket) -> None:
        handle = self.channel.stream.receive_handle()
        if handle is None:
            self._fail(f"the listener {message.name} got lost: no descriptor left?")
        else:
            self.sockets[message.name] = handle

    def _run_self_check(self) -> None:
        """Check that all sockets arrived, and that the policy of this build returns actions for a request."""
        missing = [name for name in self.expected_sockets if name not in self.sockets]
        if missing:
            return self._fail(f"these listeners did not come: {', '.join(missing)}")
        settings = self.gateway.policy_driver.settings
        gateway = Gateway(settings, 0, self.loop.now())
        deadline = settings.classes[0].deadline_us
        request = policy.RequestArrived(1, 1, 0, 0, 1.0, deadline, 0, 1, False)
        if not gateway.handle(self.loop.now(), request):
            return self._fail("its module makes nothing of a request")
        return self.feed(new_process.SelfCheckPassed())

    def _receive_final_state(self, final: messages.FinalState) -> None:
        """Restore the complete state of the old process: policy, limits, endpoints and peers."""
        gateway = self.gateway
        old_numbers = {name: number for number, name in enumerate(final.class_names)}
        names = gateway.configuration.generation.class_names
        self.class_map = {
            old_numbers[name]: number for number, name in enumerate(names) if name in old_numbers
        }
        old_classes = [old_numbers.get(name) for name in names]
        accounts = self.received_tables.accounts
        policy_gateway = restore_policy(
            gateway.policy_driver.settings, final.policy_state, accounts, old_classes
        )
        recording.track_accounts(policy_gateway)
        gateway.policy_driver.resume(policy_gateway, final.last_request_id)
        gateway.limit_service.load_state(final.limits)
        gateway.tracker.import_state(final.endpoints)
        gateway.inbox.load_peer_rows([tuple(row) for row in final.peers])
        gateway.sequence = final.datagram_sequence
        self.feed(new_process.FinalStateReceived())

    def _receive_units_request(self, request: messages.UnitsRequest) -> None:
        plan_names = tuple(self.gateway.fleet.plans)
        customer = Customer(
            request.customer,
            request.plan,
            plan_names[request.plan],
            request.replica_set_start,
            request.replica_set_size,
        )
        class_index = self.class_map.get(request.class_index)
        granted = (
            class_index is not None
            and not self._is_returning
            and self.gateway.policy_driver.request_quota(customer, request.units, class_index)
        )
        self.channel.send(messages.UnitsReply(request.request_id, granted))

    def _send_datagram(self, message: messages.SendDatagram) -> None:
        limits = self.gateway.limit_service
        if message.rank == self.gateway.rank:
            limits.receive(message.rank, message.body)
        else:
            self.gateway.send_limits_datagram(message.rank, message.body)

    def send_own_reply(self, body: bytes) -> None:
        """Send the reply of this process's token service to a token request of the old process."""
        self.channel.send(messages.PeerReply(self.gateway.rank, body))

    def _record_grant(self, grant: messages.GrantRecorded) -> None:
        reserved_us = None if grant.reserved_us < 0 else grant.reserved_us
        grants = self.gateway.limit_service.grants
        grants.add_grant(self.loop.now(), grant.name, grant.customer, grant.units, reserved_us)

    # -- probation

    def _start_probation(self) -> None:
        gateway = self.gateway
        gateway.http_server.observer = ConnectionReporter(self.channel, HTTP)
        gateway.resp_server.observer = ConnectionReporter(self.channel, RESP)
        gateway.policy_driver.on_units_spent = self._report_count
        gateway.limit_service.queries.on_foreign_reply = self._forward_reply
        gateway.sockets.adopt(self.sockets)
        gateway.start_serving(self.scope)
        self.channel.send(messages.Started())

    def _report_count(self, customer: int) -> None:
        """Report a count before its request is forwarded, as the old process may have to take over again."""
        policy_gateway = self.gateway.policy_driver.gateway
        account = policy_gateway.accounts[customer]
        incarnation, value = account.replica_counts[policy_gateway.replica]
        self.channel.send(messages.CustomerCount(customer, *account.key, incarnation, value))

    def _forward_reply(self, sender: int, body: bytes) -> None:
        self.channel.send(messages.PeerReply(sender, body))

    def _stop_reporting(self) -> None:
        gateway = self.gateway
        gateway.http_server.observer = None
        gateway.resp_server.observer = None
        gateway.policy_driver.on_units_spent = None

    def _end_probation(self) -> None:
        self._stop_reporting()
        if self.channel.closed:
            self.channel.stream.kill_peer()
        self.gateway.accept_hot_restarts()

    def _serve_alone(self, cold_start: bool) -> None:
        """Kill the old process if it still runs, and serve in its place."""
        gateway = self.gateway
        self.channel.stream.kill_peer()
        self._stop_reporting()
        self._is_returning = False
        if not cold_start:
            gateway.resume_serving()
        elif not self._has_built_parts or "http" not in self.sockets:
            self.failure = "the old process exited before it handed over its listeners"
            return
        else:
            # The old process's last sequence number and counts are unknown, so a new incarnation starts.
            gateway.incarnation = self.loop.now()
            gateway.sockets.adopt(self.sockets)
            gateway.start_serving(self.scope)
        gateway.accept_hot_restarts()

    # -- returning clients to the old process

    def _stop_serving(self) -> None:
        self._is_returning = True
        self.gateway.stop_accepting(self.clients.return_http, self.clients.return_resp)
        self.gateway.superseded = True
        self.channel.send(messages.ServingStopped())
        self.scope.spawn(self._await_drained, priority=CONTROL, name="drain before return")

    def _await_drained(self) -> None:
        while self.gateway.http_server.connections or self.gateway.resp_server.connections:
            self.loop.sleep(DRAIN_POLL_INTERVAL_US)
        self.feed(new_process.Drained())
