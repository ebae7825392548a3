"""The HTTP front: clients' connections, their requests one after another, and their answers.

A connection's task reads a head, tells the module, and then waits for the answer while it goes on reading:
the rest of the body, later requests up to a bound, or the client's leaving. Answers leave in the order of the
requests (RFC 9112 section 9.3.2), so a refused one among pipelined ones waits for its turn.
"""

from __future__ import annotations

from collections.abc import Callable
from contextlib import suppress
from typing import TYPE_CHECKING, Protocol

from orchidlane import http1
from orchidlane.gateway.forwarding.call import Call
from orchidlane.gateway.forwarding.pending_request import ClientResponse, PendingRequest, RequestBody
from orchidlane.gateway.forwarding.protocol_adapter import ClientAdapter, GatewayLimits
from orchidlane.gateway.server.accept_loop import NO_DESCRIPTOR_WAIT, accept_clients
from orchidlane.http1 import Data, End, Malformed, Request
from orchidlane.runtime import (
    REQUESTS,
    Closed,
    Expired,
    Lingering,
    Listener,
    Loop,
    NotConnected,
    Scope,
    Stream,
    Task,
)

if TYPE_CHECKING:
    from orchidlane.gateway.forwarding.policy_driver import PolicyDriver

OVERDUE = 5_000  # microseconds beyond a request's time: then the module's answer is waited for no more


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

    __slots__ = (
        "between",
        "known",
        "last_recv",
        "number",
        "opened",
        "over",
        "parser",
        "rested",
        "since",
        "stream",
        "task",
    )

    def __init__(self, stream: Stream, limits: http1.Limits, now: int, number: int) -> None:
        self.stream = stream
        self.number = number
        self.parser = http1.RequestParser(limits)
        self.opened = self.rested = self.since = self.last_recv = now
        self.known = False  # a whole request of it was understood
        self.task: Task | None = None
        self.between = False  # two requests: nothing of the next one is decided
        self.over = False  # ended, or another process's now: nothing more is read or answered here


