"""Connections to the nodes, and attempts over them with their outcomes told truthfully.

refused or not made in time                          not connected
nothing written                                      never sent
a whole head                                         what the protocol says (``seam.Nodes.outcome``)
a reset or an end after a byte left us               broken, which may have run
no answer in time after a byte left us               timed out

A reset before the last byte of a request is told as the protocol has it: to some nodes half a request may
have run, to others it never has.
"""

from __future__ import annotations

from bisect import insort
from collections import deque
from typing import TYPE_CHECKING

from orchidlane import http1, policy
from orchidlane.gateway.forwarding.connection_reuse import Reuse
from orchidlane.gateway.forwarding.last_check import CLIENT_LEFT, Leaving, why_not
from orchidlane.gateway.forwarding.pending_request import Answer, Exchange, Pieces
from orchidlane.gateway.forwarding.protocol_adapter import GatewayLimits, Nodes
from orchidlane.http1 import Data, End, Response
from orchidlane.policy import Idempotency, Outcome
from orchidlane.runtime import (
    BACKGROUND,
    Address,
    Cancelled,
    Closed,
    Expired,
    Lingering,
    Loop,
    NotConnected,
    Scope,
    Stream,
    Task,
)

if TYPE_CHECKING:
    from orchidlane.gateway.forwarding.policy_driver import Host

SLICE = 50_000  # microseconds that a write may wait before an early answer is looked for
SWEEP = 1_000_000  # microseconds between two looks for idle connections
HINTS_MOST = 64  # interim answers before a final one: a node that sends more is broken


class NoRoom(Exception):
    """All connections that the gateway may have to nodes are in use: nothing is known of the node."""


class Connection:
    """A stream to a node with its parser."""

    __slots__ = ("address", "heard", "idle_since", "parser", "rested", "stream")

    def __init__(self, stream: Stream, limits: http1.Limits, address: Address) -> None:
        self.stream = stream
        self.parser = http1.ResponseParser(limits)
        self.address = address
        self.idle_since = 0
        self.heard = False  # a byte of an answer to the request under way came
        self.rested: int | None = None  # how long before the request under way; None: it is new


class Pool:
    """Connections by node: idle ones are taken up again, the latest first; all are bounded."""

    def __init__(self, loop: Loop, terms: GatewayLimits, scope: Scope) -> None:
        self.loop = loop
        self.times = terms.timeouts
        self.lingering = Lingering(
            loop, scope, terms.timeouts.linger_us, terms.resource_limits.max_lingering_connections
        )
        self.most = terms.resource_limits.max_connections_per_endpoint
        self.most_in_all = terms.resource_limits.max_endpoint_connections
        self.limits = http1.Limits(
            head=terms.resource_limits.max_request_head_bytes * 2,
            headers=terms.resource_limits.max_request_headers,
        )
        self.open = 0
        self.reuse = Reuse(loop.now())
        self._idle: dict[bytes, deque[Connection]] = {}
        self._count: dict[bytes, int] = {}

    def take(self, server: bytes, address: Address, unsafe: bool, deadline: int) -> Connection:
        """A connection to the node at its address of now. No byte left us where this raises NotConnected
        (also over the node's bound), Expired, or NoRoom over the bound of all.
        """
        longest = self.times.non_idempotent_idle_us if unsafe else self.times.endpoint_idle_us
        idle = self._idle.get(server)
        while idle and (place := self._latest_rested(idle)) is not None:
            if unsafe and not self._may(idle[place], unsafe):
                break  # good enough for others
            connection = idle[place]
            del idle[place]
            if connection.address == address and self._is_fresh(connection, longest):
                connection.rested = self.loop.now() - connection.idle_since
                return connection
            self.retire(server, connection)
        if self._count.get(server, 0) >= self.most:
            raise NotConnected("as many connections as the settings allow")
        if self.open >= self.most_in_all and not self._drop_one():
            raise NoRoom
        self._count[server] = self._count.get(server, 0) + 1
        self.open += 1
        try:
            by = min(deadline, self.loop.now() + self.times.endpoint_connect_us)
            return Connection(self.loop.world.connect(address, by), self.limits, address)
        except BaseException:
            self._uncount(server)
            raise

    def _latest_rested(self, idle: deque[Connection]) -> int | None:
        """Where the connection is that came to rest last, but for those that did so just now.

        Guards against a second answer that comes a little late: it would be taken for the next request's.
        """
        least = self.loop.now() - self.times.endpoint_reuse_delay_us
        return next((at for at in range(len(idle) - 1, -1, -1) if idle[at].idle_since <= least), None)

    def _may(self, connection: Connection, unsafe: bool) -> bool:
        now = self.loop.now()
        return self.reuse.may(now - connection.idle_since, unsafe, now)

    def _is_fresh(self, connection: Connection, longest: int) -> bool:
        """Whether the node has not closed it so far; when it does just as we write, that shows as broken."""
        if self.loop.now() - connection.idle_since > longest or not self._may(connection, unsafe=False):
            return False
        try:
            return connection.stream.try_recv(1) is None
        except Closed:
            return False

    def _drop_one(self) -> bool:
        """Close an idle connection of the node whose latest came to rest first; False: none is idle."""
        for server, idle in self._idle.items():
            if idle:
                self.retire(server, idle.popleft())
                return True
        return False

    def give_back(self, server: bytes, connection: Connection) -> None:
        """The connection is at rest after a whole answer."""
        connection.idle_since = self.loop.now()
        self._idle.setdefault(server, deque()).append(connection)

    def put_back(self, server: bytes, connection: Connection) -> None:
        """Nothing was written on it. Guards against one that counts as used: its node goes on counting from
        the last request, or from its begin.
        """
        if connection.rested is None:
            return self.give_back(server, connection)
        insort(self._idle.setdefault(server, deque()), connection, key=_idle_since)

    def drop(self, server: bytes, connection: Connection) -> None:
        """A request is under way on it, or it is out of step: a close at once says that we gave up."""
        connection.stream.close()
        self._uncount(server)

    def retire(self, server: bytes, connection: Connection) -> None:
        """The connection is at rest and not wanted any more."""
        self.lingering.close(connection.stream)
        self._uncount(server)

    def _uncount(self, server: bytes) -> None:
        self.open -= 1
        self._count[server] -= 1
        if not self._count[server]:
            del self._count[server]
            self._idle.pop(server, None)

    def sweep(self) -> None:
        """Close what was idle for long: runs as background work."""
        while True:
            self.loop.sleep(SWEEP)
            for server in list(self._idle):
                idle = self._idle.get(server)
                while idle and self.loop.now() - idle[0].idle_since > self.times.endpoint_idle_us:
                    self.retire(server, idle.popleft())

    def forget(self, server: bytes) -> None:
        """The node is gone: its idle connections are of no use."""
        idle = self._idle.get(server)
        while idle:
            self.retire(server, idle.popleft())


