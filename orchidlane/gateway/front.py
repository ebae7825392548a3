"""The HTTP front: clients' connections, their requests one after another, and their answers.

A connection's task reads a head, tells the module, and then waits for the answer while it goes on reading:
the rest of the body, later requests up to a bound, or the client's leaving. Answers leave in the order of the
requests (RFC 9112 section 9.3.2), so a refused one among pipelined ones waits for its turn.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING, Protocol
from urllib.parse import unquote_to_bytes

from .. import http1
from .. import interface as api
from ..http1 import Data, End, Malformed, Request
from ..loop import REQUESTS, Closed, Expired, Listener, Loop, Scope, Stream, Task
from ..routes import Match, Miss
from ..routes.generation import give_up_after
from .answers import problem
from .customers import Customer
from .door import NO_DESCRIPTOR_WAIT, accept_clients
from .exchange import Answer, Body, Exchange
from .settings import Fleet

if TYPE_CHECKING:
    from .host import Host
    from .knowledge import Knowledge

LINGER_MOST = 262_144  # bytes read on after an answer within a body


class Watcher(Protocol):
    """Is told of each connection by its number, before what could be lost with this process happens."""

    def opened(self, number: int, stream: Stream) -> None:
        """A new client."""

    def reading(self, number: int) -> None:
        """Bytes of it are about to be read."""

    def began(self, number: int) -> None:
        """A request of it is under way."""

    def answering(self, number: int) -> None:
        """Its answer is about to be written."""

    def idle(self, number: int, unread: bytes, session: tuple[int, bytes, bool] | None = None) -> None:
        """Nothing of it is under way; what was read of its next request, and what a RESP session knows."""

    def ended(self, number: int) -> None:
        """It is over."""


def send_all(stream: Stream, data: bytes, by: int) -> None:
    """Send, and go on at once where all is taken: what follows from the answer is said before others run."""
    done = stream.try_send(data)
    if done < len(data):
        stream.send(data[done:], by)


def recv_watched(stream: Stream, watcher: Watcher, number: int, by: int) -> bytes:
    """Receive; said before, so that whoever stands by knows that bytes may be lost with us."""
    stream.await_input(by)
    watcher.reading(number)
    return stream.recv(deadline=by)


class Connection:
    """One client: its stream, its parser, and when the bytes came that are not used yet."""

    __slots__ = ("between", "last_recv", "number", "parser", "passed", "since", "stream", "task")

    def __init__(self, stream: Stream, limits: http1.Limits, now: int, number: int) -> None:
        self.stream = stream
        self.number = number
        self.parser = http1.RequestParser(limits)
        self.since = self.last_recv = now
        self.task: Task | None = None
        self.between = False  # two requests: nothing of the next one is decided
        self.passed = False  # it is another process's now


class Front:
    """Accepts clients and serves them."""

    def __init__(
        self, loop: Loop, fleet: Fleet, host: Host, knowledge: Callable[[], Knowledge], scope: Scope
    ) -> None:
        self.loop = loop
        self.fleet = fleet
        self.host = host
        self.knowledge = knowledge
        self.scope = scope
        self.metrics = host.metrics
        self.draining = False
        self.limits = http1.Limits(
            line=fleet.bounds.request_line,
            head=fleet.bounds.request_head,
            headers=fleet.bounds.request_headers,
            body=fleet.bounds.request_body,
        )
        self.connections: dict[Connection, None] = {}
        self.idle: dict[Connection, None] = {}  # those without a request, the longest idle first
        self.listener: Listener
        self.pass_on: Callable[[Connection], None] | None = None  # gets each connection between two requests
        self.watcher: Watcher | None = None  # is told of connections while another process may need them
        self._accepting: Task
        self._numbers = loop.now()  # a later process of this gateway numbers on from later

    # -- connections

    def listen(self, listener: Listener) -> None:
        """Take clients from a listener."""
        self.listener = listener
        self._accepting = self.scope.spawn(self._accept, kind=REQUESTS, name="accept")

    def hold(self, pass_on: Callable[[Connection], None]) -> None:
        """Take no more clients, who wait at the listener; each that we have is passed on between requests."""
        self.loop.cancel(self._accepting)
        self.pass_on = pass_on
        for connection in list(self.connections):
            if connection.between:
                self._pass(connection)

    def resume(self) -> None:
        """Take clients again."""
        self.pass_on = None
        self._accepting = self.scope.spawn(self._accept, kind=REQUESTS, name="accept")

    def _pass(self, connection: Connection) -> None:
        assert self.pass_on is not None and connection.task is not None
        connection.passed = True
        self.idle.pop(connection, None)
        self.connections.pop(connection, None)
        self.pass_on(connection)
        self.loop.cancel(connection.task)

    def adopt(self, stream: Stream, unread: bytes, since: int, last: int, number: int) -> None:
        """Serve a client that another process passed on between two requests."""
        connection = Connection(stream, self.limits, since, number)
        connection.last_recv = last
        if unread:
            connection.parser.receive(unread)
        self._begin(connection)

    def next_number(self) -> int:
        """A number that no other connection of this front has."""
        self._numbers += 1
        return self._numbers

    def _accept(self) -> None:
        """Out of descriptors an idle client gives its own up."""
        accept_clients(self.loop, self.listener, self._take, self._evict)

    def _take(self, stream: Stream) -> None:
        connection = Connection(stream, self.limits, self.loop.now(), self.next_number())
        if self.watcher is not None:
            self.watcher.opened(connection.number, connection.stream)
        self._make_room()
        self._begin(connection)

    def _begin(self, connection: Connection) -> None:
        self.connections[connection] = None
        connection.task = self.scope.spawn(self._client, connection, kind=REQUESTS, name="client")

    def _make_room(self) -> None:
        """At the bound the client that is idle for longest goes; while all are busy, no more are taken."""
        while len(self.connections) >= self.fleet.bounds.connections:
            if not self._evict():
                self.loop.sleep(NO_DESCRIPTOR_WAIT)

    def _evict(self) -> bool:
        connection = next(iter(self.idle), None)
        if connection is None:
            return False
        self._forget(connection)
        return True

    def _forget(self, connection: Connection) -> None:
        self.idle.pop(connection, None)
        self.connections.pop(connection, None)
        if not connection.passed:
            connection.stream.close()
            if self.watcher is not None:
                self.watcher.ended(connection.number)

    def drain(self) -> None:
        """Take no more connections or requests; what is under way goes on."""
        self.draining = True
        self.listener.close()
        while self._evict():
            pass

    def _client(self, connection: Connection) -> None:
        try:
            while self._one(connection):
                pass
        except (Closed, Expired):
            pass
        except BaseException:  # we fail: the client is whoever's who stands by
            if self.watcher is not None and not connection.passed:
                connection.passed = True
                connection.stream.release()
            raise
        finally:
            self._forget(connection)

    # -- one request

    def _one(self, connection: Connection) -> bool:
        """Serve one request; whether the connection goes on."""
        connection.between = True
        if self.pass_on is not None:
            self._pass(connection)
            return False
        try:
            head = self._read_head(connection)
        except Malformed as wrong:
            connection.between = False
            self.metrics.malformed += 1
            return self._write_last(connection, problem(wrong.status, wrong.detail))
        connection.between = False
        if head is None:
            return False
        if self.watcher is not None:
            self.watcher.began(connection.number)
        found = self._understand(head)
        if isinstance(found, Answer):
            return self._finish(connection, head, found, body_read=head.length == 0)
        exchange = self._exchange(connection, head, *found)
        try:
            self.host.arrived(exchange, max(1, exchange.until - self.loop.now()))
            self._await_answer(connection, exchange)
        except Malformed as wrong:
            self.host.client_gone(exchange)
            self.metrics.malformed += 1
            return self._write_last(connection, problem(wrong.status, wrong.detail))
        except BaseException:
            self.host.client_gone(exchange)
            raise
        return self._answer(connection, exchange)

    def _read_head(self, connection: Connection) -> Request | None:
        """The next head; None where the client left or stayed silent between requests."""
        parser, times = connection.parser, self.fleet.times
        self.idle[connection] = None
        try:
            if not parser.pending and (self.draining or not self._recv(connection, times.idle)):
                return None
        except Expired:
            return None
        finally:
            self.idle.pop(connection, None)
        by = connection.since + times.head
        while (event := parser.next_event()) is None:
            try:
                if not self._recv(connection, by - self.loop.now()):
                    parser.next_event()  # tells of a head that was cut
                    return None
            except Expired:
                raise Malformed(408, "the head took too long") from None
        assert isinstance(event, Request)
        return event

    def _recv(self, connection: Connection, patience: int) -> bool:
        """Feed the parser once; False at the end of input."""
        by = self.loop.now() + patience
        if self.watcher is None or not connection.between:
            data = connection.stream.recv(deadline=by)
        else:
            data = recv_watched(connection.stream, self.watcher, connection.number, by)
        self._received(connection, data)
        if self.watcher is not None and connection.between:
            self.watcher.idle(connection.number, connection.parser.unread)
        return bool(data)

    def _received(self, connection: Connection, data: bytes) -> None:
        connection.last_recv = self.loop.now()
        if not connection.parser.pending:
            connection.since = connection.last_recv
        connection.parser.receive(data)

    def _understand(self, head: Request) -> tuple[Match, Customer, int] | Answer:
        """Operation, customer and patience of a request, or why there are none."""
        knowledge = self.knowledge()
        generation = knowledge.generation
        match = generation.match(head.method, head.target)
        if isinstance(match, Miss):
            return _missed(match)
        operation = match.operation
        key = _key(head, match)
        customer = knowledge.customers.of_key(key) if key is not None else None
        if customer is None:
            return problem(401, "No key of a customer.", ((b"www-authenticate", b"ApiKey"),))
        cls = generation.classes[operation.kind]
        if cls.effect is api.Effect.KEYED and not self._has_key(head, match):
            return problem(400, "This operation needs an idempotency key.")
        patience = give_up_after(operation, head.headers, cls.deadline)
        if patience is None:
            return problem(400, "The time to give up after is no whole number of milliseconds.")
        if len(self.host.exchanges) >= self.fleet.bounds.open:
            return problem(503, "Too many requests under way.", ((b"retry-after", b"1"),))
        return match, customer, patience

    def _has_key(self, head: Request, match: Match) -> bool:
        name = match.operation.idempotency_header
        return name is None or bool(http1.header(head.headers, name))

    def _exchange(
        self, connection: Connection, head: Request, match: Match, customer: Customer, patience: int
    ) -> Exchange:
        task = self.loop.current
        assert task is not None
        return Exchange(
            number=self.host.next_number(),
            head=head,
            match=match,
            generation=self.knowledge().generation,
            customer=customer,
            body=Body(self.loop, self.fleet.bounds.held_body, head.length),
            task=task,
            until=connection.since + patience - self.fleet.times.client_margin,
            arrived=connection.since,
            target=_upstream_target(head.target, match),
            awaits_continue=head.expects_continue,
        )

    # -- until the answer is there

    def _await_answer(self, connection: Connection, exchange: Exchange) -> None:
        self._pump(connection, exchange.body)
        while exchange.answer is None:
            if exchange.awaits_continue and exchange.sends:
                exchange.awaits_continue = False
                connection.stream.send(b"HTTP/1.1 100 Continue\r\n\r\n")
                continue
            if exchange.hints:
                self._pass_hints(connection, exchange)
            elif not self._read_on(connection, exchange):
                self._wait(exchange)

    def _pass_hints(self, connection: Connection, exchange: Exchange) -> None:
        """Interim answers of a node; HTTP/1.0 knows none."""
        hints, exchange.hints = exchange.hints, []
        for hint in hints if exchange.head.minor else ():
            data = http1.response_head(hint.status, http1.end_to_end(hint.headers))
            connection.stream.send(data, self.loop.now() + self.fleet.times.write)

    def _wait(self, exchange: Exchange) -> None:
        deadline = None if exchange.body.ended or exchange.body.full else self.fleet.times.body
        try:
            self.loop.park(deadline and self.loop.now() + deadline)
        except Expired:
            if exchange.answer is None:
                raise Malformed(408, "the body took too long") from None

    def _read_on(self, connection: Connection, exchange: Exchange) -> bool:
        """Take what the client sent meanwhile; False where there is nothing, the task is woken then."""
        body = exchange.body
        if not body.ended and body.full:
            body.tell_when_room(exchange.task)
            return False
        if body.ended and connection.parser.pending >= self.fleet.bounds.pipelined:
            return False
        data = None if connection.stream.drained else connection.stream.try_recv()
        if data is None:
            connection.stream.watch(exchange.task)
            return False
        if not data:
            raise Closed("the client left")
        self._received(connection, data)
        self._pump(connection, body)
        return True

    def _pump(self, connection: Connection, body: Body) -> None:
        """Bring what was parsed of the body over."""
        while not body.ended or body.length == 0:
            event = connection.parser.next_event()
            if event is None:
                return
            if isinstance(event, End):
                body.end(event.trailers)
                return
            assert isinstance(event, Data)
            body.fill(event.data)

    # -- answers

    def _answer(self, connection: Connection, exchange: Exchange) -> bool:
        answer = exchange.answer
        assert answer is not None
        span = self.loop.now() - exchange.arrived
        self.metrics.answer(answer.kind, exchange.match.operation.class_name, span)
        if self.host.recorder is not None:
            self.host.recorder.answer(exchange.number, answer.status, answer.kind, span)
        self._add_figures(exchange, answer)
        self.knowledge().log_answer(exchange, answer, span)
        return self._finish(connection, exchange.head, answer, body_read=exchange.body.ended)

    def _add_figures(self, exchange: Exchange, answer: Answer) -> None:
        """What is left of the quota (draft-ietf-httpapi-ratelimit-headers), where it is known."""
        account = self.host.rules.accounts.get(exchange.customer.number)
        plan = self.host.settings.plans[exchange.customer.plan]
        if account is None or not plan.rate:
            return
        name = exchange.customer.plan_name.encode()
        room = max(0, int(account.room))
        span = max(1, int(plan.burst / plan.rate))
        answer.headers.append((b"ratelimit-policy", b'"%s";q=%d;w=%d' % (name, plan.burst, span)))
        answer.headers.append((b"ratelimit", b'"%s";r=%d' % (name, room)))

    def _finish(self, connection: Connection, head: Request, answer: Answer, body_read: bool) -> bool:
        """Write an answer; whether the connection goes on."""
        keep = head.keep_alive and body_read and not self.draining
        if self.watcher is not None:
            self.watcher.answering(connection.number)
        broken = not self._write(connection, head, answer, keep)
        if not body_read:
            self._linger(connection)
        if not keep or broken:
            return False
        if self.watcher is not None:
            self.watcher.idle(connection.number, connection.parser.unread)
        connection.parser.next_message()
        if connection.parser.pending:
            connection.since = connection.last_recv
        self.loop.breathe()
        return True

    def _write_last(self, connection: Connection, answer: Answer) -> bool:
        """An answer after which nothing of the connection can be understood."""
        if self.watcher is not None:
            self.watcher.answering(connection.number)
        data = self._head_of(answer, keep=False, length=len(answer.body)) + answer.body
        connection.stream.send(data, self.loop.now() + self.fleet.times.write)
        self._linger(connection)
        return False

    def answer_alone(self, stream: Stream, answer: Answer) -> None:
        """Answer a client whose request another process took and can't answer any more."""
        self._write_last(Connection(stream, self.limits, self.loop.now(), -1), answer)

    def _head_of(self, answer: Answer, keep: bool, length: int | None) -> bytes:
        headers = answer.headers
        if length is not None:
            headers = [*headers, (b"content-length", b"%d" % length)]
        elif answer.stream is not None and keep:
            headers = [*headers, (b"transfer-encoding", b"chunked")]
        if not keep:
            headers = [*headers, (b"connection", b"close")]
        return http1.response_head(answer.status, headers)

    def _write(self, connection: Connection, head: Request, answer: Answer, keep: bool) -> bool:
        by = self.loop.now() + self.fleet.times.write
        if answer.stream is not None:
            return self._write_stream(connection, head, answer, keep)
        bodiless = head.method == "HEAD" or answer.status in (204, 304)
        length = None if bodiless else len(answer.body)
        data = self._head_of(answer, keep, length)
        send_all(connection.stream, data if bodiless else data + answer.body, by)
        return True

    def _write_stream(self, connection: Connection, head: Request, answer: Answer, keep: bool) -> bool:
        """Pass a large answer on piece by piece; cut short where its node failed, so that it shows."""
        pieces, chunked = answer.stream, head.minor == 1
        assert pieces is not None
        times = self.fleet.times
        headers = [*answer.headers, (b"transfer-encoding", b"chunked")] if chunked else answer.headers
        if not keep or not chunked:
            headers = [*headers, (b"connection", b"close")]
        done = False
        try:
            connection.stream.send(http1.response_head(answer.status, headers), self.loop.now() + times.write)
            while (piece := pieces.take(self.loop.now() + 2 * times.body)) is not None:
                data = http1.chunk(piece) if chunked else piece
                connection.stream.send(data, self.loop.now() + times.write)
            done = not pieces.broken
        finally:
            if not done:
                pieces.end(broken=True)
        if not done:
            connection.stream.abort()
            return False
        if chunked:
            connection.stream.send(http1.last_chunk(pieces.trailers), self.loop.now() + times.write)
        return chunked

    def _linger(self, connection: Connection) -> None:
        """Read on for a while, or the reset that unread bytes cause may overtake the answer."""
        connection.stream.end()
        by, left = self.loop.now() + self.fleet.times.linger, LINGER_MOST
        try:
            while left > 0 and (data := connection.stream.recv(deadline=by)):
                left -= len(data)
        except (Closed, Expired):
            pass


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
