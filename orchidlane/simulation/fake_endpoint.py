"""A stand-in for a data node: cores that are shared, a cold start, falling over, and faults on demand.

Runs in both worlds. Work is time on virtual cores, no CPU: ``n`` requests in work get ``min(1, cores / n)``
core each, times the ramp of a cold start. Sent more than ``fall_multiple`` times what it can do for
``overload_for`` while cold, the node falls over and stays down.
"""

from __future__ import annotations

from collections import deque
from typing import Any

import msgspec

from orchidlane import http1
from orchidlane.http1 import Data, End, ProtocolError, Request
from orchidlane.runtime import (
    REQUESTS,
    ConnectionClosedError,
    DeadlineExceededError,
    EventLoop,
    Stream,
    Task,
    TaskGroup,
)
from orchidlane.runtime.backend import Address
from orchidlane.simulation.observations import Arrival, EndpointOverload, Execution, encode

FAULTS_TARGET = "/_lab/faults"


class ClassWork(msgspec.Struct, frozen=True):
    """What one class of requests takes: mean core time in microseconds, and its units."""

    method: str
    class_name: str
    mean_us: int = msgspec.field(name="mean")
    units: float


class EndpointSpec(msgspec.Struct, frozen=True):
    """One node; spans in microseconds."""

    name: str
    address: Address
    cell: str
    records_path: str = msgspec.field(name="records")  # file; none is written where empty
    work_by_class: tuple[ClassWork, ...] = msgspec.field(name="work")
    cores: float = 2.0
    max_active: int = msgspec.field(name="slots", default=32)
    max_queued: int = msgspec.field(name="queue", default=64)
    slow_start: bool = msgspec.field(name="cold", default=False)
    slow_start_initial_share: float = msgspec.field(name="cold_from", default=0.25)
    slow_start_duration_us: int = msgspec.field(name="warm_within", default=15_000_000)
    overload_multiple: float = msgspec.field(name="fall_multiple", default=2.0)
    overload_duration_us: int = msgspec.field(name="overload_for", default=2_000_000)
    response_bytes: int = msgspec.field(name="answer_size", default=400)


class EndpointFaults(msgspec.Struct, frozen=True):
    """Chances for each request: reset before it is read, after it ran, its answer cut, or no word at all."""

    reset_before: float = 0.0
    reset_after: float = 0.0
    truncate: float = msgspec.field(name="cut", default=0.0)
    hang: float = msgspec.field(name="silent", default=0.0)
    reject: float = msgspec.field(name="full", default=0.0)


class Job:
    """A request in work or waiting."""

    __slots__ = ("done", "left", "task", "wanted")

    def __init__(self, left: float, task: Task) -> None:
        self.left = left
        self.task = task
        self.done = False
        self.wanted = True