def _idle_since(connection: Connection) -> int:
    return connection.idle_since


class Upstream:
    """Begins attempts and follows each to its outcome."""

    def __init__(self, loop: Loop, terms: GatewayLimits, scope: Scope, nodes: Nodes) -> None:
        self.loop = loop
        self.scope = scope
        self.nodes = nodes
        self.times = terms.timeouts
        self.held_answer = terms.resource_limits.max_buffered_response_bytes
        self.host: Host
        self.pool = Pool(loop, terms, scope)
        scope.spawn(self.pool.sweep, kind=BACKGROUND, name="sweep")

    def begin(self, exchange: Exchange, number: int, action: policy.SendAttempt) -> None:
        """Start an attempt, in a task of its own."""
        run = AttemptRun(self, exchange, number, action)
        self.host.runs[exchange.number, number] = run
        run.task = self.scope.spawn(run.work, kind=exchange.task.kind, name="attempt")


class AttemptRun:
    """One attempt from its decision to its outcome."""

    def __init__(
        self, upstream: Upstream, exchange: Exchange, number: int, action: policy.SendAttempt
    ) -> None:
        self.up = upstream
        self.loop = upstream.loop
        self.exchange = exchange
        self.number = number
        self.server = action.endpoint
        self.give_up_at = action.timeout_at_us or exchange.until
        self.began = self.loop.now()
        self.left = False  # whether a byte may have reached the node
        self.marked = False  # whether it is the first attempt that may have run
        self.told = False  # whether the module knows the outcome
        self.report: tuple[float, ...] = ()
        self.task: Task

    def cancel(self) -> None:
        """Stop waiting; the node sees its connection closed."""
        self.loop.cancel(self.task)

    def work(self) -> None:
        """The task of the attempt."""
        try:
            outcome, answer = self._carry()
        except Cancelled:
            if self.loop.process.dead:
                raise
            if not self.told:
                self._end(Outcome.CANCELLED if self.left else Outcome.NOT_SENT, None)
            raise
        except Exception as wrong:
            contain = self.up.host.contain
            if contain is None:
                raise
            contain("attempt", wrong)
            outcome, answer = Outcome.CONNECTION_BROKEN if self.left else Outcome.NOT_SENT, None
        if not self.told:
            self._end(outcome, answer)

    def _end(self, outcome: Outcome, answer: Answer | None) -> None:
        self.told = True
        if outcome is Outcome.ENDPOINT_FULL and self.marked:
            self.exchange.first_left = None  # it never ran: the next attempt may leave as a first one
        took = self.loop.now() - self.began
        self.up.host.ended(self.exchange, self.number, self.server, outcome, took, self.report, answer)

    def _carry(self) -> tuple[Outcome, Answer | None]:
        body = self.exchange.body
        if not self._is_paid():
            return Outcome.NOT_SENT, None
        if not body.replayable:
            return Outcome.NOT_SENT, None  # its beginning was let go after an earlier attempt
        try:
            body.wait_settled(self.give_up_at)
        except Expired:
            return Outcome.NOT_SENT, None
        address = self.up.nodes.address(self.server)
        if address is None:
            return Outcome.NOT_SENT, None
        unsafe = self.exchange.cls.idempotency is Idempotency.NOT_IDEMPOTENT
        try:
            connection = self.up.pool.take(self.server, address, unsafe, self.give_up_at)
        except (NotConnected, Expired):
            return Outcome.CONNECT_FAILED, None
        except NoRoom:
            return Outcome.NOT_SENT, None
        if (why := why_not(self.loop.now(), self._leaving())) is not None:
            self.up.pool.put_back(self.server, connection)
            if why == CLIENT_LEFT:  # its front may not have run since: it waits as we did
                self.up.host.client_gone(self.exchange)
            return Outcome.NOT_SENT, None
        keep = False
        try:
            outcome, answer, keep = self._exchange(connection)
        finally:
            if keep:
                self.up.pool.give_back(self.server, connection)
            else:
                self.up.pool.drop(self.server, connection)
        return outcome, answer

    def _is_paid(self) -> bool:
        """A request that was held when our successor took over is counted there before it first leaves."""
        exchange, lent = self.exchange, self.up.host.lent
        if lent is not None and exchange.held_at_moment and not exchange.paid:
            exchange.paid = lent.take(exchange.call, exchange.call.units, exchange.call.kind)
            return exchange.paid
        return True

    def _leaving(self) -> Leaving:
        cls = self.exchange.cls
        phase = self.up.nodes.phase(self.server)
        exchange = self.exchange
        left = exchange.client_left()
        return Leaving(
            phase, self.give_up_at, cls.idempotency, cls.deduplication_window_us, exchange.first_left, left
        )

    # -- over one connection

    def _exchange(self, connection: Connection) -> tuple[Outcome, Answer | None, bool]:
        stream, mark = connection.stream, connection.stream.sent
        self.began = self.loop.now()
        connection.parser.expect(self.exchange.head.method)
        connection.heard = False
        early = False
        try:
            early = self._send_request(connection)
        except Expired:
            self.left = stream.sent > mark
            return self._unfinished(Outcome.TIMED_OUT)
        except Closed:
            self.left = stream.sent > mark
            cut_short = self.up.nodes.cut_short
            if not self.left or cut_short is not Outcome.CONNECTION_BROKEN:
                self.left = False
                return Outcome.NOT_SENT if cut_short is Outcome.CONNECTION_BROKEN else cut_short, None, False
            early = True  # an answer may have come before the reset
        except Cancelled:
            self.left = stream.sent > mark
            self._mark_left()
            raise
        self.left = True
        self._mark_left()
        try:
            outcome, answer, keep = self._receive(connection)
        except Expired:
            return Outcome.TIMED_OUT, None, False
        except (Closed, http1.Malformed):
            outcome, answer, keep = Outcome.CONNECTION_BROKEN, None, False
        self.up.pool.reuse.told(connection.rested, not connection.heard, self.loop.now())
        return outcome, answer, keep and not early

    def _unfinished(self, outcome: Outcome) -> tuple[Outcome, Answer | None, bool]:
        if not self.left:
            return Outcome.NOT_SENT, None, False
        self._mark_left()
        return outcome, None, False

    def _mark_left(self) -> None:
        if self.left and self.exchange.first_left is None:
            self.exchange.first_left, self.marked = self.began, True

    def _send_request(self, connection: Connection) -> bool:
        """Write head and body; True where the node answered before it had all."""
        body, head = self.exchange.body, self._head()
        if body.length == 0:
            return self._write(connection, head)
        if body.ended:
            return self._write(connection, self._whole(head))
        if self._write(connection, head):
            return True
        number = 0
        while (piece := body.piece(number, self.give_up_at)) is not None:
            if self._answers_early(connection) or self._write(connection, self._framed(piece)):
                return True
            number += 1
        return body.length is None and self._write(connection, http1.last_chunk(body.trailers))

    def _whole(self, head: bytes) -> bytes:
        """Head and body in one piece: most requests are one write."""
        body, parts, number = self.exchange.body, [head], 0
        while (piece := body.piece(number, self.give_up_at)) is not None:
            parts.append(self._framed(piece))
            number += 1
        if body.length is None:
            parts.append(http1.last_chunk(body.trailers))
        return b"".join(parts)

    def _framed(self, piece: bytes) -> bytes:
        return http1.chunk(piece) if self.exchange.body.length is None else piece

    def _answers_early(self, connection: Connection) -> bool:
        got = connection.stream.try_recv()
        if got is not None:
            connection.parser.receive(got)
        return got is not None

    def _write(self, connection: Connection, data: bytes) -> bool:
        """Write; True where the node has begun to answer meanwhile."""
        stream = connection.stream
        while data:
            mark = stream.sent
            try:
                stream.send(data, min(self.give_up_at, self.loop.now() + SLICE))
                return False
            except Expired:
                data = data[stream.sent - mark :]
                if self.loop.now() >= self.give_up_at:
                    raise
                if self._answers_early(connection):
                    return True
        return False

    def _head(self) -> bytes:
        left = max(1, self.give_up_at - self.loop.now())
        return self.up.nodes.head(self.exchange, self.number, self.server, left)

    def _receive(self, connection: Connection) -> tuple[Outcome, Answer | None, bool]:
        nodes = self.up.nodes
        head = self._final_head(connection)
        self.report = nodes.report(head)
        outcome = nodes.outcome(head)
        if outcome is not Outcome.SERVED:
            return outcome, None, self._drain(connection, head)
        answer = nodes.answer(self.exchange, head)
        held, size = [], 0
        while not isinstance(event := self._next(connection), End):
            assert isinstance(event, Data)
            held.append(event.data)
            size += len(event.data)
            if size > self.up.held_answer:
                if not nodes.passes_streams:
                    return Outcome.CONNECTION_BROKEN, None, False
                return self._stream(connection, head, answer, held)
        answer.body, answer.trailers = b"".join(held), event.trailers
        return Outcome.SERVED, answer, self._rested(connection, head)

    def _final_head(self, connection: Connection) -> Response:
        for _ in range(HINTS_MOST):
            event = self._next(connection)
            assert isinstance(event, Response)
            if event.status >= 200:
                return event
            # 100 is ours to say; others are the client's (RFC 9110 section 15.2)
            if event.status > 100 and self.up.nodes.passes_hints:
                self.exchange.hint(event)
        raise http1.Malformed(502, "interim answers without end")

    def _next(self, connection: Connection) -> http1.Event:
        parser, stream = connection.parser, connection.stream
        while (event := parser.next_event()) is None:
            data = stream.recv(deadline=self.give_up_at)
            parser.receive(data)
            connection.heard = connection.heard or bool(data)
            if not data and (event := parser.next_event()) is None:
                raise Closed("the node ended the connection before its answer")
            if event is not None:
                return event
        return event

    def _drain(self, connection: Connection, head: Response) -> bool:
        """Read a short body that nobody wants, so that the connection can be kept."""
        if not head.keep_alive or head.length is None or head.length > 16_384:
            return False
        while not isinstance(self._next(connection), End):
            pass
        return self._rested(connection, head)

    def _rested(self, connection: Connection, head: Response) -> bool:
        if not head.keep_alive or connection.parser.pending:
            return False
        connection.parser.next_message()
        return True

    # -- an answer too large to hold

    def _stream(
        self, connection: Connection, head: Response, answer: Answer, held: list[bytes]
    ) -> tuple[Outcome, Answer | None, bool]:
        """The answer is the client's from here on: the module hears of it as served, the rest flows."""
        pieces = answer.stream = Pieces(self.loop, held)
        self._end(Outcome.SERVED, answer)
        if self.exchange.answer is not answer:
            return Outcome.SERVED, None, False
        try:
            while not isinstance(event := self._next_flowing(connection), End):
                assert isinstance(event, Data)
                pieces.put(event.data)
                if pieces.broken:  # the client left
                    return Outcome.SERVED, None, False
        except BaseException as wrong:
            pieces.end(broken=True)
            if isinstance(wrong, Closed | Expired | http1.Malformed):
                return Outcome.SERVED, None, False
            raise
        pieces.end(broken=False, trailers=event.trailers)
        return Outcome.SERVED, None, self._rested(connection, head)

    def _next_flowing(self, connection: Connection) -> http1.Event:
        self.give_up_at = self.loop.now() + self.up.times.body_progress_us
        return self._next(connection)
