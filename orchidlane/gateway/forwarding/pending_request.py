"""One request's life in the gateway: its body, its attempts, its one final answer."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

from orchidlane import http1, policy
from orchidlane.gateway.forwarding.call import Call
from orchidlane.runtime import Loop, Task

MAX_INTERIM_RESPONSES = 8  # interim answers that wait for a client at a time


class RequestBody:
    """A request's body as it comes: kept up to a bound for further attempts, beyond it passed on once.

    One task fills it, one attempt at a time drinks it. ``replayable`` ends when a piece is let go.
    """

    def __init__(self, loop: Loop, most_held: int, length: int | None) -> None:
        self.loop = loop
        self.most_held = most_held
        self.length = length
        self.ended = length == 0
        self.trailers: http1.Headers = ()
        self.replayable = True
        self._pieces: deque[bytes] = deque()
        self._dropped = 0  # pieces let go
        self._held = 0
        self._reader: Task | None = None
        self._filler: Task | None = None
        self._drunk = 0  # pieces that an attempt took

    @property
    def full(self) -> bool:
        """Whether it takes no more for now."""
        return self._held >= self.most_held

    @property
    def settled(self) -> bool:
        """Whether an attempt may begin: all is here, or as much as is held."""
        return self.ended or self.full

    def fill(self, data: bytes) -> None:
        """One more piece."""
        self._pieces.append(data)
        self._held += len(data)
        self._tell_reader()

    def end(self, trailers: http1.Headers) -> None:
        """All has come."""
        self.ended, self.trailers = True, trailers
        self._tell_reader()

    def _tell_reader(self) -> None:
        if self._reader is not None and (self.settled or self._drunk):
            task, self._reader = self._reader, None
            self.loop.wake(task)

    def wait_settled(self, deadline: int) -> None:
        """Wait until an attempt may begin. Raises Expired."""
        while not self.settled:
            self._wait(deadline)

    def _wait(self, deadline: int) -> None:
        self._reader = self.loop.current
        try:
            self.loop.park(deadline)
        finally:
            self._reader = None

    def piece(self, number: int, deadline: int) -> bytes | None:
        """Piece ``number`` of the body, None after the last one; waits for it. Raises Expired.

        Pieces come in order. Once more came than is held, those that were taken are let go.
        """
        self._drunk = max(self._drunk, number)
        self._let_go()
        while number - self._dropped >= len(self._pieces):
            if self.ended:
                return None
            self._drunk = max(self._drunk, number, 1)
            self._wait(deadline)
        return self._pieces[number - self._dropped]

    def _let_go(self) -> None:
        while self.full and not self.ended and self._dropped < self._drunk:
            self._held -= len(self._pieces.popleft())
            self._dropped += 1
            self.replayable = False
        if not self.full and self._filler is not None:
            task, self._filler = self._filler, None
            self.loop.wake(task)

    def tell_when_room(self, task: Task) -> None:
        """Wake the task once it takes more."""
        self._filler = task


@dataclass(slots=True)
class ClientResponse:
    """A final answer for the client: whole, or the beginning of a stream of pieces."""

    status: int
    headers: list[tuple[bytes, bytes]]
    body: bytes = b""
    trailers: http1.Headers = ()
    stream: ResponseStream | None = None
    kind: str = "served"  # or refused, failed


class ResponseStream:
    """The rest of an answer that is too large to hold: a bounded queue between an attempt and the client."""

    MOST = 8  # pieces under way

    def __init__(self, loop: Loop, first: list[bytes]) -> None:
        self.loop = loop
        self.broken = False
        self.trailers: http1.Headers = ()
        self._queue: deque[bytes] = deque(first)
        self._ended = False
        self._reader: Task | None = None
        self._writer: Task | None = None

    def put(self, data: bytes) -> None:
        """One more piece; waits while too many are under way."""
        while len(self._queue) >= self.MOST and not self.broken:
            self._writer = self.loop.current
            self.loop.park()
        self._queue.append(data)
        self._wake_reader()

    def end(self, broken: bool, trailers: http1.Headers = ()) -> None:
        """All has come, or the rest never will."""
        self._ended, self.trailers = True, trailers
        self.broken = self.broken or broken
        self._wake_reader()
        self._wake_writer()

    def take(self, deadline: int) -> bytes | None:
        """The next piece, None at the end. Raises Expired."""
        while not self._queue:
            if self._ended or self.broken:
                return None
            self._reader = self.loop.current
            self.loop.park(deadline)
        self._wake_writer()
        return self._queue.popleft()

    def _wake_reader(self) -> None:
        if self._reader is not None:
            self.loop.wake(self._reader)

    def _wake_writer(self) -> None:
        if self._writer is not None:
            self.loop.wake(self._writer)


@dataclass(eq=False, slots=True)
class PendingRequest:
    """A request that the module knows; ``answer`` is set once, and then nothing more is owed."""

    number: int
    head: http1.Request
    call: Call
    body: RequestBody
    task: Task
    deadline: int  # clock time by which the final answer must have left
    arrived: int
    has_client_left: Callable[[], bool]  # whether the client's connection has ended, by the socket's state
    response: ClientResponse | None = None
    client_disconnected: bool = False
    attempts: int = 0
    was_unsent_at_hand_over: bool = False  # nothing of it was sent when our successor took over
    is_charged: bool = False  # our successor counted its units since
    first_sent_at: int | None = None  # when the first attempt that may have run left us
    awaits_continue: bool = False  # the client holds its body back until 100 Continue
    interim_responses: list[http1.Response] = field(default_factory=list)  # interim answers not passed on yet

    def add_interim_response(self, interim: http1.Response) -> None:
        """An interim answer for the client; those beyond a few are left out."""
        if self.response is None and len(self.interim_responses) < MAX_INTERIM_RESPONSES:
            self.interim_responses.append(interim)
            self.body.loop.wake(self.task)

    @property
    def request_class(self) -> policy.RequestClass:
        """Its class."""
        return self.call.request_class
