"""A fake endpoint: it executes requests on virtual cores, and injects the faults that are set.

The same code runs in a process and in a simulation. An endpoint that is overloaded while it warms up closes
all its connections and stays down.
"""

from __future__ import annotations

import msgspec

from orchidlane import http1
from orchidlane.http1 import Data, End, ProtocolError, Request
from orchidlane.runtime import (
    REQUESTS,
    ConnectionClosedError,
    DeadlineExceededError,
    EventLoop,
    Stream,
    TaskGroup,
)
from orchidlane.simulation.endpoint_capacity import Job, VirtualCores
from orchidlane.simulation.endpoint_spec import FAULTS_TARGET, ClassWork, EndpointFaults, EndpointSpec
from orchidlane.simulation.observations import (
    ATTEMPT_HEADER,
    REQUEST_HEADER,
    Arrival,
    EndpointOverload,
    Execution,
    Record,
    encode,
)

HANG_TIME_US = 60_000_000
FOREVER_US = 10**12


class FakeEndpoint:
    """One endpoint; ``run`` serves until it is killed."""

    def __init__(self, loop: EventLoop, spec: EndpointSpec) -> None:
        self.loop = loop
        self.spec = spec
        self.faults = EndpointFaults()
        self.cores = VirtualCores(loop, spec)
        self.is_down = False
        self.streams: dict[Stream, None] = {}
        self._work = {work.method: work for work in spec.work_by_class}

    def run(self) -> None:
        """Accept connections and serve them; an endpoint that broke down stays down."""
        self.listener = self.loop.backend.listen(self.spec.address)
        with TaskGroup(self.loop) as scope:
            while True:
                try:
                    stream = self.listener.accept()
                except ConnectionClosedError:
                    break
                self.streams[stream] = None
                scope.spawn(self._serve_connection, stream, priority=REQUESTS)
            self.loop.sleep(FOREVER_US)

    def _record(self, record: Record) -> None:
        if self.spec.records_path:
            self.loop.backend.append_file(self.spec.records_path, encode(record))

    def _break_down(self) -> None:
        self.is_down = True
        self._record(EndpointOverload(self.loop.now(), self.spec.name))
        self.listener.close()
        for stream in list(self.streams):
            stream.abort()

    def _serve_connection(self, stream: Stream) -> None:
        parser = http1.RequestParser()
        try:
            while self._serve_request(stream, parser):
                pass
        except (ConnectionClosedError, ProtocolError, DeadlineExceededError):
            pass
        finally:
            self.streams.pop(stream, None)
            stream.close()

    def _serve_request(self, stream: Stream, parser: http1.RequestParser) -> bool:
        """Serve one request; return whether the connection can be used for another one."""
        head, body = self._read_request(stream, parser)
        if head is None:
            return False
        if head.target.decode() == FAULTS_TARGET:
            self.faults = msgspec.json.decode(body, type=EndpointFaults)
            stream.send(http1.response_head(204, []))
            return True
        work = self._work.get(head.method)
        if work is None:
            stream.send(http1.response_head(405, [(b"content-length", b"0")]))
            return True
        self._record_arrival(head, work)
        return self._is_accepted(stream) and self._execute(stream, head, work) and head.keep_alive

    def _is_accepted(self, stream: Stream) -> bool:
        """Return whether no fault closes the connection before the request is processed."""
        random = self.loop.backend.random
        if random.random() < self.faults.hang:
            self.loop.sleep(HANG_TIME_US)
            return False
        if random.random() < self.faults.reset_before:
            stream.abort()
            return False
        return True

    def _read_request(self, stream: Stream, parser: http1.RequestParser) -> tuple[Request | None, bytes]:
        """Return head and body of a request; None and no body if the connection was closed."""
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

    def _record_arrival(self, head: Request, work: ClassWork) -> None:
        gateway = (http1.header(head.headers, b"via") or b"").decode().split(" ")[-1]
        self._record(
            Arrival(
                at=self.loop.now(),
                endpoint=self.spec.name,
                gateway=gateway,
                attempt=_header(head, b"orchidlane-attempt"),
                request=_header(head, REQUEST_HEADER),
                client_attempt=_header(head, ATTEMPT_HEADER),
                customer=int(_header(head, b"orchidlane-customer") or 0),
                units=work.units,
            )
        )

    def _execute(self, stream: Stream, head: Request, work: ClassWork) -> bool:
        random = self.loop.backend.random
        is_rejected = random.random() < self.faults.reject
        work_us = random.expovariate(1 / work.mean_us)
        if self.cores.is_overloaded_by(work_us):
            self._break_down()
        if self.is_down:
            return False
        if is_rejected or len(self.cores.queue) >= self.spec.max_queued:
            stream.send(http1.response_head(503, [(b"node-full", b"1"), (b"content-length", b"0")]))
            return True
        if not self._await_execution(stream, work_us):
            return False
        self._record_execution(head, work)
        return self._respond(stream, head)

    def _await_execution(self, stream: Stream, work_us: float) -> bool:
        """Wait until the work is done; return False if the client disconnects while it is queued."""
        task = self.loop.current
        assert task is not None
        job = Job(work_us, task)
        self.cores.submit(job)
        try:
            while not job.is_done:
                if job not in self.cores.active and stream.try_recv(1) == b"":
                    return False
                if job not in self.cores.active:
                    stream.wake_on_input(job.task)
                self.loop.park()
        finally:
            self.cores.abandon(job)
        return True

    def _record_execution(self, head: Request, work: ClassWork) -> None:
        self._record(
            Execution(
                at=self.loop.now(),
                endpoint=self.spec.name,
                cell=self.spec.cell,
                request=_header(head, REQUEST_HEADER),
                client_attempt=_header(head, ATTEMPT_HEADER),
                idempotency_key=_header(head, b"idempotency-key"),
                class_name=work.class_name,
            )
        )

    def _respond(self, stream: Stream, head: Request) -> bool:
        random = self.loop.backend.random
        if random.random() < self.faults.reset_after:
            stream.abort()
            return False
        response, body_bytes = self._response(head)
        if random.random() < self.faults.truncate:
            stream.send(response[: len(response) - body_bytes // 2])
            stream.abort()
            return False
        stream.send(response)
        return True

    def _response(self, head: Request) -> tuple[bytes, int]:
        """Return a response with a load report, and the length of its body."""
        status = 200 if head.method in ("GET", "HEAD") else 201
        body = b"x" * self.spec.response_bytes
        in_flight = len(self.cores.active) + len(self.cores.queue)
        report = b"util=%.2f, inflight=%d" % (self.cores.utilization(), in_flight)
        headers = [(b"content-length", b"%d" % len(body)), (b"node-report", report)]
        response = http1.response_head(status, headers) + (b"" if head.method == "HEAD" else body)
        return response, len(body)


def _header(head: Request, name: bytes) -> str:
    return (http1.header(head.headers, name) or b"").decode("latin-1")
