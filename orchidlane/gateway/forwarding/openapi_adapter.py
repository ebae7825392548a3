"""The OpenAPI side of the seam: operations and customers of a description, problems as JSON."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING
from urllib.parse import unquote_to_bytes

from orchidlane import http1, policy
from orchidlane.gateway.control.configuration import ConfigurationSnapshot
from orchidlane.gateway.control.customers import Customer
from orchidlane.gateway.control.endpoint_list import EndpointListTracker
from orchidlane.gateway.control.settings import FleetSettings
from orchidlane.gateway.control.settings_loader import parse_host_port
from orchidlane.gateway.forwarding.pending_request import Answer, Exchange
from orchidlane.gateway.forwarding.protocol_adapter import Call
from orchidlane.gateway.server.error_responses import HARMLESS, failed, problem, refused
from orchidlane.gateway.telemetry.counters import GatewayCounters
from orchidlane.http1 import Request, Response
from orchidlane.policy import Outcome
from orchidlane.routes import Match, Miss, Operation
from orchidlane.routes.generation import client_timeout_us
from orchidlane.runtime import Address

if TYPE_CHECKING:
    from orchidlane.gateway.forwarding.policy_driver import Host

DROPPED_MOST = 10_000  # operations whose dropped headers are remembered
VIA = b"1.1 "


@dataclass(frozen=True, slots=True, kw_only=True)
class OperationCall(Call):
    """A call of one operation by one customer."""

    match: Match
    by: Customer
    version: str = ""  # that it came under


def call_of(exchange: Exchange) -> OperationCall:
    """The call of an exchange of this side."""
    assert isinstance(exchange.call, OperationCall)
    return exchange.call


class OpenApiClients:
    """Heads by a description and its customers."""

    whole_first = False

    def __init__(
        self,
        fleet: FleetSettings,
        knowledge: Callable[[], ConfigurationSnapshot],
        host: Callable[[], Host],
        metrics: GatewayCounters,
        why_not: Callable[[], str] = str,
        note: Callable[[Exchange, Answer, int], None] | None = None,
    ) -> None:
        self.fleet = fleet
        self.knowledge = knowledge
        self.host = host
        self.metrics = metrics
        self.note = note  # is told of each final answer
        self.why_not = why_not  # requests may be served; "" where they may

    def understand(self, head: Request, in_flight: int) -> Call | Answer:
        """Operation, customer and patience of a request, or why there are none."""
        knowledge = self.knowledge()
        if why := self.why_not():
            return problem(503, f"Not served: {why}. {HARMLESS}", ((b"retry-after", b"1"),))
        generation = knowledge.generation
        match = generation.match(head.method, head.target)
        if isinstance(match, Miss):
            return _missed(match)
        operation = match.operation
        key = _key(head, match)
        customer = knowledge.customers.by_key(key) if key is not None else None
        if customer is None:
            return problem(401, "No key of a customer.", ((b"www-authenticate", b"ApiKey"),))
        if customer.migrating:
            detail = f"The subscriber's set of gateways is on the move. {HARMLESS}"
            return problem(503, detail, ((b"retry-after", b"1"),))
        cls = generation.classes[operation.class_index]
        if cls.idempotency is policy.Idempotency.IDEMPOTENT_WITH_KEY and not _has_key(head, match):
            return problem(400, "This operation needs an idempotency key.")
        patience = client_timeout_us(operation, head.headers, cls.deadline_us)
        if patience is None:
            return problem(400, "The time to give up after is no whole number of milliseconds.")
        if in_flight >= self.fleet.resource_limits.max_requests_in_flight:
            return problem(503, "Too many requests under way.", ((b"retry-after", b"1"),))
        return OperationCall(
            kind=operation.class_index,
            cls=cls,
            customer=customer.number,
            plan=customer.plan,
            units=operation.cost,
            replica_set_start=customer.replica_set_start,
            replica_set_size=customer.replica_set_size,
            patience=patience,
            target=_upstream_target(head.target, match),
            match=match,
            by=customer,
            version=knowledge.version,
        )

    def wrong(self, status: int, detail: str) -> Answer:
        """A problem."""
        return problem(status, detail)

    def refused(self, action: policy.RejectRequest) -> Answer:
        """429 beyond a quota, else 503."""
        return refused(action)

    def failed(self) -> Answer:
        """502: an effect can't be ruled out."""
        return failed()

    def answering(self, exchange: Exchange, answer: Answer, span: int) -> None:
        """Counts, the record, what is left of the quota, the log."""
        recorder = self.host().recorder
        self.metrics.count_response(answer.kind, call_of(exchange).match.operation.class_name, span)
        if recorder is not None:
            recorder.record_response(exchange.number, answer.status, answer.kind, span)
        self._add_figures(exchange, answer)
        if self.note is not None:
            self.note(exchange, answer, span)
        _log_response(self.knowledge(), exchange, answer, span)

    def over(self, exchange: Exchange) -> None:
        """Nothing is held for a request."""

    def _add_figures(self, exchange: Exchange, answer: Answer) -> None:
        """What is left of the quota (draft-ietf-httpapi-ratelimit-headers), where known; the version."""
        host, call = self.host(), call_of(exchange)
        customer = call.by
        if call.version:
            answer.headers.append((b"orchidlane-version", call.version.encode()))
        account = host.rules.accounts.get(customer.number)
        plan = host.settings.plans[customer.plan]
        if account is None or not plan.rate:
            return
        name = customer.plan_name.encode()
        room = max(0, int(account.remaining))
        span = max(1, int(plan.burst / plan.rate))
        answer.headers.append((b"ratelimit-policy", b'"%s";q=%d;w=%d' % (name, plan.burst, span)))
        answer.headers.append((b"ratelimit", b'"%s";r=%d' % (name, room)))


