"""Checks the rules on the record of one incarnation of a gateway, entry by entry."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import NamedTuple

from orchidlane import policy
from orchidlane.policy import (
    DeduplicationScope,
    EndpointListKind,
    EndpointState,
    Idempotency,
    Outcome,
)
from orchidlane.recording.audit_findings import Findings, Violation
from orchidlane.recording.segment_reader import Entry
from orchidlane.recording.segments import Header

NOT_EXECUTED_OUTCOMES = (Outcome.ENDPOINT_FULL, Outcome.CONNECT_FAILED, Outcome.NOT_SENT)
# A gateway that records no entry for longer than this was stalled: its gossip rounds are more frequent.
STALL_US = 1_000_000


@dataclass(slots=True)
class SentAttempt:
    """An attempt that a gateway sent for a request."""

    sent_at_us: int
    endpoint: bytes
    possibly_executed: bool = True


@dataclass(slots=True)
class OpenRequest:
    """A request without a final response so far, with its attempts."""

    event: policy.RequestArrived
    deadline_at_us: int
    attempts: list[SentAttempt] = field(default_factory=list)

    @property
    def possibly_executed(self) -> list[SentAttempt]:
        """The attempts that may have been executed."""
        return [attempt for attempt in self.attempts if attempt.possibly_executed]


class _EndpointStatus(NamedTuple):
    """An endpoint's state, and when it last became ready or stopped being ready."""

    state: EndpointState
    since_us: int


class _Location(NamedTuple):
    """Where an endpoint runs."""

    zone: int
    cell: int


class _Stall(NamedTuple):
    """A period without entries."""

    from_us: int
    until_us: int


