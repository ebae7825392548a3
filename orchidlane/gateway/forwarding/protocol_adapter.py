"""The seam between the gateway and a protocol of clients and nodes.

A request's way is one: the front reads, the host of the module is told, an attempt is carried, one answer
leaves. What a head means and how things are put differs by protocol. Each question is one method here; the
OpenAPI gateway (``openapi.py``) and the operators' platform (``orchidlane/platform``) are the two sides.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Protocol

from orchidlane import http1, policy
from orchidlane.runtime import Address

if TYPE_CHECKING:
    from orchidlane.gateway.forwarding.pending_request import Answer, Exchange


@dataclass(frozen=True, slots=True)
class Call:
    """What a request's head means, in the module's numbers; ``patience`` in microseconds from its begin."""

    kind: int
    cls: policy.RequestClass
    customer: int
    plan: int
    units: float
    replica_set_start: int
    replica_set_size: int
    patience: int
    target: bytes  # what nodes are asked for
    is_repeat: bool = False

    @property
    def number(self) -> int:
        """The customer's number, as ``Payer`` has it."""
        return self.customer


class QuotaOwner(Protocol):
    """Whose units a request takes."""

    @property
    def number(self) -> int:
        """The customer's number."""

    @property
    def plan(self) -> int:
        """Its plan's number."""

    @property
    def replica_set_start(self) -> int:
        """The first gateway of its set."""

    @property
    def replica_set_size(self) -> int:
        """How many gateways its set has."""


class ResourceLimits(Protocol):
    """What the front and the attempts hold at most; sizes in bytes."""

    @property
    def max_connections(self) -> int:
        """Clients' connections."""

    @property
    def max_connections_per_endpoint(self) -> int:
        """Connections to one node."""

    @property
    def max_endpoint_connections(self) -> int:
        """Connections to all nodes together."""

    @property
    def max_request_line_bytes(self) -> int:
        """A request's first line."""

    @property
    def max_request_head_bytes(self) -> int:
        """A request's head; an answer's may be twice as long."""

    @property
    def max_request_headers(self) -> int:
        """Header lines of a head."""

    @property
    def max_request_body_bytes(self) -> int:
        """A request's body."""

    @property
    def max_replay_bytes(self) -> int:
        """What is held of a body for further attempts."""

    @property
    def max_buffered_response_bytes(self) -> int:
        """What is held of an answer."""

    @property
    def max_pipelined_bytes(self) -> int:
        """What is read of a client's further requests while one is under way."""

    @property
    def max_lingering_connections(self) -> int:
        """Connections of clients that are ending, and as many of nodes; beyond it they close at once."""


class Timeouts(Protocol):
    """How long things may take, in microseconds."""

    @property
    def first_request_us(self) -> int:
        """A new connection until its first whole request; 0: as any other."""

    @property
    def request_head_us(self) -> int:
        """A head from its first byte on."""

    @property
    def body_progress_us(self) -> int:
        """Between two pieces of a body."""

    @property
    def error_delay_us(self) -> int:
        """Until a request that can't be used gets its error; 0: at once."""

    @property
    def client_idle_us(self) -> int:
        """Between two requests of a client."""

    @property
    def min_client_idle_us(self) -> int:
        """A connection that was idle for less is not closed to make room."""

    @property
    def client_write_us(self) -> int:
        """An answer's write."""

    @property
    def endpoint_connect_us(self) -> int:
        """A connection to a node until it is made."""

    @property
    def endpoint_idle_us(self) -> int:
        """A node's connection between two requests."""

    @property
    def endpoint_reuse_delay_us(self) -> int:
        """A node's connection carries no request sooner after an answer."""

    @property
    def non_idempotent_idle_us(self) -> int:
        """The same before an unsafe request."""

    @property
    def response_margin_us(self) -> int:
        """Taken off the client's time for the way back."""

    @property
    def linger_us(self) -> int:
        """From our end of a connection until it is closed, if the other side does not end."""


class GatewayLimits(Protocol):
    """Bounds and times of one gateway."""

    @property
    def resource_limits(self) -> ResourceLimits:
        """How much."""

    @property
    def timeouts(self) -> Timeouts:
        """How long."""


class Clients(Protocol):
    """How clients are understood and answered."""

    whole_first: bool  # a request begins with its last byte, not with its head

    def understand(self, head: http1.Request, in_flight: int) -> Call | Answer:
        """What a head means, or the answer that ends it; ``in_flight``: requests not answered yet."""

    def wrong(self, status: int, detail: str) -> Answer:
        """What came in can't be used."""

    def refused(self, action: policy.RejectRequest) -> Answer:
        """The module refuses: trying again is harmless."""

    def failed(self) -> Answer:
        """Not served, nothing promised."""

    def answering(self, exchange: Exchange, answer: Answer, span: int) -> None:
        """An answer is about to leave, so many microseconds after the request came; headers may be added."""

    def over(self, exchange: Exchange) -> None:
        """The request is over, whether answered or not."""


class Nodes(Protocol):
    """How nodes are asked and understood."""

    passes_hints: bool  # interim answers go to the client
    passes_streams: bool  # an answer too large to hold, or without a length, is passed on piece by piece
    cut_short: policy.Outcome  # when the connection breaks before a request's last byte is written

    def address(self, server: bytes) -> Address | None:
        """Where a node listens by the list's latest word; None where it has none."""

    def phase(self, server: bytes) -> str:
        """What the list last said of a node: ready, draining or gone."""

    def head(self, exchange: Exchange, attempt: int, server: bytes, left: int) -> bytes:
        """An attempt's head; ``left`` microseconds until it is given up."""

    def outcome(self, head: http1.Response) -> policy.Outcome:
        """What a final answer's head says."""

    def report(self, head: http1.Response) -> tuple[float, ...]:
        """The node's load report; none where it has none that can be read."""

    def answer(self, exchange: Exchange, head: http1.Response) -> Answer:
        """The client's answer from a node's head; the body follows."""