def _log_response(snapshot: ConfigurationSnapshot, exchange: Exchange, answer: Answer, span: int) -> None:
    """Log one line for a request if the settings ask for it; never a key, target or body."""
    if not snapshot.log_requests:
        return
    call = call_of(exchange)
    snapshot.log.info(
        "answered",
        request=exchange.number,
        customer=call.customer,
        operation=call.match.operation.name,
        **({"version": call.version} if call.version else {}),
        kind=answer.kind,
        status=answer.status,
        attempts=exchange.sends,
        ms=span / 1_000,
    )


class OpenApiNodes:
    """Attempts as a description's operations want them, outcomes by the settings' header names."""

    passes_hints = True
    passes_streams = True
    cut_short = Outcome.CONNECTION_BROKEN

    def __init__(
        self, fleet: FleetSettings, name: str, incarnation: int, tracker: EndpointListTracker
    ) -> None:
        self.tracker = tracker
        self.life = b"%s-%x" % (name.encode(), incarnation)
        self.via = VIA + name.encode()
        self.full_header = fleet.endpoints.rejection_header.lower().encode()
        self.report_header = fleet.endpoints.load_report_header.lower().encode()
        self.reports = fleet.endpoints.load_report_names
        self._dropped: dict[Operation, frozenset[bytes]] = {}

    def address(self, server: bytes) -> Address | None:
        """A node is named by its address."""
        return parse_host_port(server.decode())

    def phase(self, server: bytes) -> str:
        """By the list."""
        return self.tracker.state(server)

    def outcome(self, head: Response) -> Outcome:
        """A 503 with the header that the settings name never ran; any other 5xx may have."""
        if head.status < 500:
            return Outcome.SERVED
        full = head.status == 503 and http1.header(head.headers, self.full_header) is not None
        return Outcome.ENDPOINT_FULL if full else Outcome.ERROR

    def dropped(self, operation: Operation) -> frozenset[bytes]:
        """Headers of clients that nodes don't get: keys, and what each hop says for itself."""
        found = self._dropped.get(operation)
        if found is None:
            own = (b"content-length", b"host", b"expect", b"via", operation.give_up_header or b"")
            found = self._dropped[operation] = frozenset((*own, *operation.key_headers))
            if len(self._dropped) > 2 * DROPPED_MOST:
                self._dropped.clear()
        return found

    def head(self, exchange: Exchange, attempt: int, server: bytes, left: int) -> bytes:
        """The client's headers but for what is the hop's own, and ours."""
        call = call_of(exchange)
        operation = call.match.operation
        drop = self.dropped(operation)
        headers = [
            field
            for field in http1.end_to_end(exchange.head.headers)
            if field[0] not in drop and not field[0].startswith(b"orchidlane-")
        ]
        headers.append((b"host", server))
        came = http1.header(exchange.head.headers, b"via")
        headers.append((b"via", came + b", " + self.via if came else self.via))
        headers.append((b"orchidlane-attempt", b"%s-%d-%d" % (self.life, exchange.number, attempt)))
        headers.append((b"orchidlane-customer", b"%d" % call.customer))
        if operation.give_up_header is not None:
            headers.append((operation.give_up_header, b"%d" % max(1, left // 1_000)))
        if exchange.body.length is None:
            headers.append((b"transfer-encoding", b"chunked"))
        elif exchange.body.length or exchange.head.method in ("POST", "PUT", "PATCH"):
            headers.append((b"content-length", b"%d" % exchange.body.length))
        return http1.request_head(exchange.head.method, call.target, headers)

    def answer(self, exchange: Exchange, head: Response) -> Answer:
        """The node's end-to-end headers."""
        drop = (b"content-length", self.report_header, self.full_header)
        headers = [field for field in http1.end_to_end(head.headers) if field[0] not in drop]
        if exchange.head.method == "HEAD" or head.status == 304:
            length = http1.header(head.headers, b"content-length")
            headers += [(b"content-length", length)] if length is not None else []
        headers.append((b"via", self.via))
        return Answer(head.status, headers)

    def report(self, head: Response) -> tuple[float, ...]:
        """``name=value`` by comma; none where a value is missing or no number."""
        text = http1.header(head.headers, self.report_header) if self.reports else None
        if text is None:
            return ()
        found = dict(part.strip().partition("=")[::2] for part in text.decode("latin-1").split(","))
        try:
            return tuple(float(found[name]) for name in self.reports)
        except (KeyError, ValueError):
            return ()


def _has_key(head: Request, match: Match) -> bool:
    name = match.operation.idempotency_header
    return name is None or bool(http1.header(head.headers, name))


def _missed(miss: Miss) -> Answer:
    allow = ((b"allow", ", ".join(miss.allow).encode()),) if miss.allow else ()
    if miss.status == 204:
        return Answer(204, list(allow), kind="served")
    return problem(miss.status, miss.detail, allow)


def _key(head: Request, match: Match) -> bytes | None:
    """The API key, from the first place that the description names and the request fills."""
    for name in match.operation.key_headers:
        value = http1.header(head.headers, name)
        if value:
            return value[7:] if name == b"authorization" and value[:7].lower() == b"bearer " else value
    for wanted in match.operation.key_queries:
        for part in head.target.partition(b"?")[2].split(b"&"):
            name, _, value = part.partition(b"=")
            if unquote_to_bytes(name) == wanted.encode() and value:
                return unquote_to_bytes(value.replace(b"+", b" "))
    return None


def _upstream_target(target: bytes, match: Match) -> bytes:
    """The target in the one form that was matched, without the customer's key."""
    query = target.partition(b"?")[2]
    hidden = [name.encode() for name in match.operation.key_queries]
    if hidden:
        parts = query.split(b"&")
        query = b"&".join(p for p in parts if unquote_to_bytes(p.partition(b"=")[0]) not in hidden)
    path = match.path.encode("latin-1")
    return path + b"?" + query if query else path