class IncarnationAudit:
    """Checks one incarnation of one gateway; violations and counts are added to ``findings``."""

    def __init__(self, header: Header, findings: Findings, sent_attempts: set[str] | None) -> None:
        """Start from a header; the names of attempts are added to ``sent_attempts`` unless that is None."""
        incarnation = int(header.context.get("incarnation", header.started_at_us))
        self.settings = header.policy_settings()
        self.name = f"{header.gateway}-{incarnation:x}"
        self.open_requests: dict[int, OpenRequest] = {}
        self._findings = findings
        self._sent_attempts = sent_attempts
        self._statuses: dict[bytes, _EndpointStatus] = {}
        self._locations: dict[bytes, _Location] = {}
        self._now = header.written_at_us
        # The part of the client's timeout that the gateway reserves for sending the response.
        self._client_margin_us = int(header.context.get("client_margin", 0))
        self._last_stall = _Stall(0, 0)
        self._read_endpoints(header)

    def _read_endpoints(self, header: Header) -> None:
        """Add the endpoints that the header lists: the policy may have them before its first event."""
        for entry, _, _, listed in header.state.endpoints:
            if listed:
                location = _Location(zone=entry[2], cell=entry[3])
                self._set_status(bytes(entry[0]), EndpointState(entry[1]), location, header.started_at_us)

    def _set_status(self, endpoint: bytes, state: EndpointState, location: _Location, now: int) -> None:
        self._locations[endpoint] = location
        previous = self._statuses.get(endpoint)
        if previous is None or (previous.state is EndpointState.READY) != (state is EndpointState.READY):
            self._statuses[endpoint] = _EndpointStatus(state, now)

    def feed(self, entry: Entry) -> None:
        """Check one entry; entries must be fed in order of time."""
        now = entry.at_us
        if now > self._now + STALL_US:
            self._last_stall = _Stall(self._now, now)
        self._now = now
        if entry.event is None:
            return
        self._findings.events += 1
        self._check_event(entry.event, now)
        for action in entry.actions:
            self._check_action(action, entry.event, now)

    def _check_event(self, event: policy.Event, now: int) -> None:
        match event:
            case policy.RequestArrived():
                self._findings.requests += 1
                deadline_at_us = now + event.time_left_us + self._client_margin_us
                self.open_requests[event.request] = OpenRequest(event, deadline_at_us)
            case policy.EndpointListReceived():
                self._apply_endpoint_list(event, now)
            case policy.AttemptFinished():
                self._finish_attempt(event, now)
            case policy.ClientDisconnected():
                self.open_requests.pop(event.request, None)

    def _check_action(self, action: policy.Action, event: policy.Event, now: int) -> None:
        match action:
            case policy.SendAttempt():
                self._check_send(action, now)
            case policy.RejectRequest() | policy.FailRequest():
                if not isinstance(event, policy.QuotaRequested):
                    self._check_final_response(action, now)

    def _apply_endpoint_list(self, event: policy.EndpointListReceived, now: int) -> None:
        if event.kind is EndpointListKind.FAILED:
            return
        if event.kind is not EndpointListKind.DELTA:
            listed = {entry.endpoint for entry in event.entries}
            removed = [endpoint for endpoint in self._statuses if endpoint not in listed]
            for endpoint in removed:
                self._set_status(endpoint, EndpointState.GONE, self._locations[endpoint], now)
        for entry in event.entries:
            self._set_status(entry.endpoint, entry.state, _Location(entry.zone, entry.cell), now)

    def _finish_attempt(self, event: policy.AttemptFinished, now: int) -> None:
        request = self.open_requests.get(event.request)
        if request is None:
            return
        if event.attempt < len(request.attempts):
            possibly_executed = event.outcome not in NOT_EXECUTED_OUTCOMES
            request.attempts[event.attempt].possibly_executed = possibly_executed
        if event.outcome is Outcome.SERVED and event.final_response_sent:
            self._finish_request(event.request, request, now)

    def _finish_request(self, number: int, request: OpenRequest, now: int) -> None:
        self._findings.responses += 1
        del self.open_requests[number]
        if now <= request.deadline_at_us:
            return
        if self._last_stall.from_us <= request.deadline_at_us <= self._last_stall.until_us:
            self._findings.late_while_stalled += 1
        else:
            self._add_fault(Violation.LATE_RESPONSE, number)

    def _check_final_response(self, action: policy.RejectRequest | policy.FailRequest, now: int) -> None:
        request = self.open_requests.get(action.request)
        if request is None:
            self._add_fault(Violation.DOUBLE_RESPONSE, action.request)
            return
        rejected = isinstance(action, policy.RejectRequest)
        if rejected and request.possibly_executed and not is_safe_to_repeat(self._request_class(request)):
            self._add_fault(Violation.REJECTED_AFTER_EXECUTION, action.request)
        self._finish_request(action.request, request, now)

    def _check_send(self, action: policy.SendAttempt, now: int) -> None:
        request = self.open_requests.get(action.request)
        if request is None:
            self._add_fault(Violation.DOUBLE_RESPONSE, action.request)
            return
        if not self._may_retry(request, action, now):
            self._add_fault(Violation.UNSAFE_RETRY, action.request)
        status = self._statuses.get(action.endpoint, _EndpointStatus(EndpointState.GONE, 0))
        if status.state is not EndpointState.READY and now > status.since_us + self.settings.drain_grace_us:
            self._add_fault(Violation.SENT_AFTER_DRAIN, action.request)
        if self._sent_attempts is not None:
            self._sent_attempts.add(f"{self.name}-{action.request}-{len(request.attempts)}")
        request.attempts.append(SentAttempt(now, action.endpoint))

    def _may_retry(self, request: OpenRequest, action: policy.SendAttempt, now: int) -> bool:
        request_class = self._request_class(request)
        executed = request.possibly_executed
        if not executed or request_class.idempotency is Idempotency.IDEMPOTENT:
            return True
        if request_class.idempotency is Idempotency.NOT_IDEMPOTENT:
            return False
        if now > executed[0].sent_at_us + request_class.deduplication_window_us:
            return False
        scope = request_class.deduplication_scope
        return scope is DeduplicationScope.ALL or all(
            self._share_scope(attempt.endpoint, action.endpoint, scope) for attempt in executed
        )

    def _share_scope(self, first: bytes, second: bytes, scope: DeduplicationScope) -> bool:
        """Return whether two endpoints deduplicate requests together; True where one was never listed."""
        if first not in self._locations or second not in self._locations:
            return True
        first_location = self._locations[first]
        second_location = self._locations[second]
        if scope is DeduplicationScope.ZONE:
            return first_location.zone == second_location.zone
        return first_location.cell == second_location.cell

    def _request_class(self, request: OpenRequest) -> policy.RequestClass:
        return self.settings.classes[request.event.request_class]

    def _add_fault(self, violation: Violation, request: int) -> None:
        self._findings.add_fault(violation, f"{self.name}-{request}")

    def finish(self, now: int) -> None:
        """Finish the audit at the last entry's time.

        Requests without a final response are counted as in flight, or as missing a response where their
        deadline passed before.
        """
        self._findings.last_entry_at_us[self.name] = now
        for number, request in self.open_requests.items():
            if request.deadline_at_us < now:
                self._add_fault(Violation.MISSING_RESPONSE, number)
            else:
                self._findings.in_flight_at_end += 1


def is_safe_to_repeat(request_class: policy.RequestClass) -> bool:
    """Return whether a client may repeat a request at any gateway though it may have been executed."""
    if request_class.idempotency is Idempotency.IDEMPOTENT:
        return True
    has_key = request_class.idempotency is Idempotency.IDEMPOTENT_WITH_KEY
    return has_key and request_class.deduplication_scope is DeduplicationScope.ALL
