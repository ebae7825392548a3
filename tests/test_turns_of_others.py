# Guards against input of some clients or endpoints that keeps the event loop from everybody else (review/9).
from types import SimpleNamespace

import pytest
from harness.constants import MS, SECOND
from harness.platform_harness import (
    PlatformHarness,
    RealPlatformHarness,
    call,
    chunked_call,
    serve_every_request,
)

from orchidlane.gateway.forwarding.request_body import RequestBody
from orchidlane.gateway.server.client_connection import ClientConnection
from orchidlane.gateway.server.request_reader import RequestReader
from orchidlane.http1 import ParserLimits, ProtocolError
from orchidlane.http1.chunked_decoder import MAX_CHUNKS_PER_EVENT, ChunkedDecoder
from orchidlane.http1.request_parser import RequestParser
from orchidlane.platform.resource_limits import MAX_BODY_BYTES
from orchidlane.runtime import BACKGROUND, PEERS, REQUESTS, EventLoop
from orchidlane.runtime.scheduler import MAX_OPERATIONS_WITHOUT_YIELD, TASK_BUDGETS
from orchidlane.runtime.simulated_backend import SimulatedBackend

BODY_IN_SMALL_CHUNKS = b"1\r\nx\r\n" * (MAX_BODY_BYTES - 1)
MAX_CHUNKS_PER_TURN = MAX_CHUNKS_PER_EVENT * MAX_OPERATIONS_WITHOUT_YIELD


class WorkMeter:
    """Counts the calls of a method: all of them, and the most in one iteration of the event loop."""

    def __init__(self, monkeypatch, owner: type, name: str) -> None:
        self.calls = 0
        self.most_in_an_iteration = 0
        self.loop: EventLoop | None = None
        self._iteration = 0
        self._calls_in_iteration = 0
        method = getattr(owner, name)

        def counted(*args):
            self._count()
            return method(*args)

        monkeypatch.setattr(owner, name, counted)

    def _count(self) -> None:
        if self.loop is None:  # the gateway is starting
            return
        if self.loop.iterations != self._iteration:
            self._iteration = self.loop.iterations
            self._calls_in_iteration = 0
        self.calls += 1
        self._calls_in_iteration += 1
        self.most_in_an_iteration = max(self.most_in_an_iteration, self._calls_in_iteration)


@pytest.mark.parametrize("client_count", [1, 3, 20])
def test_bodies_in_small_chunks_are_parsed_in_turns_with_others(monkeypatch, client_count):
    meter = WorkMeter(monkeypatch, ChunkedDecoder, "_start_chunk")

    def test(harness) -> None:
        meter.loop = harness.loop
        for stream in [harness.connect() for _ in range(client_count)]:
            harness.scope.spawn(stream.send, chunked_call() + BODY_IN_SMALL_CHUNKS)
        harness.loop.sleep(SECOND)
        assert meter.calls >= client_count * (MAX_BODY_BYTES - 1)

    PlatformHarness(serve_every_request).run(test)
    first_turns = min(client_count, TASK_BUDGETS[REQUESTS])
    max_turns = first_turns + TASK_BUDGETS[BACKGROUND]
    assert meter.most_in_an_iteration <= max_turns * (MAX_CHUNKS_PER_TURN + 1)


def test_a_response_in_small_chunks_is_parsed_in_turns_with_others(monkeypatch):
    meter = WorkMeter(monkeypatch, ChunkedDecoder, "_start_chunk")

    def respond_in_small_chunks(harness, index, stream) -> None:
        harness.read_request(index, stream)
        head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        stream.send(head + BODY_IN_SMALL_CHUNKS + b"0\r\n\r\n")

    def test(harness) -> None:
        meter.loop = harness.loop
        stream = harness.connect()
        stream.send(call("read"))
        assert harness.answer(stream)[0] == 200

    PlatformHarness(respond_in_small_chunks).run(test)
    assert meter.calls >= MAX_BODY_BYTES - 1
    assert meter.most_in_an_iteration <= (1 + TASK_BUDGETS[BACKGROUND]) * (MAX_CHUNKS_PER_TURN + 1)


