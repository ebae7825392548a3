"""Drives the policy: passes events to it and carries out its actions, without decisions of its own."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from orchidlane import policy
from orchidlane.gateway.forwarding.call import QuotaOwner
from orchidlane.gateway.forwarding.client_response import ClientResponse
from orchidlane.gateway.forwarding.pending_request import PendingRequest
from orchidlane.gateway.forwarding.protocol_adapter import ClientAdapter
from orchidlane.policy.gateway import Gateway
from orchidlane.runtime import EventLoop


class RemoteQuota(Protocol):
    """The new process of a hot restart, which grants units in place of the old one."""

    def take(self, customer: QuotaOwner, units: float, kind: int) -> bool:
        """Request units and return whether they are granted; without a reply they are not."""


class RunningAttempt(Protocol):
    """An attempt that can be cancelled."""

    def cancel(self) -> None:
        """Stop the attempt, which closes the connection to the endpoint."""


class OutcomeCounter(Protocol):
    """Counts outcomes of attempts, and malformed requests."""

    malformed: int

    def count_outcome(self, outcome: policy.Outcome, /) -> None:
        """Count an attempt that finished."""


class EventRecorder(Protocol):
    """Records the policy's events and actions."""

    def record_event(self, now: int, event: policy.Event, actions: list[policy.Action], /) -> None:
        """Record an event with the actions that the policy responded with."""

    def record_response(self, request: int, status: int, kind: str, took_us: int, /) -> None:
        """Record a final response."""

    def finish(self) -> None:
        """Write what is still buffered; called before the gateway exits."""


