"""Connections to the nodes, and attempts over them with their outcomes told truthfully.

refused or not made in time                          not connected
nothing written                                      never sent
a 503 with the header that the settings name         full
any other 5xx                                        error, which may have run
a reset or an end after a byte left us               broken, which may have run
no answer in time after a byte left us               timed out
anything else                                        served
"""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

from .. import http1
from .. import interface as api
from ..http1 import Data, End, Response
from ..interface import Effect, Outcome
from ..loop import BACKGROUND, Cancelled, Closed, Expired, Loop, NotConnected, Scope, Stream, Task
from ..routes import Operation
from .exchange import Answer, Exchange, Pieces
from .guards import Leaving, why_not
from .settings import Fleet, address

if TYPE_CHECKING:
    from .host import Host
    from .nodelist import ListTracker

SLICE = 50_000  # microseconds that a write may wait before an early answer is looked for
SWEEP = 1_000_000  # microseconds between two looks for idle connections
DROPPED_MOST = 10_000  # operations whose dropped headers are remembered
VIA = b"1.1 "


class Connection:
    """A stream to a node with its parser."""

    __slots__ = ("idle_since", "parser", "stream")

    def __init__(self, stream: Stream, limits: http1.Limits) -> None:
        self.stream = stream
        self.parser = http1.ResponseParser(limits)
        self.idle_since = 0


class Pool:
    """Connections by node: idle ones are taken up again, the latest first; all are bounded."""

    def __init__(self, loop: Loop, fleet: Fleet) -> None:
        self.loop = loop
        self.times = fleet.times
        self.most = fleet.bounds.node_connections
        self.limits = http1.Limits(head=fleet.bounds.request_head * 2, headers=fleet.bounds.request_headers)
        self._idle: dict[bytes, deque[Connection]] = {}
        self._count: dict[bytes, int] = {}

    def take(self, server: bytes, unsafe: bool, deadline: int) -> Connection:
        """A connection to the node. Raises NotConnected, also over the bound, or Expired: no byte left us."""
        longest = self.times.unsafe_idle if unsafe else self.times.node_idle
        idle = self._idle.get(server)
        while idle:
            connection = idle.pop()
            if self._is_fresh(connection, longest):
                return connection
            self.drop(server, connection)
        if self._count.get(server, 0) >= self.most:
            raise NotConnected("as many connections as the settings allow")
        self._count[server] = self._count.get(server, 0) + 1
        try:
            by = min(deadline, self.loop.now() + self.times.connect)
            return Connection(self.loop.world.connect(address(server.decode()), by), self.limits)
        except BaseException:
            self._uncount(server)
            raise

    def _is_fresh(self, connection: Connection, longest: int) -> bool:
        """Whether the node has not closed it so far; when it does just as we write, that shows as broken."""
        if self.loop.now() - connection.idle_since > longest:
            return False
        try:
            return connection.stream.try_recv(1) is None
        except Closed:
            return False

    def give_back(self, server: bytes, connection: Connection) -> None:
        """The connection is at rest after a whole answer."""
        connection.idle_since = self.loop.now()
        self._idle.setdefault(server, deque()).append(connection)

    def drop(self, server: bytes, connection: Connection) -> None:
        """The connection is out of step or not wanted."""
        connection.stream.close()
        self._uncount(server)

    def _uncount(self, server: bytes) -> None:
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
                while idle and self.loop.now() - idle[0].idle_since > self.times.node_idle:
                    self.drop(server, idle.popleft())