@pytest.mark.parametrize("chunk", [b"1\r\n \r\n", b"1\r\n\n\r\n", b"2\r\n\n\n\r\n"])
@pytest.mark.parametrize("start", [b"", b"1\r\n{\r\n"])
def test_a_list_in_small_pieces_is_read_in_turns_with_others(monkeypatch, chunk, start):
    meter = WorkMeter(monkeypatch, ChunkedDecoder, "_start_chunk")
    chunk_count = 10_000

    def test(harness) -> None:
        meter.loop = harness.loop
        harness.discovery.streams[0].send(start + chunk * chunk_count)
        harness.loop.sleep(SECOND)
        assert meter.calls >= chunk_count

    PlatformHarness(serve_every_request).run(test)
    assert meter.most_in_an_iteration <= (1 + TASK_BUDGETS[PEERS]) * (MAX_CHUNKS_PER_TURN + 1)


def test_a_request_is_answered_before_the_bodies_in_small_chunks_that_came_before_it(monkeypatch):
    meter = WorkMeter(monkeypatch, ChunkedDecoder, "_start_chunk")
    client_count = 20
    max_iterations = 20  # that a request takes: to read, forward, read the response and send it

    def test(harness) -> None:
        meter.loop = harness.loop
        usual = harness.connect()
        usual.send(call("read"))
        assert harness.answer(usual)[0] == 200
        for stream in [harness.connect() for _ in range(client_count)]:
            harness.scope.spawn(stream.send, chunked_call() + BODY_IN_SMALL_CHUNKS)
        harness.loop.yield_to_others()  # the bodies are sent first
        usual.send(call("read"))
        assert harness.answer(usual)[0] == 200
        max_turns = client_count + TASK_BUDGETS[BACKGROUND]
        assert meter.calls <= max_iterations * max_turns * (MAX_CHUNKS_PER_TURN + 1)

    RealPlatformHarness(serve_every_request).run(test)


@pytest.mark.parametrize(
    ("chunk_count", "is_rejected"), [(MAX_CHUNKS_PER_TURN - MAX_CHUNKS_PER_EVENT, False), (2_000, True)]
)
def test_a_body_whose_turns_last_past_its_deadline_is_rejected(chunk_count, is_rejected):
    loop = EventLoop(SimulatedBackend(1))
    timeouts = SimpleNamespace(request_head_us=0, response_margin_us=0)
    reader = RequestReader(SimpleNamespace(loop=loop, timeouts=timeouts, shutdown_deadline=None))
    connection = ClientConnection(None, ParserLimits(), loop.now(), 1)
    connection.has_sent_request = True
    connection.parser.receive(chunked_call() + b"1\r\nx\r\n" * chunk_count + b"0\r\n\r\n")
    body = RequestBody(loop, MAX_BODY_BYTES, None)
    request = SimpleNamespace(body=body, call=SimpleNamespace(timeout_us=SECOND))
    statuses = []

    def read_body() -> None:
        connection.parser.next_event()
        try:
            reader.read_complete(connection, request)
        except ProtocolError as error:
            statuses.append(error.status)

    loop.run(read_body)
    assert statuses == ([408] if is_rejected else [])
    assert body.is_complete is not is_rejected


def test_pipelined_requests_share_the_budget_of_an_iteration(monkeypatch):
    meter = WorkMeter(monkeypatch, RequestParser, "_parse_head")
    client_count, request_count = 20, 300

    def test(harness) -> None:
        meter.loop = harness.loop
        for number in range(client_count):
            rejected = [call("read", plan="small", client=f"{number:016x}") for _ in range(request_count)]
            harness.scope.spawn(harness.connect().send, b"".join(rejected))
        harness.until(lambda: meter.calls >= client_count * request_count, 30 * SECOND)

    RealPlatformHarness(serve_every_request).run(test)
    # The endpoints of this test parse heads in the same event loop
    assert meter.most_in_an_iteration <= 2 * TASK_BUDGETS[REQUESTS]


def test_a_yield_to_a_lower_priority_lets_all_higher_ones_run_first():
    loop = EventLoop(SimulatedBackend(1))
    order = []

    def work(name: str) -> None:
        order.append(name)
        if name.startswith("bulk"):
            loop.yield_to_others(BACKGROUND)
            order.append(f"{name} continues in iteration {loop.iterations}")

    def root() -> None:
        for number in range(TASK_BUDGETS[BACKGROUND] + 1):
            loop.spawn(work, f"bulk {number}", priority=REQUESTS)
        loop.spawn(work, "request", priority=REQUESTS)
        loop.sleep(1 * MS)

    loop.run(root)
    budget = TASK_BUDGETS[BACKGROUND]
    assert order[: budget + 2] == [*(f"bulk {number}" for number in range(budget + 1)), "request"]
    iterations = [int(entry.rpartition(" ")[2]) for entry in order[budget + 2 :]]
    assert len(iterations) == budget + 1
    assert iterations[-1] == iterations[0] + 1