class PolicyDriver:
    """The policy of one gateway and its pending requests.

    ``start_attempt`` starts an attempt, ``send_to_peer`` sends bytes to a peer. Neither may feed an event
    while it is called: all actions of an event are carried out before the next event. ``on_units_spent`` is
    called with the number of each customer whose spent units grow. ``on_failure`` is called with the failed
    part and each exception that is handled here; without it, exceptions are raised. While ``remote_quota`` is
    set, another process grants units.
    """

    def __init__(
        self,
        loop: EventLoop,
        settings: policy.Settings,
        gateway: Gateway,
        metrics: OutcomeCounter,
        clients: ClientAdapter,
        start_attempt: Callable[[PendingRequest, int, policy.SendAttempt], None],
        send_to_peer: Callable[[int, bytes], None],
    ) -> None:
        self.loop = loop
        self.settings = settings
        self.metrics = metrics
        self.clients = clients
        self.start_attempt = start_attempt
        self.send_to_peer = send_to_peer
        self.requests: dict[int, PendingRequest] = {}
        self.attempts: dict[tuple[int, int], RunningAttempt] = {}  # by request and attempt number
        self.gateway = gateway
        self.recorder: EventRecorder | None = None
        self.last_request_number = 0
        self.remote_quota: RemoteQuota | None = None
        self.on_units_spent: Callable[[int], None] | None = None
        self.on_failure: Callable[[str, Exception], None] | None = None
        self._is_feeding = False
        self._is_granted: bool | None = None  # the decision on the quota request that is being fed
        self._quota_customer = -1  # the customer's number of that quota request

    def start(self) -> None:
        """Carry out the policy's first actions."""
        self._carry_out(self.gateway.start())

    def resume(self, gateway: Gateway, number: int) -> None:
        """Continue with the policy of another process, whose last request had this number."""
        self.gateway = gateway
        self.last_request_number = number

    def feed(self, event: policy.Event) -> None:
        """Pass an event to the policy and carry out its actions."""
        assert not self._is_feeding, "an event was fed while the actions of another one are carried out"
        self._is_feeding = True
        try:
            now = self.loop.now()
            actions = self.gateway.handle(now, event)
            if self.recorder is not None:
                self.recorder.record_event(now, event, actions)
            self._carry_out(actions)
        except Exception as error:
            if self.on_failure is None:
                raise
            self.on_failure("module", error)
            if isinstance(event, policy.RequestArrived):
                self._respond(event.request, self.clients.failed())
        finally:
            self._is_feeding = False

    def next_number(self) -> int:
        """Return the next unused request number of this gateway."""
        self.last_request_number += 1
        return self.last_request_number

    def request_quota(self, customer: QuotaOwner, units: float, class_index: int) -> bool:
        """Request units without forwarding a request; return whether they are granted.

        The policy decides at once; where another process grants units, this waits for its reply.
        """
        if self.remote_quota is not None:
            return self.remote_quota.take(customer, units, class_index)
        event = policy.QuotaRequested(
            self.next_number(),
            customer.number,
            customer.plan,
            class_index,
            units,
            customer.replica_set_start,
            customer.replica_set_size,
        )
        self._is_granted = None
        self._quota_customer = customer.number
        self.feed(event)
        assert self._is_granted is not None, "the policy made no decision on a quota request"
        return self._is_granted

    # -- events of pending requests

    def request_arrived(self, request: PendingRequest, time_left_us: int) -> None:
        """Notify the policy of a request whose head, at least, was read."""
        call = request.call
        self.requests[request.number] = request
        self.feed(
            policy.RequestArrived(
                request=request.number,
                customer=call.customer,
                plan=call.plan,
                request_class=call.class_index,
                units=call.units,
                time_left_us=time_left_us,
                replica_set_start=call.replica_set_start,
                replica_set_size=call.replica_set_size,
                is_retry=call.is_retry,
            )
        )

    def attempt_finished(
        self,
        request: PendingRequest,
        attempt: int,
        endpoint: bytes,
        outcome: policy.Outcome,
        took_us: int,
        load_report: tuple[float, ...] = (),
        response: ClientResponse | None = None,
    ) -> None:
        """Notify the policy of an attempt's outcome; a response finishes the request."""
        self.attempts.pop((request.number, attempt), None)
        self.metrics.count_outcome(outcome)
        if response is not None:
            self._finish(request, response)
        is_finished = request.response is not None or request.client_disconnected
        self.feed(
            policy.AttemptFinished(
                request.number, attempt, endpoint, outcome, took_us, is_finished, 0, 0.0, load_report
            )
        )

    def client_disconnected(self, request: PendingRequest) -> None:
        """Notify the policy of a client that left before its response."""
        if request.response is None and not request.client_disconnected:
            request.client_disconnected = True
            self._forget(request)
            self.feed(policy.ClientDisconnected(request.number))

    def fail_overdue(self, request: PendingRequest) -> None:
        """Fail a request that has no response by its deadline, whatever delays it."""
        if request.response is None and not request.client_disconnected:
            self._finish(request, self.clients.failed())
            self.feed(policy.ClientDisconnected(request.number))

    def _finish(self, request: PendingRequest, response: ClientResponse) -> None:
        """Set the final response, unless the request is finished. Nothing else may set it."""
        if request.response is None and not request.client_disconnected:
            request.response = response
            self._forget(request)
            self.loop.wake(request.task)

    def _forget(self, request: PendingRequest) -> None:
        self.requests.pop(request.number, None)
        self.clients.request_ended(request)

    # -- actions

    def _carry_out(self, actions: list[policy.Action]) -> None:
        for action in actions:
            match action:
                case policy.SendAttempt():
                    self._send_attempt(action)
                case policy.SetTimer():
                    self.loop.call_at(self.loop.now() + action.delay_us, self._timer_fired, action.token)
                case policy.SendPeerMessage():
                    if self.remote_quota is None:  # only one process of a gateway sends to peers
                        self.send_to_peer(action.peer, action.body)
                case policy.GrantQuota() | policy.RejectRequest() | policy.FailRequest():
                    self._carry_out_decision(action)
                case policy.CancelAttempt():
                    self._cancel_attempt(action)
                case policy.WatchEndpoints() | policy.FetchEndpoints():
                    pass  # the gateway watches the endpoint list from its start
                case policy.CheckHealth():
                    raise AssertionError("the settings do not permit health checks")

    def _carry_out_decision(
        self, decision: policy.GrantQuota | policy.RejectRequest | policy.FailRequest
    ) -> None:
        match decision:
            case policy.GrantQuota():
                self._is_granted = True
                if self.on_units_spent is not None:
                    self.on_units_spent(self._quota_customer)
            case policy.RejectRequest():
                self._is_granted = False
                self._respond(decision.request, self.clients.rejected(decision))
            case policy.FailRequest():
                self._respond(decision.request, self.clients.failed())

    def _send_attempt(self, action: policy.SendAttempt) -> None:
        request = self.requests[action.request]
        if self.on_units_spent is not None and not request.attempts:
            self.on_units_spent(request.call.customer)
        number = request.attempts
        request.attempts += 1
        self.start_attempt(request, number, action)
        self.loop.wake(request.task)  # sends 100 Continue to a client that waits for it

    def _timer_fired(self, token: int) -> None:
        self.feed(policy.TimerFired(token))

    def _respond(self, number: int, response: ClientResponse) -> None:
        request = self.requests.get(number)
        if request is not None:
            self._finish(request, response)

    def _cancel_attempt(self, action: policy.CancelAttempt) -> None:
        """Cancel an attempt, even if its request is already finished."""
        attempt = self.attempts.get((action.request, action.attempt))
        if attempt is not None:
            attempt.cancel()