class Upstream:
    """Begins attempts and follows each to its outcome."""

    def __init__(
        self, loop: Loop, fleet: Fleet, name: str, incarnation: int, scope: Scope, nodes: ListTracker
    ) -> None:
        self.loop = loop
        self.fleet = fleet
        self.scope = scope
        self.nodes = nodes
        self.host: Host
        self.pool = Pool(loop, fleet)
        self.life = b"%s-%x" % (name.encode(), incarnation)
        self.via = VIA + name.encode()
        self.full_header = fleet.nodes.full_header.lower().encode()
        self.report_header = fleet.nodes.report_header.lower().encode()
        self._dropped: dict[Operation, frozenset[bytes]] = {}
        scope.spawn(self.pool.sweep, kind=BACKGROUND, name="sweep")

    def dropped(self, operation: Operation) -> frozenset[bytes]:
        """Headers of clients that nodes don't get: keys, and what each hop says for itself."""
        found = self._dropped.get(operation)
        if found is None:
            own = (b"content-length", b"host", b"expect", b"via", operation.give_up_header or b"")
            found = self._dropped[operation] = frozenset((*own, *operation.key_headers))
            if len(self._dropped) > 2 * DROPPED_MOST:
                self._dropped.clear()
        return found

    def begin(self, exchange: Exchange, number: int, action: api.Send) -> None:
        """Start an attempt, in a task of its own."""
        run = AttemptRun(self, exchange, number, action)
        self.host.runs[exchange.number, number] = run
        run.task = self.scope.spawn(run.work, kind=exchange.task.kind, name="attempt")


