"""Hosts the decision module: tells it what happens and carries out what it decides. Decides nothing."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING, Protocol

from orchidlane import policy
from orchidlane.gateway.forwarding.call import QuotaOwner
from orchidlane.gateway.forwarding.pending_request import ClientResponse, PendingRequest
from orchidlane.gateway.forwarding.protocol_adapter import ClientAdapter
from orchidlane.gateway.telemetry.counters import Counts
from orchidlane.policy.gateway import Gateway
from orchidlane.runtime import Loop

if TYPE_CHECKING:
    from orchidlane.gateway.forwarding.connection_pool import Attempt
    from orchidlane.gateway.telemetry.traffic_recorder import Recorder


class RemoteQuota(Protocol):
    """Asks the process that decides on units in our place."""

    def take(self, customer: QuotaOwner, units: float, kind: int) -> bool:
        """Ask for units; waits for the answer. No answer is a no."""


class PolicyDriver:
    """One decision module and the exchanges that it knows.

    ``begin`` starts an attempt, ``tell`` sends bytes to a peer, ``ask_list`` follows the node list. They must
    not feed events within the call: an action is carried out before the next event is told.
    """

    def __init__(
        self,
        loop: Loop,
        settings: policy.Settings,
        rules: Gateway,
        metrics: Counts,
        clients: ClientAdapter,
        begin: Callable[[PendingRequest, int, policy.SendAttempt], None],
        tell: Callable[[int, bytes], None],
    ) -> None:
        self.loop = loop
        self.settings = settings
        self.metrics = metrics
        self.clients = clients
        self.begin = begin
        self.tell = tell
        self.requests: dict[int, PendingRequest] = {}
        self.attempts: dict[tuple[int, int], Attempt] = {}  # attempts that are out
        self.gateway = rules
        self.recorder: Recorder | None = None
        self.last_request_number = 0  # of the latest request
        self.remote_quota: RemoteQuota | None = (
            None  # our successor decides on units from the moment that it serves
        )
        self.on_units_spent: Callable[[int], None] | None = (
            None  # told of each customer whose count has just grown
        )
        self.on_failure: Callable[[str, Exception], None] | None = (
            None  # is told of failures, which end there
        )
        self._feeding = False
        self._granted: bool | None = None  # the answer to the take that is being fed
        self._taking = -1  # its customer

    def start(self) -> None:
        """The module's first actions."""
        self._carry_out(self.gateway.start())

    def resume(self, rules: Gateway, number: int) -> None:
        """Host a module that another process of this gateway hosted, and number requests on from there."""
        self.gateway, self.last_request_number = rules, number

    def feed(self, event: policy.Event) -> None:
        """Tell the module one event and carry out its answer."""
        assert not self._feeding, "an action fed an event"
        self._feeding = True
        try:
            now = self.loop.now()
            actions = self.gateway.handle(now, event)
            if self.recorder is not None:
                self.recorder.event(now, event, actions)
            self._carry_out(actions)
        except Exception as wrong:
            if self.on_failure is None:
                raise
            self.on_failure("module", wrong)
            if isinstance(event, policy.RequestArrived):
                self._answer(event.request, self.clients.failed())
        finally:
            self._feeding = False

    def next_number(self) -> int:
        """A request id that was not used in this life."""
        self.last_request_number += 1
        return self.last_request_number

    def request_quota(self, customer: QuotaOwner, units: float, kind: int) -> bool:
        """Ask for units without a node; the module answers at once, our successor's after a while."""
        if self.remote_quota is not None:
            return self.remote_quota.take(customer, units, kind)
        number = self.next_number()
        taken = policy.QuotaRequested(
            number,
            customer.number,
            customer.plan,
            kind,
            units,
            customer.replica_set_start,
            customer.replica_set_size,
        )
        self._granted, self._taking = None, customer.number
        self.feed(taken)
        assert self._granted is not None, "a take without an answer"
        return self._granted

    # -- a request's events

    def request_arrived(self, exchange: PendingRequest, time_left: int) -> None:
        """A request was read as far as its head."""
        call = exchange.call
        self.requests[exchange.number] = exchange
        self.feed(
            policy.RequestArrived(
                request=exchange.number,
                customer=call.customer,
                plan=call.plan,
                request_class=call.class_index,
                units=call.units,
                time_left_us=time_left,
                replica_set_start=call.replica_set_start,
                replica_set_size=call.replica_set_size,
                is_retry=call.is_retry,
            )
        )

    def attempt_ended(
        self,
        exchange: PendingRequest,
        attempt: int,
        server: bytes,
        outcome: policy.Outcome,
        took: int,
        report: tuple[float, ...] = (),
        answer: ClientResponse | None = None,
    ) -> None:
        """An attempt has its outcome; a served one brings the answer, which ends the request."""
        self.attempts.pop((exchange.number, attempt), None)
        self.metrics.outcome(outcome)
        if answer is not None:
            self._finish(exchange, answer)
        answered = exchange.response is not None or exchange.client_disconnected
        self.feed(
            policy.AttemptEnded(exchange.number, attempt, server, outcome, took, answered, 0, 0.0, report)
        )

    def client_disconnected(self, exchange: PendingRequest) -> None:
        """The client left before its answer."""
        if exchange.response is None and not exchange.client_disconnected:
            exchange.client_disconnected = True
            self._over(exchange)
            self.feed(policy.ClientDisconnected(exchange.number))

    def fail_overdue(self, exchange: PendingRequest) -> None:
        """A request's time is up and no answer came: guards against anything that held it up."""
        if exchange.response is None and not exchange.client_disconnected:
            self._finish(exchange, self.clients.failed())
            self.feed(policy.ClientDisconnected(exchange.number))

    def _finish(self, exchange: PendingRequest, answer: ClientResponse) -> None:
        """The one place where a request gets its final answer."""
        if exchange.response is None and not exchange.client_disconnected:
            exchange.response = answer
            self._over(exchange)
            self.loop.wake(exchange.task)

    def _over(self, exchange: PendingRequest) -> None:
        self.requests.pop(exchange.number, None)
        self.clients.request_ended(exchange)

    # -- actions

    def _carry_out(self, actions: list[policy.Action]) -> None:
        for action in actions:
            match action:
                case policy.SendAttempt():
                    self._send(action)
                case policy.SetTimer():
                    self.loop.call_at(self.loop.now() + action.delay_us, self._fired, action.token)
                case policy.SendPeerMessage():
                    if self.remote_quota is None:  # peers see one gateway
                        self.tell(action.peer, action.body)
                case policy.GrantQuota():
                    self._granted = True
                    if self.on_units_spent is not None:
                        self.on_units_spent(self._taking)
                case policy.RejectRequest():
                    self._granted = False
                    self._answer(action.request, self.clients.rejected(action))
                case policy.FailRequest():
                    self._answer(action.request, self.clients.failed())
                case policy.CancelAttempt():
                    self._cancel(action)
                case policy.WatchEndpoints() | policy.FetchEndpoints():
                    pass  # the list is watched from the start
                case policy.CheckHealth():
                    raise AssertionError("the module was told that it may not probe")

    def _send(self, action: policy.SendAttempt) -> None:
        exchange = self.requests[action.request]
        if self.on_units_spent is not None and not exchange.attempts:
            self.on_units_spent(exchange.call.customer)
        number = exchange.attempts
        exchange.attempts += 1
        self.begin(exchange, number, action)
        self.loop.wake(exchange.task)  # a client that waits for 100 Continue may go on

    def _fired(self, token: int) -> None:
        self.feed(policy.TimerFired(token))

    def _answer(self, request: int, answer: ClientResponse) -> None:
        exchange = self.requests.get(request)
        if exchange is not None:
            self._finish(exchange, answer)

    def _cancel(self, action: policy.CancelAttempt) -> None:
        """The request has ended, and its exchange with it, but its attempts are still known by their runs."""
        run = self.attempts.get((action.request, action.attempt))
        if run is not None:
            run.cancel()