class FakeEndpoint:
    """One node; ``run`` serves until it is killed or falls over."""

    def __init__(self, loop: EventLoop, spec: EndpointSpec) -> None:
        self.loop = loop
        self.spec = spec
        self.faults = EndpointFaults()
        self.born = loop.now()
        self.fallen = False
        self.active: dict[Job, None] = {}
        self.waiting: deque[Job] = deque()
        self.streams: dict[Stream, None] = {}
        self._since = loop.now()
        self._timer: Any = None
        self._arrived: deque[tuple[int, float]] = deque()  # work that came lately
        self._arrived_sum = 0.0
        self._work = {one.method: one for one in spec.work_by_class}

    def run(self) -> None:
        """Listen and serve."""
        self.listener = self.loop.backend.listen(self.spec.address)
        with TaskGroup(self.loop) as scope:
            while True:
                try:
                    stream = self.listener.accept()
                except ConnectionClosedError:
                    break
                self.streams[stream] = None
                scope.spawn(self._client, stream, priority=REQUESTS)
            self.loop.sleep(10**12)

    def _record(self, record: Any) -> None:
        if self.spec.records_path:
            self.loop.backend.append_file(self.spec.records_path, encode(record))

    # -- capacity

    def ramp(self) -> float:
        """The part of its capacity that a cold node has so far."""
        if not self.spec.slow_start:
            return 1.0
        age = (self.loop.now() - self.born) / self.spec.slow_start_duration_us
        return min(1.0, self.spec.slow_start_initial_share + (1 - self.spec.slow_start_initial_share) * age)

    def _speed(self) -> float:
        return min(1.0, self.spec.cores * self.ramp() / max(1, len(self.active)))

    def _advance(self) -> None:
        """Bring all jobs up to now, end those that are done, and set the timer for the next one."""
        now = self.loop.now()
        gone = (now - self._since) * self._speed()
        self._since = now
        for job in list(self.active):
            job.left -= gone
            if job.left <= 1:
                del self.active[job]
                job.done = True
                self.loop.wake(job.task)
        while self.waiting and len(self.active) < self.spec.max_active:
            job = self.waiting.popleft()
            if job.wanted:
                self.active[job] = None
                self.loop.wake(job.task)
        if self._timer is not None:
            self.loop.timers.cancel(self._timer)
            self._timer = None
        if self.active:
            first = min(job.left for job in self.active) / self._speed()
            self._timer = self.loop.call_at(now + max(500, min(50_000, int(first) + 1)), self._tick)

    def _tick(self, _: Any) -> None:
        self._timer = None
        self._advance()

    def _press(self, work: float) -> None:
        """Work has come: a cold node may fall over."""
        now, span = self.loop.now(), self.spec.overload_duration_us
        self._arrived.append((now, work))
        self._arrived_sum += work
        while self._arrived[0][0] < now - span:
            self._arrived_sum -= self._arrived.popleft()[1]
        capacity = self.spec.cores * self.ramp() * span
        if self.ramp() < 1 and self._arrived_sum > self.spec.overload_multiple * capacity * 1.1 + work:
            self.fallen = True
            self._record(EndpointOverload(now, self.spec.name))
            self.listener.close()
            for stream in list(self.streams):
                stream.abort()

    # -- one client

    def _client(self, stream: Stream) -> None:
        parser = http1.RequestParser()
        try:
            while self._one(stream, parser):
                pass
        except (ConnectionClosedError, ProtocolError, DeadlineExceededError):
            pass
        finally:
            self.streams.pop(stream, None)
            stream.close()

    def _one(self, stream: Stream, parser: http1.RequestParser) -> bool:
        head, body = self._read(stream, parser)
        if head is None:
            return False
        if head.target.decode() == FAULTS_TARGET:
            self.faults = msgspec.json.decode(body, type=EndpointFaults)
            stream.send(http1.response_head(204, []))
            return True
        random, faults = self.loop.backend.random, self.faults
        work = self._work.get(head.method)
        if work is None:
            stream.send(http1.response_head(405, [(b"content-length", b"0")]))
            return True
        self._arrival(head, work)
        if random.random() < faults.hang:
            self.loop.sleep(60_000_000)
            return False
        if random.random() < faults.reset_before:
            stream.abort()
            return False
        full = random.random() < faults.reject
        return self._serve(stream, head, work, full) and head.keep_alive

    def _read(self, stream: Stream, parser: http1.RequestParser) -> tuple[Request | None, bytes]:
        head, body = None, b""
        while True:
            event = parser.next_event()
            if event is None:
                data = stream.recv()
                parser.receive(data)
                if not data:
                    return None, b""
            elif isinstance(event, Request):
                head = event
            elif isinstance(event, Data):
                body += event.data
            elif isinstance(event, End):
                parser.next_message()
                return head, body

    def _arrival(self, head: Request, work: ClassWork) -> None:
        via = (http1.header(head.headers, b"via") or b"").decode().split(" ")[-1]
        self._record(
            Arrival(
                at=self.loop.now(),
                endpoint=self.spec.name,
                gateway=via,
                attempt=_text(head, b"orchidlane-attempt"),
                request=_text(head, b"lab-request"),
                client_attempt=_text(head, b"lab-try"),
                customer=int(_text(head, b"orchidlane-customer") or 0),
                units=work.units,
            )
        )

    def _serve(self, stream: Stream, head: Request, work: ClassWork, full: bool) -> bool:
        task = self.loop.current
        assert task is not None
        amount = self.loop.backend.random.expovariate(1 / work.mean_us)
        self._press(amount)
        if self.fallen:
            return False
        if full or len(self.waiting) >= self.spec.max_queued:
            headers = [(b"node-full", b"1"), (b"content-length", b"0")]
            stream.send(http1.response_head(503, headers))
            return True
        job = Job(amount, task)
        if not self._work_on(stream, job):
            return False
        self._ran(head, work)
        return self._respond(stream, head)

    def _work_on(self, stream: Stream, job: Job) -> bool:
        """Wait for a slot and for the work; a client that leaves while waiting is dropped."""
        self.waiting.append(job)
        self._advance()
        try:
            while not job.done:
                if job not in self.active and stream.try_recv(1) == b"":
                    return False
                if job not in self.active:
                    stream.wake_on_input(job.task)
                self.loop.park()
        finally:
            job.wanted = False
            if not job.done:
                self.active.pop(job, None)
        return True

    def _ran(self, head: Request, work: ClassWork) -> None:
        self._record(
            Execution(
                at=self.loop.now(),
                endpoint=self.spec.name,
                cell=self.spec.cell,
                request=_text(head, b"lab-request"),
                client_attempt=_text(head, b"lab-try"),
                idempotency_key=_text(head, b"idempotency-key"),
                class_name=work.class_name,
            )
        )

    def _respond(self, stream: Stream, head: Request) -> bool:
        random = self.loop.backend.random
        if random.random() < self.faults.reset_after:
            stream.abort()
            return False
        status = 200 if head.method in ("GET", "HEAD") else 201
        body = b"x" * self.spec.response_bytes
        report = b"util=%.2f, inflight=%d" % (
            min(1.0, len(self.active) / self.spec.cores),
            len(self.active) + len(self.waiting),
        )
        headers = [(b"content-length", b"%d" % len(body)), (b"node-report", report)]
        data = http1.response_head(status, headers) + (b"" if head.method == "HEAD" else body)
        if random.random() < self.faults.truncate:
            stream.send(data[: len(data) - len(body) // 2])
            stream.abort()
            return False
        stream.send(data)
        return True


def _text(head: Request, name: bytes) -> str:
    return (http1.header(head.headers, name) or b"").decode("latin-1")