class HttpServer:
    """Accepts clients and serves them."""

    def __init__(
        self, loop: Loop, terms: GatewayLimits, host: PolicyDriver, clients: ClientAdapter, scope: Scope
    ) -> None:
        self.loop = loop
        self.bounds = terms.resource_limits
        self.times = terms.timeouts
        self.host = host
        self.clients = clients
        self.scope = scope
        self.metrics = host.metrics
        self.draining = False
        self.limits = http1.Limits(
            line=terms.resource_limits.max_request_line_bytes,
            head=terms.resource_limits.max_request_head_bytes,
            headers=terms.resource_limits.max_request_headers,
            body=terms.resource_limits.max_request_body_bytes,
        )
        self.connections: dict[Connection, None] = {}
        self.newcomers: dict[Connection, None] = {}  # those that asked nothing yet, the oldest first
        self.idle: dict[Connection, None] = {}  # those between two requests, the longest idle first
        self.lingering = Lingering(
            loop, scope, terms.timeouts.linger_us, terms.resource_limits.max_lingering_connections
        )
        self.listener: Listener
        self.pass_on: Callable[[Connection], None] | None = None  # gets each connection between two requests
        self.contain: Callable[[str, Exception], None] | None = None  # is told of failures, which end there
        self.watcher: Watcher | None = None  # is told of connections while another process may need them
        self.last: int | None = None  # no request that comes from now on is waited for longer
        self._accepting: Task
        self._leaving: Task | None = None  # waits until no connection is left
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
        connection.over = True
        self.newcomers.pop(connection, None)
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
        while True:
            try:
                return accept_clients(self.loop, self.listener, self._take, self._evict)
            except OSError as wrong:  # a client that was reset before we took it
                if self.contain is None:
                    raise
                self.contain("accept", wrong)
                self.loop.sleep(NO_DESCRIPTOR_WAIT)

    def _take(self, stream: Stream) -> None:
        connection = Connection(stream, self.limits, self.loop.now(), self.next_number())
        if self.watcher is not None:
            self.watcher.opened(connection.number, connection.stream)
        try:
            self._make_room()
        except BaseException:  # we shut down, and it has no task yet that would end it
            self._forget(connection)
            raise
        self._begin(connection)

    def _begin(self, connection: Connection) -> None:
        connection.known = not self.times.first_request_us
        self.connections[connection] = None
        connection.task = self.scope.spawn(self._client, connection, kind=REQUESTS, name="client")

    def _make_room(self) -> None:
        """At the bound the client that is idle for longest goes; while all are busy, no more are taken."""
        while len(self.connections) >= self.bounds.max_connections:
            if not self._evict():
                self.loop.sleep(NO_DESCRIPTOR_WAIT)

    def _evict(self) -> bool:
        """End a client that has no request under way: silent newcomers first, then the longest idle one."""
        least = self.loop.now() - self.times.min_client_idle_us
        for resting in (self.newcomers, self.idle):
            connection = next(iter(resting), None)
            # Guards against a close that crosses a request: what has come already is served.
            if connection is not None and connection.rested <= least and not connection.stream.waiting():
                self._forget(connection)
                return True
        return False

    def _forget(self, connection: Connection) -> None:
        """End a connection, from its own task or, where it has none of its own under way, from another."""
        if connection.over:
            return
        connection.over = True
        self.newcomers.pop(connection, None)
        self.idle.pop(connection, None)
        self.connections.pop(connection, None)
        self.lingering.close(connection.stream)
        if self.watcher is not None:
            self.watcher.ended(connection.number)
        if connection.task is not None and connection.task is not self.loop.current:
            self.loop.cancel(connection.task)
        if self._leaving is not None and not self.connections:
            self.loop.wake(self._leaving)

    def wait_left(self, by: int) -> bool:
        """Wait until all clients have left and their connections have ended; False where some have not."""
        self._leaving = self.loop.current
        try:
            while self.connections:
                self.loop.park(by)
        except Expired:
            return False
        finally:
            self._leaving = None
        self.lingering.wait(by)
        return True

    def drain(self) -> None:
        """Take no more connections or requests; what is under way, or has come already, goes on.

        Clients that wait at the listener are taken before it closes, which would reset them.
        """
        self.draining = True
        self.loop.cancel(self._accepting)
        with suppress(Closed, NotConnected):
            while len(self.connections) < self.bounds.max_connections:
                if (stream := self._next_waiting()) is None:
                    break
                self._take(stream)
        self.listener.close()
        for connection in [*self.newcomers, *self.idle]:
            if self._is_at_rest(connection):
                self._forget(connection)

    def _next_waiting(self) -> Stream | None:
        while True:
            with suppress(OSError):  # a client that was reset before we took it
                return self.listener.try_accept()

    def _is_at_rest(self, connection: Connection) -> bool:
        """Whether nothing of a next request has come, as far as our machine knows."""
        return connection.between and not self._has_more(connection)

    def _has_more(self, connection: Connection) -> bool:
        """Whether bytes have come beyond what was used, read by us or not yet; an end counts as well."""
        return bool(connection.parser.pending) or connection.stream.waiting()

    def _client(self, connection: Connection) -> None:
        try:
            while self._one(connection):
                pass
        except (Closed, Expired):
            pass
        except BaseException as wrong:
            if isinstance(wrong, Exception) and self.contain is not None:
                return self._contain(connection, wrong)
            if self.watcher is not None and not connection.over:
                connection.over = True
                connection.stream.release()  # we fail: the client is whoever's who stands by
            raise
        finally:
            self._forget(connection)

    def _contain(self, connection: Connection, wrong: Exception) -> None:
        """A failure within one connection ends that connection, with an answer, and nothing else."""
        assert self.contain is not None
        self.contain("client", wrong)
        with suppress(Closed, Expired):
            self._write_last(connection, self.clients.failed())

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
            return self._turn_away(connection, wrong)
        connection.between = False
        if head is None:
            return False
        if self.watcher is not None:
            self.watcher.began(connection.number)
        found = self.clients.parse_request(head, len(self.host.requests))
        if isinstance(found, ClientResponse):
            if 400 <= found.status < 500:  # the client's own fault; what is ours is said at once
                self._pause(connection)
            return self._finish(connection, head, found, body_read=head.length == 0)
        exchange = self._exchange(connection, head, found)
        try:
            if self.clients.needs_complete_request:
                self._read_whole(connection, exchange)
            self._is_known(connection)
            self.host.request_arrived(exchange, max(1, exchange.deadline - self.loop.now()))
            self._await_answer(connection, exchange)
        except Malformed as wrong:
            self.host.client_disconnected(exchange)
            return self._turn_away(connection, wrong)
        except BaseException:
            self.host.client_disconnected(exchange)
            raise
        return self._answer(connection, exchange)

    def _turn_away(self, connection: Connection, wrong: Malformed) -> bool:
        self.metrics.malformed += 1
        if wrong.status != 408:  # that took its time
            self._pause(connection)
        return self._write_last(connection, self.clients.invalid_request(wrong.status, wrong.detail))

    def _pause(self, connection: Connection) -> None:
        """Guards against clients that send the same again at once: an error costs them time, us little."""
        if self.times.error_delay_us:
            connection.rested = self.loop.now()
            self.newcomers[connection] = None
            self.loop.sleep(self.times.error_delay_us)
            self.newcomers.pop(connection, None)

    def _is_known(self, connection: Connection) -> None:
        connection.known = True
        self.newcomers.pop(connection, None)

    def _due(self, connection: Connection) -> int:
        """When a request that has begun to come must be whole."""
        if connection.known:
            return connection.since + self.times.request_head_us
        return min(
            connection.opened + self.times.first_request_us, connection.since + self.times.request_head_us
        )

    def _read_head(self, connection: Connection) -> Request | None:
        """The next head; None where the client left or stayed silent between requests."""
        parser, known = connection.parser, connection.known
        connection.rested = self.loop.now()
        (self.idle if known else self.newcomers)[connection] = None
        try:
            patience = self.times.client_idle_us if known else self.times.first_request_us
            if not parser.pending:
                if self.draining and not connection.stream.waiting():
                    return None
                if not self._first_bytes(connection, patience):
                    return None
        except Expired:
            return None
        finally:
            self.idle.pop(connection, None)
        by = self._due(connection)
        while (event := parser.next_event()) is None:
            try:
                if not self._recv(connection, by - self.loop.now()):
                    parser.next_event()  # tells of a head that was cut
                    return None
            except Expired:
                raise Malformed(408, "the head took too long") from None
        assert isinstance(event, Request)
        return event

    def _first_bytes(self, connection: Connection, patience: int) -> bool:
        """Wait for a request to begin; False where the client left or stayed silent."""
        try:
            return self._recv(connection, patience)
        except Expired:
            if not connection.stream.waiting():
                return False
            # Guards against our own standing still: what came in the meantime is served.
            return self._recv(connection, self.times.request_head_us)

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

    def _read_whole(self, connection: Connection, exchange: PendingRequest) -> None:
        """The request begins with its last byte: nobody hears of it before."""
        by, body = self._due(connection), exchange.body
        self._pump(connection, body)
        while not body.ended:
            try:
                if not self._recv(connection, by - self.loop.now()):
                    raise Closed("the client left")
            except Expired:
                raise Malformed(408, "the body took too long") from None
            self._pump(connection, body)
        exchange.arrived = connection.last_recv
        exchange.deadline = exchange.arrived + exchange.call.timeout_us - self.times.response_margin_us
        if self.last is not None:
            exchange.deadline = min(exchange.deadline, self.last)

    def _exchange(self, connection: Connection, head: Request, call: Call) -> PendingRequest:
        task = self.loop.current
        assert task is not None
        return PendingRequest(
            number=self.host.next_number(),
            head=head,
            call=call,
            body=RequestBody(self.loop, self.bounds.max_replay_bytes, head.length),
            task=task,
            deadline=connection.since + call.timeout_us - self.times.response_margin_us,
            arrived=connection.since,
            awaits_continue=head.expects_continue,
            has_client_left=connection.stream.has_left,
        )

    # -- until the answer is there

    def _await_answer(self, connection: Connection, exchange: PendingRequest) -> None:
        self._pump(connection, exchange.body)
        while exchange.response is None:
            if exchange.awaits_continue and exchange.attempts:
                exchange.awaits_continue = False
                connection.stream.send(b"HTTP/1.1 100 Continue\r\n\r\n")
                continue
            if exchange.interim_responses:
                self._pass_hints(connection, exchange)
            elif not self._read_on(connection, exchange):
                self._wait(exchange)

    def _pass_hints(self, connection: Connection, exchange: PendingRequest) -> None:
        """Interim answers of a node; HTTP/1.0 knows none."""
        hints, exchange.interim_responses = exchange.interim_responses, []
        for hint in hints if exchange.head.minor else ():
            data = http1.response_head(hint.status, http1.end_to_end(hint.headers))
            connection.stream.send(data, self.loop.now() + self.times.client_write_us)

    def _wait(self, exchange: PendingRequest) -> None:
        body = exchange.body
        settled = body.ended or body.full
        try:
            self.loop.park(
                exchange.deadline + OVERDUE if settled else self.loop.now() + self.times.body_progress_us
            )
        except Expired:
            if settled:
                self.host.fail_overdue(exchange)
                if exchange.response is None:
                    raise Closed("no answer in its time") from None
            elif exchange.response is None:
                raise Malformed(408, "the body took too long") from None

    def _read_on(self, connection: Connection, exchange: PendingRequest) -> bool:
        """Take what the client sent meanwhile; False where there is nothing, the task is woken then."""
        body = exchange.body
        if self._reads_no_more(connection, body):
            if connection.stream.has_left():
                raise Closed("the client left")
            connection.stream.watch_end(exchange.task)
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

    def _reads_no_more(self, connection: Connection, body: RequestBody) -> bool:
        """Whether the bounds are reached: then a client's end lies behind bytes that stay unread."""
        if body.ended:
            return connection.parser.pending >= self.bounds.max_pipelined_bytes
        if body.full:
            assert self.loop.current is not None
            body.tell_when_room(self.loop.current)
        return body.full

    def _pump(self, connection: Connection, body: RequestBody) -> None:
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

    def _answer(self, connection: Connection, exchange: PendingRequest) -> bool:
        answer = exchange.response
        assert answer is not None
        span = self.loop.now() - exchange.arrived
        self.clients.before_response(exchange, answer, span)
        return self._finish(connection, exchange.head, answer, body_read=exchange.body.ended)

    def _finish(self, connection: Connection, head: Request, answer: ClientResponse, body_read: bool) -> bool:
        """Write an answer; whether the connection goes on."""
        keep = head.keep_alive and body_read and not self._is_last(connection)
        if self.watcher is not None:
            self.watcher.answering(connection.number)
        broken = not self._write(connection, head, answer, keep)
        if not keep or broken:
            return False
        if self.watcher is not None:
            self.watcher.idle(connection.number, connection.parser.unread)
        connection.parser.next_message()
        if connection.parser.pending:
            connection.since = connection.last_recv
        self.loop.breathe()
        return True

    def _is_last(self, connection: Connection) -> bool:
        """Whether we shut down and nothing more has come. Guards against throwing away requests that came
        behind another one; those that still come when no request is waited for any more end with it.
        """
        if not self.draining:
            return False
        is_over = self.last is not None and self.loop.now() >= self.last
        return is_over or not self._has_more(connection)

    def _write_last(self, connection: Connection, answer: ClientResponse) -> bool:
        """An answer after which nothing of the connection can be understood."""
        if self.watcher is not None:
            self.watcher.answering(connection.number)
        data = self._head_of(answer, keep=False, length=len(answer.body)) + answer.body
        connection.stream.send(data, self.loop.now() + self.times.client_write_us)
        return False

    def answer_alone(self, stream: Stream, answer: ClientResponse) -> None:
        """Answer a client whose request another process took and can't answer any more, and end."""
        self._write_last(Connection(stream, self.limits, self.loop.now(), -1), answer)
        self.lingering.close(stream)

    def _head_of(self, answer: ClientResponse, keep: bool, length: int | None) -> bytes:
        headers = answer.headers
        if length is not None:
            headers = [*headers, (b"content-length", b"%d" % length)]
        elif answer.stream is not None and keep:
            headers = [*headers, (b"transfer-encoding", b"chunked")]
        if not keep:
            headers = [*headers, (b"connection", b"close")]
        return http1.response_head(answer.status, headers)

    def _write(self, connection: Connection, head: Request, answer: ClientResponse, keep: bool) -> bool:
        by = self.loop.now() + self.times.client_write_us
        if answer.stream is not None:
            return self._write_stream(connection, head, answer, keep)
        bodiless = head.method == "HEAD" or answer.status in (204, 304)
        length = None if bodiless else len(answer.body)
        data = self._head_of(answer, keep, length)
        send_all(connection.stream, data if bodiless else data + answer.body, by)
        return True

    def _write_stream(
        self, connection: Connection, head: Request, answer: ClientResponse, keep: bool
    ) -> bool:
        """Pass a large answer on piece by piece; cut short where its node failed, so that it shows."""
        pieces, chunked = answer.stream, head.minor == 1
        assert pieces is not None
        times = self.times
        headers = [*answer.headers, (b"transfer-encoding", b"chunked")] if chunked else answer.headers
        if not keep or not chunked:
            headers = [*headers, (b"connection", b"close")]
        done = False
        try:
            connection.stream.send(
                http1.response_head(answer.status, headers), self.loop.now() + times.client_write_us
            )
            while (piece := pieces.take(self.loop.now() + 2 * times.body_progress_us)) is not None:
                data = http1.chunk(piece) if chunked else piece
                connection.stream.send(data, self.loop.now() + times.client_write_us)
            done = not pieces.broken
        finally:
            if not done:
                pieces.end(broken=True)
        if not done:
            connection.stream.abort()
            return False
        if chunked:
            connection.stream.send(http1.last_chunk(pieces.trailers), self.loop.now() + times.client_write_us)
        return chunked
