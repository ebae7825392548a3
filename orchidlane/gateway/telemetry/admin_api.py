"""The admin address: health, metrics, and what the gateway knows, for tools.

What is asked of the whole state is answered from a ``Snapshot``, in pages and only as fast as the tool reads,
so that neither its size nor a tool that hangs holds the loop up. One such answer at a time, within
``STATE_WITHIN``; accounts that are touched meanwhile are kept as they were, which bounds the memory by one
row for each account.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from typing import Any, Protocol
from urllib.parse import unquote_to_bytes

from orchidlane import http1, recording
from orchidlane.gateway.control.configuration import ConfigurationSnapshot
from orchidlane.gateway.control.customers import Customer
from orchidlane.gateway.forwarding.policy_driver import Host
from orchidlane.gateway.server.accept_loop import accept_clients
from orchidlane.gateway.telemetry.metrics import Metrics
from orchidlane.gateway.telemetry.policy_views import make_view
from orchidlane.http1 import Data, End, Malformed, Request
from orchidlane.runtime import BACKGROUND, Closed, Expired, Listener, Loop, Scope, Stream, Task

PATIENCE = 5_000_000  # microseconds for a question, and for each piece of an answer to be taken
STATE_WITHIN = 30_000_000  # microseconds for the whole state to be read
CALLS_MOST = 16  # to the desk at once: each may hold a content
DESK = b"/change/"
Names = tuple[tuple[str, ...], tuple[str, ...]]  # classes, plans


class Desk(Protocol):
    """Answers sealed calls about the fleet's versions."""

    body_most: int  # bytes

    def answer(self, method: str, target: bytes, seal: bytes | None, body: bytes) -> tuple[int, bytes]:
        """Status and body of one call."""


class StateFrames:
    """A segment's head as of now, and the frames of its accounts, each made when it is asked for.

    ``close`` it where not all are wanted.
    """

    def __init__(
        self, host: Host, name: str, life: int, number: int, names: Names, about: dict[str, Any]
    ) -> None:
        self._loop = host.loop
        self._snapshot = recording.Snapshot(host.rules)
        self._pages = self._snapshot.pages()
        self._done = False
        header = recording.Header(
            format=recording.FORMAT_VERSION,
            build=recording.build_name(),
            gateway=name,
            started_at_us=life,
            number=number,
            settings=recording.settings_to_stored(host.settings),
            state=self._snapshot.state,
            class_names=names[0],
            plan_names=names[1],
            context=about,
        )
        self.head = recording.pack_header(header)

    def __iter__(self) -> Iterator[bytes]:
        return self

    def __next__(self) -> bytes:
        if self._done:
            raise StopIteration
        rows = next(self._pages, [])
        self._done = not rows
        return recording.pack_account_page(self._loop.now(), rows, last=self._done)

    def close(self) -> None:
        """No more frames are wanted."""
        self._done = True
        self._snapshot.close()


