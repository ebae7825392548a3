"""Hosts the decision module: tells it what happens and carries out what it decides. Decides nothing."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING, Protocol

from orchidlane import policy
from orchidlane.gateway.forwarding.pending_request import Answer, Exchange
from orchidlane.gateway.forwarding.protocol_adapter import Clients, QuotaOwner
from orchidlane.gateway.telemetry.counters import GatewayCounters
from orchidlane.policy.gateway import Gateway
from orchidlane.runtime import Loop

if TYPE_CHECKING:
    from orchidlane.gateway.forwarding.connection_pool import AttemptRun


class TrafficRecorder(Protocol):
    """Records what the module is told and answers."""

    def record_event(self, now: int, event: policy.Event, actions: list[policy.Action]) -> None:
        """One event with the module's actions."""

    def record_response(self, request: int, status: int, kind: str, duration_us: int) -> None:
        """What a client was answered, so many microseconds after its first byte."""

    def finish(self) -> None:
        """The gateway ends: write what has gathered."""


class Lent(Protocol):
    """Asks the process that decides on units in our place."""

    def take(self, customer: QuotaOwner, units: float, kind: int) -> bool:
        """Ask for units; waits for the answer. No answer is a no."""


class Host:
    """One decision module and the exchanges that it knows.

    ``begin`` starts an attempt, ``tell`` sends bytes to a peer, ``ask_list`` follows the node list. They must
    not feed events within the call: an action is carried out before the next event is told.
    """

    def __init__(
        self,
        loop: Loop,
        settings: policy.Settings,
        rules: Gateway,
        metrics: GatewayCounters,
        clients: Clients,
        begin: Callable[[Exchange, int, policy.SendAttempt], None],
        tell: Callable[[int, bytes], None],
    ) -> None:
        self.loop = loop
        self.settings = settings
        self.metrics = metrics
        self.clients = clients
        self.begin = begin
        self.tell = tell
        self.exchanges: dict[int, Exchange] = {}
        self.runs: dict[tuple[int, int], AttemptRun] = {}  # attempts that are out
        self.rules = rules
        self.recorder: TrafficRecorder | None = None
        self.numbers = 0  # of the latest request
        self.lent: Lent | None = None  # our successor decides on units from the moment that it serves
        self.spent: Callable[[int], None] | None = None  # told of each customer whose count has just grown
        self.contain: Callable[[str, Exception], None] | None = None  # is told of failures, which end there
        self._feeding = False
        self._granted: bool | None = None  # the answer to the take that is being fed
        self._taking = -1  # its customer

    def start(self) -> None:
        """The module's first actions."""
        self._carry_out(self.rules.start())

    def go_on_with(self, rules: Gateway, number: int) -> None:
        """Host a module that another process of this gateway hosted, and number requests on from there."""
        self.rules, self.numbers = rules, number

    def feed(self, event: policy.Event) -> None:
        """Tell the module one event and carry out its answer."""
        assert not self._feeding, "an action fed an event"
        self._feeding = True
        try:
            now = self.loop.now()
            actions = self.rules.handle(now, event)
            if self.recorder is not None:
                self.recorder.record_event(now, event, actions)
            self._carry_out(actions)
        except Exception as wrong:
            if self.contain is None:
                raise
            self.contain("module", wrong)
            if isinstance(event, policy.RequestArrived):
                self._answer(event.request, self.clients.failed())
        finally:
            self._feeding = False

    def next_number(self) -> int:
        """A request id that was not used in this life."""
        self.numbers += 1
        return self.numbers

    def take(self, customer: QuotaOwner, units: float, kind: int) -> bool:
        """Ask for units without a node; the module answers at once, our successor's after a while."""
        if self.lent is not None:
            return self.lent.take(customer, units, kind)
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

    def arrived(self, exchange: Exchange, time_left: int) -> None:
        """A request was read as far as its head."""
        call = exchange.call
        self.exchanges[exchange.number] = exchange
        self.feed(
            policy.RequestArrived(
                request=exchange.number,
                customer=call.customer,
                plan=call.plan,
                request_class=call.kind,
                units=call.units,
                time_left_us=time_left,
                replica_set_start=call.replica_set_start,
                replica_set_size=call.replica_set_size,
                is_retry=call.is_repeat,
            )
        )

    def ended(
        self,
        exchange: Exchange,
        attempt: int,
        server: bytes,
        outcome: policy.Outcome,
        took: int,
        report: tuple[float, ...] = (),
        answer: Answer | None = None,
    ) -> None:
        """An attempt has its outcome; a served one brings the answer, which ends the request."""
        self.runs.pop((exchange.number, attempt), None)
        self.metrics.count_outcome(outcome)
        if answer is not None:
            self._finish(exchange, answer)
        answered = exchange.answer is not None or exchange.gone
        self.feed(
            policy.AttemptEnded(exchange.number, attempt, server, outcome, took, answered, 0, 0.0, report)
        )

    def client_gone(self, exchange: Exchange) -> None:
        """The client left before its answer."""
        if exchange.answer is None and not exchange.gone:
            exchange.gone = True
            self._over(exchange)
            self.feed(policy.ClientDisconnected(exchange.number))

    def overdue(self, exchange: Exchange) -> None:
        """A request's time is up and no answer came: guards against anything that held it up."""
        if exchange.answer is None and not exchange.gone:
            self._finish(exchange, self.clients.failed())
            self.feed(policy.ClientDisconnected(exchange.number))

    def _finish(self, exchange: Exchange, answer: Answer) -> None:
        """The one place where a request gets its final answer."""
        if exchange.answer is None and not exchange.gone:
            exchange.answer = answer
            self._over(exchange)
            self.loop.wake(exchange.task)

    def _over(self, exchange: Exchange) -> None:
        self.exchanges.pop(exchange.number, None)
        self.clients.over(exchange)

    # -- actions

    def _carry_out(self, actions: list[policy.Action]) -> None:
        for action in actions:
            match action:
                case policy.SendAttempt():
                    self._send(action)
                case policy.SetTimer():
                    self.loop.call_at(self.loop.now() + action.delay_us, self._fired, action.token)
                case policy.SendPeerMessage():
                    if self.lent is None:  # peers see one gateway
                        self.tell(action.peer, action.body)
                case policy.GrantQuota():
                    self._granted = True
                    if self.spent is not None:
                        self.spent(self._taking)
                case policy.RejectRequest():
                    self._granted = False
                    self._answer(action.request, self.clients.refused(action))
                case policy.FailRequest():
                    self._answer(action.request, self.clients.failed())
                case policy.CancelAttempt():
                    self._cancel(action)
                case policy.WatchEndpoints() | policy.FetchEndpoints():
                    pass  # the list is watched from the start
                case policy.CheckHealth():
                    raise AssertionError("the module was told that it may not probe")

    def _send(self, action: policy.SendAttempt) -> None:
        exchange = self.exchanges[action.request]
        if self.spent is not None and not exchange.sends:
            self.spent(exchange.call.customer)
        number = exchange.sends
        exchange.sends += 1
        self.begin(exchange, number, action)
        self.loop.wake(exchange.task)  # a client that waits for 100 Continue may go on

    def _fired(self, token: int) -> None:
        self.feed(policy.TimerFired(token))

    def _answer(self, request: int, answer: Answer) -> None:
        exchange = self.exchanges.get(request)
        if exchange is not None:
            self._finish(exchange, answer)

    def _cancel(self, action: policy.CancelAttempt) -> None:
        """The request has ended, and its exchange with it, but its attempts are still known by their runs."""
        run = self.runs.get((action.request, action.attempt))
        if run is not None:
            run.cancel()