class AttemptRun:
    """One attempt from its decision to its outcome."""

    def __init__(self, upstream: Upstream, exchange: Exchange, number: int, action: api.Send) -> None:
        self.up = upstream
        self.loop = upstream.loop
        self.exchange = exchange
        self.number = number
        self.server = action.server
        self.give_up_at = action.give_up_at or exchange.until
        self.began = self.loop.now()
        self.left = False  # whether a byte may have reached the node
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
                self._end(Outcome.CANCELLED if self.left else Outcome.NEVER_SENT, None)
            raise
        if not self.told:
            self._end(outcome, answer)

    def _end(self, outcome: Outcome, answer: Answer | None) -> None:
        self.told = True
        took = self.loop.now() - self.began
        self.up.host.ended(self.exchange, self.number, self.server, outcome, took, self.report, answer)

    def _carry(self) -> tuple[Outcome, Answer | None]:
        body = self.exchange.body
        if not self._is_paid():
            return Outcome.NEVER_SENT, None
        if not body.replayable:
            return Outcome.NEVER_SENT, None  # its beginning was let go after an earlier attempt
        try:
            body.wait_settled(self.give_up_at)
        except Expired:
            return Outcome.NEVER_SENT, None
        try:
            connection = self.up.pool.take(
                self.server, self.exchange.cls.effect is Effect.UNSAFE, self.give_up_at
            )
        except (NotConnected, Expired):
            return Outcome.NOT_CONNECTED, None
        if why_not(self.loop.now(), self._leaving()) is not None:
            self.up.pool.give_back(self.server, connection)
            return Outcome.NEVER_SENT, None
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
            operation = exchange.match.operation
            exchange.paid = lent.take(exchange.customer, operation.cost, operation.kind)
            return exchange.paid
        return True

    def _leaving(self) -> Leaving:
        cls = self.exchange.cls
        phase = self.up.nodes.phase(self.server)
        return Leaving(phase, self.give_up_at, cls.effect, cls.window, self.exchange.first_left)

    # -- over one connection

    def _exchange(self, connection: Connection) -> tuple[Outcome, Answer | None, bool]:
        stream, mark = connection.stream, connection.stream.sent
        self.began = self.loop.now()
        connection.parser.expect(self.exchange.head.method)
        early = False
        try:
            early = self._send_request(connection)
        except Expired:
            self.left = stream.sent > mark
            return self._unfinished(Outcome.TIMED_OUT)
        except Closed:
            self.left = stream.sent > mark
            if not self.left:
                return Outcome.NEVER_SENT, None, False
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
            return Outcome.BROKEN, None, False
        return outcome, answer, keep and not early

    def _unfinished(self, outcome: Outcome) -> tuple[Outcome, Answer | None, bool]:
        if not self.left:
            return Outcome.NEVER_SENT, None, False
        self._mark_left()
        return outcome, None, False

    def _mark_left(self) -> None:
        if self.left and self.exchange.first_left is None:
            self.exchange.first_left = self.began

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
        exchange, operation = self.exchange, self.exchange.match.operation
        drop = self.up.dropped(operation)
        headers = [
            field
            for field in http1.end_to_end(exchange.head.headers)
            if field[0] not in drop and not field[0].startswith(b"orchidlane-")
        ]
        headers.append((b"host", self.server))
        came = http1.header(exchange.head.headers, b"via")
        headers.append((b"via", came + b", " + self.up.via if came else self.up.via))
        headers.append((b"orchidlane-attempt", b"%s-%d-%d" % (self.up.life, exchange.number, self.number)))
        headers.append((b"orchidlane-customer", b"%d" % exchange.customer.number))
        if operation.give_up_header is not None:
            left = max(1, (self.give_up_at - self.loop.now()) // 1_000)
            headers.append((operation.give_up_header, b"%d" % left))
        if exchange.body.length is None:
            headers.append((b"transfer-encoding", b"chunked"))
        elif exchange.body.length or exchange.head.method in ("POST", "PUT", "PATCH"):
            headers.append((b"content-length", b"%d" % exchange.body.length))
        return http1.request_head(exchange.head.method, exchange.target, headers)

    def _receive(self, connection: Connection) -> tuple[Outcome, Answer | None, bool]:
        head = self._final_head(connection)
        self.report = self._report(head)
        if head.status >= 500:
            keep = self._drain(connection, head)
            full = head.status == 503 and http1.header(head.headers, self.up.full_header) is not None
            return Outcome.FULL if full else Outcome.ERROR, None, keep
        answer = Answer(head.status, self._answer_headers(head))
        held, size = [], 0
        while not isinstance(event := self._next(connection), End):
            assert isinstance(event, Data)
            held.append(event.data)
            size += len(event.data)
            if size > self.up.fleet.bounds.held_answer:
                return self._stream(connection, head, answer, held)
        answer.body, answer.trailers = b"".join(held), event.trailers
        return Outcome.SERVED, answer, self._rested(connection, head)

    def _final_head(self, connection: Connection) -> Response:
        while True:
            event = self._next(connection)
            assert isinstance(event, Response)
            if event.status >= 200:
                return event
            if event.status > 100:  # 100 is ours to say; others are the client's (RFC 9110 section 15.2)
                self.exchange.hint(event)

    def _next(self, connection: Connection) -> http1.Event:
        parser, stream = connection.parser, connection.stream
        while (event := parser.next_event()) is None:
            data = stream.recv(deadline=self.give_up_at)
            parser.receive(data)
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

    def _answer_headers(self, head: Response) -> list[tuple[bytes, bytes]]:
        drop = (b"content-length", self.up.report_header, self.up.full_header)
        headers = [field for field in http1.end_to_end(head.headers) if field[0] not in drop]
        if self.exchange.head.method == "HEAD" or head.status == 304:
            length = http1.header(head.headers, b"content-length")
            headers += [(b"content-length", length)] if length is not None else []
        headers.append((b"via", self.up.via))
        return headers

    def _report(self, head: Response) -> tuple[float, ...]:
        """The node's load report, ``name=value`` by comma; none where a value is missing or no number."""
        names = self.up.fleet.nodes.reports
        text = http1.header(head.headers, self.up.report_header) if names else None
        if text is None:
            return ()
        found = dict(part.strip().partition("=")[::2] for part in text.decode("latin-1").split(","))
        try:
            return tuple(float(found[name]) for name in names)
        except (KeyError, ValueError):
            return ()

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
        self.give_up_at = self.loop.now() + self.up.fleet.times.body
        return self._next(connection)