class Admin:
    """Answers at the admin address of one gateway."""

    def __init__(
        self,
        loop: Loop,
        name: str,
        host: Host,
        metrics: Metrics,
        knowledge: Callable[[], ConfigurationSnapshot],
        about: Callable[[], dict[str, Any]],
        healthy: Callable[[], bool],
        names: Callable[[], Names],
        desk: Desk | None = None,
    ) -> None:
        self.loop = loop
        self.desk = desk
        self.name = name
        self.host = host
        self.metrics = metrics
        self.knowledge = knowledge
        self.about = about
        self.healthy = healthy
        self.names = names
        self.telling = False  # the whole state, to someone
        self._accepting: Task | None = None
        self._calls = 0

    def listen(self, listener: Listener, scope: Scope) -> None:
        """Take questions from a listener, as background work."""

        def take(stream: Stream) -> None:
            scope.spawn(self._serve, stream, kind=BACKGROUND, name="admin")

        self._accepting = scope.spawn(
            accept_clients, self.loop, listener, take, kind=BACKGROUND, name="admin"
        )

    def hold(self) -> None:
        """Take no more questions, which wait at the listener."""
        if self._accepting is not None:
            self.loop.cancel(self._accepting)

    def _serve(self, stream: Stream) -> None:
        parser, by = http1.RequestParser(), self.loop.now() + PATIENCE
        try:
            while (event := parser.next_event()) is None:
                parser.receive(stream.recv(deadline=by))
                if parser.ended:
                    return
            assert isinstance(event, Request)
            if event.target.startswith(DESK) and self.desk is not None:
                self._call(stream, parser, event, self.desk)
            elif event.target == b"/state" and not self.telling:
                self._tell_state(stream)
            else:
                self._tell(stream, *self._answer(event.target))
        except (Closed, Expired, Malformed):
            pass
        finally:
            stream.close()

    def _call(self, stream: Stream, parser: http1.RequestParser, head: Request, desk: Desk) -> None:
        """A call to the desk, within its bounds."""
        if self._calls >= CALLS_MOST or (head.length is not None and head.length > desk.body_most):
            return self._tell(stream, 503, b"too many calls, or one that is too large\n")
        self._calls += 1
        try:
            body, by = bytearray(), self.loop.now() + STATE_WITHIN
            while not isinstance(event := parser.next_event(), End):
                if isinstance(event, Data):
                    body += event.data
                    if len(body) > desk.body_most:
                        return self._tell(stream, 413, b"too large\n")
                elif event is None:
                    parser.receive(stream.recv(deadline=min(by, self.loop.now() + PATIENCE)))
                    if parser.ended:
                        return None
            seal = http1.header(head.headers, b"orchidlane-seal")
            self._tell(stream, *desk.answer(head.method, head.target, seal, bytes(body)))
        finally:
            self._calls -= 1

    def _tell(self, stream: Stream, status: int, body: bytes) -> None:
        kind = (b"content-type", b"text/plain; charset=utf-8")
        length = (b"content-length", b"%d" % len(body))
        head = http1.response_head(status, [kind, length, (b"connection", b"close")])
        stream.send(head + body, self.loop.now() + STATE_WITHIN)

    def _answer(self, target: bytes) -> tuple[int, bytes]:
        if target == b"/metrics":
            return 200, self.metrics.page()
        if target == b"/health":
            return (200, b"ready\n") if self.healthy() else (503, b"draining\n")
        if target == b"/state":
            return 503, b"the state is being told to another; one at a time\n"
        if target.partition(b"?")[0] == b"/view":
            return self._view(target)
        return 404, b"try /metrics, /health, /state or /view\n"

    def _view(self, target: bytes) -> tuple[int, bytes]:
        """What tools ask: hosts, and one customer by its name, number or key."""
        customer = None
        if b"?customer=" in target:
            found = self._find(unquote_to_bytes(target.partition(b"?customer=")[2]))
            if found is None:
                return 404, b"no customer has this name, number or key\n"
            customer = found.number, found.plan, found.replica_set_start, found.replica_set_size
        made = make_view(self.host.rules, self.name, self.loop.now(), self.names(), customer)
        return 200, made

    def _find(self, word: bytes) -> Customer | None:
        customers = self.knowledge().customers
        return customers.by_name_or_key(word) or customers.by_number(word)

    def _tell_state(self, stream: Stream) -> None:
        self.telling = True
        now = self.loop.now()
        by = now + STATE_WITHIN
        frames = StateFrames(self.host, self.name, now, 0, self.names(), self.about())
        fields = [(b"content-type", b"application/octet-stream"), (b"transfer-encoding", b"chunked")]
        part = http1.response_head(200, [*fields, (b"connection", b"close")]) + http1.chunk(frames.head)
        try:
            for page in frames:
                stream.send(part, min(by, self.loop.now() + PATIENCE))
                part = http1.chunk(page)
                self.loop.give_way()
            stream.send(part + http1.last_chunk(), min(by, self.loop.now() + PATIENCE))
        finally:
            frames.close()
            self.telling = False
