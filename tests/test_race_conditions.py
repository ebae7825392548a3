"""What if a request, an answer or an end comes between two lines? Each bad order is forced, over real
connections.

All parties are tasks of one loop in one process: what a test sends without waiting has arrived at the
gateway's machine before the gateway runs again.
"""

from __future__ import annotations

import dataclasses
import select
from contextlib import suppress

import pytest
from harness.platform_harness import MS, OK, SECOND, PlatformHarness, RealPlatformHarness, call, settings

from orchidlane.platform.shutdown import ACCEPT_PERIOD_US, graceful_shutdown
from orchidlane.runtime import ConnectionClosedError

CLOSE = "Connection: close"
FULL = b"HTTP/1.1 503 Busy\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n"
STRAY = b"x" * 100_000  # more than the gateway reads ahead, less than its machine takes


def run(*handlers, test, **changes) -> RealPlatformHarness:
    harness = RealPlatformHarness(*handlers, **changes)
    harness.run(test)
    return harness


def serves(harness, index, stream):
    while True:
        harness.read_request(index, stream)
        stream.send(OK)


def held(harness, index, stream):
    """A host that answers once the test sets ``harness.answer_now``."""
    while True:
        harness.read_request(index, stream)
        harness.until(lambda: harness.answer_now)
        stream.send(OK)


def silent(harness, index, stream):
    """A host that never answers; tells when its connection has ended."""
    harness.read_request(index, stream)
    with suppress(ConnectionClosedError):
        while stream.recv():
            pass
    harness.host_saw_end = True


def to_the_end(harness, stream) -> bytes:
    """All that comes until an end in order; a reset raises Closed."""
    found = b""
    while data := stream.recv(deadline=harness.loop.now() + 5 * SECOND):
        found += data
    return found


def to_hosts(harness) -> list:
    """The gateway's connections to hosts."""
    streams = harness.backend.descriptors()
    return [one for one in streams if getattr(one, "peer", ("", 0)) == (harness.at, 9000)]


def send_what_fits(stream, data: bytes) -> None:
    while data and (done := stream.try_send(data)):
        data = data[done:]


class Gate:
    """Holds connections to hosts, from the ``first`` on, after they were made and before they are used."""

    def __init__(self, harness, first: int = 0) -> None:
        self.harness, self.first = harness, first
        self.made, self.is_open = 0, False
        self.waiting: list = []
        self.connect, harness.backend.connect = harness.backend.connect, self

    def __call__(self, to, deadline=None):
        stream = self.connect(to, deadline)
        if to[1] >= 9000:
            self.made += 1
            if self.made > self.first and not self.is_open:
                self.waiting.append(self.harness.loop.current)
                self.harness.loop.park(deadline)
        return stream

    def open(self) -> None:
        """Those who wait go on before anything else that comes from now on is known."""
        self.is_open = True
        for task in self.waiting:
            self.harness.loop.wake(task)


# -- closes of clients' connections


def test_a_last_response_is_complete_with_unread_bytes_behind_its_request():
    def test(harness: RealPlatformHarness) -> None:
        harness.answer_now = False
        client = harness.connect()
        send_what_fits(client, call(more=CLOSE) + STRAY)
        harness.until(lambda: harness.seen)
        harness.answer_now = True
        answer = to_the_end(harness, client)
        assert answer.startswith(b"HTTP/1.1 200")
        assert answer.endswith(b"\r\n\r\nok")

    assert len(run(held, test=test).seen) == 1


@pytest.mark.parametrize("raw", [b"\x16\x03\x01\r\n\r\n", call("none"), call(left="x")], ids=range(3))
def test_an_error_response_is_complete_with_unread_bytes_behind_its_request(raw):
    def test(harness: RealPlatformHarness) -> None:
        client = harness.connect()
        send_what_fits(client, raw.replace(b"Plan", CLOSE.encode() + b"\r\nPlan") + STRAY)
        assert to_the_end(harness, client).startswith(b"HTTP/1.1 4")

    assert not run(serves, test=test).seen


def idle_client(harness):
    """A client that was served and rests; long enough for it to be closed to make room."""
    client = harness.connect()
    client.send(call())
    assert harness.answer(client)[0] == 200
    harness.until(lambda: harness.gateway.http_server.idle_connections)
    next(iter(harness.gateway.http_server.idle_connections)).idle_since_us -= SECOND
    return client


def test_a_request_that_came_just_before_eviction_is_served():
    def test(harness: RealPlatformHarness) -> None:
        client, front = idle_client(harness), harness.gateway.http_server
        client.send(call())
        assert not front._close_idle()
        assert harness.answer(client)[0] == 200

    run(serves, test=test)


def test_a_request_just_after_eviction_finds_a_closed_connection_and_is_not_forwarded():
    def test(harness: RealPlatformHarness) -> None:
        client, front = idle_client(harness), harness.gateway.http_server
        assert front._close_idle()
        client.send(call())
        assert to_the_end(harness, client) == b""
        assert not front.connections

    assert len(run(serves, test=test).seen) == 1


def test_a_request_that_came_as_the_idle_timeout_expired_is_served():
    def test(harness: RealPlatformHarness) -> None:
        front = harness.gateway.http_server
        front.timeouts = dataclasses.replace(front.timeouts, client_idle_us=30 * MS)
        client = idle_client(harness)
        by = harness.loop.now() + 40 * MS
        client.send(call())
        while harness.loop.now() < by:  # the whole process stands still until the time is over
            pass
        assert harness.answer(client)[0] == 200

    run(serves, test=test)


def test_an_idle_timeout_closes_without_a_reset():
    def test(harness: RealPlatformHarness) -> None:
        front = harness.gateway.http_server
        front.timeouts = dataclasses.replace(front.timeouts, client_idle_us=30 * MS)
        client = idle_client(harness)
        harness.until(lambda: not front.connections)
        client.send(call())  # crosses the end
        assert to_the_end(harness, client) == b""

    assert len(run(serves, test=test).seen) == 1


def test_a_request_beyond_the_in_flight_limit_is_rejected_at_once_and_not_delayed():
    """Held back, its answer came 0.5 s late, or never where its connection went meanwhile to make room."""

    def test(harness: RealPlatformHarness) -> None:
        harness.answer_now = False
        front = harness.gateway.http_server
        front.timeouts = dataclasses.replace(front.timeouts, error_delay_us=60 * SECOND)
        busy = harness.connect()
        busy.send(call())
        harness.until(lambda: harness.seen)
        crowded = harness.connect()
        crowded.send(call())
        assert crowded.recv(deadline=harness.loop.now() + 5 * SECOND).startswith(b"HTTP/1.1 503")
        crowded.send(call())
        assert crowded.recv(deadline=harness.loop.now() + 5 * SECOND).startswith(b"HTTP/1.1 503")
        harness.gateway.stopping = True
        crowded.send(b"GET /up HTTP/1.1\r\nHost: g\r\n\r\n")
        assert crowded.recv(deadline=harness.loop.now() + 5 * SECOND).startswith(b"HTTP/1.1 503")
        harness.answer_now = True
        assert harness.answer(busy)[0] == 200

    permissions = {**settings()["permissions"], "openCap": 1}
    assert len(run(held, test=test, settings=settings(permissions=permissions)).seen) == 1


# -- SIGTERM


def test_requests_that_came_before_the_drain_are_served_and_later_ones_are_not():
    def test(harness: RealPlatformHarness) -> None:
        front = harness.gateway.http_server
        resting, asking, half = (idle_client(harness) for _ in range(3))
        newcomer, new_half = harness.connect(), harness.connect()
        raw = call()
        half.send(raw[:30])
        new_half.send(raw[:30])
        harness.until(
            lambda: (
                len(front.connections) == 5 and sum(c.parser.pending_bytes for c in front.connections) == 60
            )
        )
        asking.send(call())
        newcomer.send(call())
        at_the_listener = harness.connect()
        at_the_listener.send(call())
        harness.gateway.stopping = True
        front.drain()  # before any of these tasks runs again
        resting.send(call())  # crosses the end
        half.send(raw[30:])
        new_half.send(call()[30:])
        assert to_the_end(harness, resting) == b""
        for stream in (asking, newcomer, at_the_listener, half, new_half):
            answer = to_the_end(harness, stream)
            assert answer.startswith(b"HTTP/1.1 200")
            assert b"connection: close" in answer
        assert not front.connections

    assert len(run(*[serves] * 6, test=test).seen) == 3 + 5


@pytest.mark.parametrize("read", [True, False], ids=["read ahead", "at our machine"])
def test_pipelined_requests_at_the_drain_are_served(read):
    """The one under way is not the last: those sent along with it had come as well, read by us or not yet."""

    def test(harness: RealPlatformHarness) -> None:
        harness.answer_now = False
        front = harness.gateway.http_server
        if not read:  # the bound of what is read ahead is reached with the first of them
            front.resource_limits = dataclasses.replace(front.resource_limits, max_pipelined_bytes=1)
        client = harness.connect()
        for _ in range(3):
            client.send(call())
        harness.until(lambda: harness.seen and client.sent_bytes and harness.gateway.policy_driver.requests)
        harness.gateway.stopping = True
        front.drain()
        harness.answer_now = True
        answers = to_the_end(harness, client)
        assert answers.count(b"HTTP/1.1 200") == 3
        assert answers.count(b"connection: close") == 1
        assert b"close" in answers.rpartition(b"HTTP/1.1")[2]
        assert not front.connections

    assert len(run(*[held] * 3, test=test).seen) == 3


def test_a_client_that_keeps_sending_is_closed_at_the_end_of_the_shutdown():
    """However many requests wait behind one another, the last answer says that it is the last."""

    def test(harness: RealPlatformHarness) -> None:
        front = harness.gateway.http_server
        client = harness.connect()
        said, unsent = b"", b""

        def send_more():
            nonlocal unsent
            while len(unsent) < 50_000:  # hundreds always wait
                unsent += call()
            with suppress(ConnectionClosedError):  # sent after the end had come
                unsent = unsent[client.try_send(unsent) :]

        send_more()
        harness.until(lambda: harness.gateway.policy_driver.last_request_number)
        harness.gateway.stopping = True
        front.shutdown_deadline = harness.loop.now() + 200 * MS
        front.drain()
        while data := client.recv(deadline=harness.loop.now() + 5 * SECOND):
            said += data
            send_more()
        assert front.shutdown_deadline <= harness.loop.now() < front.shutdown_deadline + SECOND
        assert said.count(b"connection: close") == 1
        assert not front.connections

    run(*[serves] * 3, test=test)


def test_a_client_that_waits_for_capacity_at_the_drain_is_closed_without_a_reset():
    def test(harness: RealPlatformHarness) -> None:
        harness.answer_now = False
        front = harness.gateway.http_server
        front.resource_limits = dataclasses.replace(front.resource_limits, max_connections=1)
        busy, crowded = harness.connect(), harness.connect()
        busy.send(call())
        harness.until(lambda: harness.seen)
        crowded.send(call())
        harness.until(lambda: not harness.backend.poll_once(front.listener, select.POLLIN))  # it was taken
        front.drain()
        assert to_the_end(harness, crowded) == b""
        harness.answer_now = True
        assert harness.answer(busy)[0] == 200

    assert len(run(held, test=test).seen) == 1


def test_sigterm_with_a_request_at_each_stage_answers_each_exactly_once():
    def test(harness: RealPlatformHarness) -> None:
        harness.answer_now = False
        streams = {name: harness.connect() for name in ("sent", "half read", "at rest", "after")}
        body = b"x" * 40
        raw = call("put", body=body, left="1.500")
        streams["sent"].send(call("put", body=body, left="1.500"))
        streams["half read"].send(raw[:-20])
        harness.until(lambda: harness.seen)
        harness.gateway.stop()
        harness.gateway.stop()  # twice changes nothing
        harness.gateway.reload()  # nor does a SIGHUP whose file is gone
        streams["after"].send(call("put", body=body, left="1.500"))
        streams["half read"].send(raw[-20:])
        harness.until(lambda: len(harness.seen) == 3)
        harness.loop.sleep(ACCEPT_PERIOD_US)
        harness.answer_now = True
        for name, stream in streams.items():
            answer = to_the_end(harness, stream)
            assert answer.count(b"HTTP/1.1 200") == (name != "at rest"), name
        harness.until(lambda: harness.ended)

    assert len(run(held, held, held, test=test).seen) == 3


# -- ends, whatever the deadlines


@pytest.mark.parametrize("longest", [1 * MS, 150 * MS, SECOND, 3 * SECOND, 60 * SECOND])
def test_the_shutdown_times_add_up_to_the_kill_delay(longest):
    leave, last, end = graceful_shutdown(0, longest)
    counted = min(longest, 3 * SECOND)
    assert leave >= 400 * MS  # new connections keep coming
    assert leave + counted <= last < end < counted + 700 * MS
    assert end - last >= 50 * MS  # for the last answers


@pytest.mark.parametrize("deadline", [120 * MS, 2 * SECOND])
def test_requests_before_the_drain_have_their_full_deadline(deadline):
    """With short deadlines, too: a kept connection that is used until it ends."""

    def slow(harness, index, stream):
        harness.read_request(index, stream)
        harness.loop.sleep(30 * MS)
        stream.send(OK.replace(b"\r\n\r\n", b"\r\nConnection: close\r\n\r\n"))

    def test(harness: RealPlatformHarness) -> None:
        client = harness.connect()
        harness.until(lambda: harness.gateway.http_server.connections)
        harness.gateway.stop()
        served = 0
        while True:
            with suppress(ConnectionClosedError):  # sent after the end had come
                client.send(call(left=f"{deadline / SECOND:.3f}"))
            if not (said := client.recv(deadline=harness.loop.now() + 5 * SECOND)):
                break
            assert said.startswith(b"HTTP/1.1 200")
            served += 1
        assert served > 3
        harness.until(lambda: harness.ended)

    classes = [{**cls, "deadline": deadline, "target": deadline} for cls in settings()["classes"]]
    PlatformHarness(slow, settings=settings(classes=classes)).run(
        test
    )  # exact times are the simulated world's


# -- clients that have left


LEAVE = ["half_close", "close", "abort"]


@pytest.mark.parametrize("leave", LEAVE)
def test_a_request_of_a_client_that_left_at_once_is_not_forwarded(leave):
    def test(harness: RealPlatformHarness) -> None:
        client = harness.connect()
        client.send(call("bill", body=b"1"))
        getattr(client, leave)()
        harness.until(lambda: harness.gateway.policy_driver.last_request_number or leave == "abort")
        harness.until(lambda: not harness.gateway.http_server.connections)
        assert not harness.gateway.policy_driver.requests
        assert not harness.gateway.policy_driver.gateway.attempts

    assert not run(serves, test=test).seen


@pytest.mark.parametrize("leave", LEAVE)
@pytest.mark.parametrize("attempt", [1, 2])
def test_a_request_of_a_client_that_leaves_while_its_attempt_connects_is_not_sent(attempt, leave):
    def full(harness, index, stream):
        harness.read_request(index, stream)
        stream.send(FULL)

    def test(harness: RealPlatformHarness) -> None:
        gate = Gate(harness, first=attempt - 1)
        client = harness.connect()
        client.send(call("put", body=b"1"))
        harness.until(lambda: gate.waiting)
        getattr(client, leave)()
        gate.open()  # the attempt goes on before its front hears of the end
        harness.until(lambda: not harness.gateway.policy_driver.requests)
        harness.until(lambda: not harness.gateway.policy_driver.gateway.attempts)
        assert not harness.gateway.clients.in_flight

    assert len(run(full, full, test=test).seen) == attempt - 1


@pytest.mark.parametrize("leave", LEAVE)
def test_a_client_that_leaves_behind_pipelined_bytes_is_detected(leave):
    def test(harness: RealPlatformHarness) -> None:
        harness.host_saw_end = False
        client = harness.connect()
        send_what_fits(client, call(left="2.000") + STRAY)
        harness.until(lambda: harness.seen)
        iterations_before = harness.loop.iterations
        harness.loop.sleep(20 * MS)
        assert harness.gateway.policy_driver.requests
        assert harness.loop.iterations - iterations_before < 50
        getattr(client, leave)()
        harness.until(
            lambda: not harness.gateway.policy_driver.requests, 1_500 * MS
        )  # before its time is over
        harness.until(lambda: harness.host_saw_end)

    run(silent, test=test)


def test_a_request_of_a_client_that_left_behind_pipelined_bytes_is_not_sent():
    def test(harness: RealPlatformHarness) -> None:
        gate = Gate(harness)
        client = harness.connect()
        send_what_fits(client, call() + STRAY)
        harness.until(lambda: gate.waiting)
        client.abort()
        gate.open()
        harness.until(
            lambda: (
                not harness.gateway.policy_driver.requests
                and not harness.gateway.policy_driver.gateway.attempts
            )
        )

    assert not run(serves, test=test).seen


# -- hosts' connections


def test_an_endpoint_that_writes_as_its_idle_connection_closes_is_not_reset():
    def test(harness: RealPlatformHarness) -> None:
        assert harness.ask(call())[0] == 200
        theirs = harness.host_stream
        theirs.send(b"HTTP/1.1 2")  # half a line, unread when the connection goes
        harness.gateway.pool.retire_idle(b"s-0")
        theirs.send(b"00 OK\r\n")
        assert to_the_end(harness, theirs) == b""
        theirs.close()
        harness.until(lambda: not harness.gateway.pool.lingering)

    def once(harness, index, stream):
        harness.host_stream = stream
        harness.read_request(index, stream)
        stream.send(OK)
        harness.loop.sleep(60 * SECOND)

    run(once, test=test)


@pytest.mark.parametrize("how", ["half_close", "abort", "half a line"])
def test_an_idle_connection_closed_by_its_endpoint_at_acquisition_carries_no_request(how):
    def test(harness: RealPlatformHarness) -> None:
        assert harness.ask(call("bill"))[0] == 200
        client = harness.connect()
        client.send(call("bill"))
        if how == "half a line":
            harness.streams[0].send(b"HTTP/1.1 2")
        else:
            getattr(harness.streams[0], how)()
        assert harness.answer(client, "POST")[0] == 200
        assert len(harness.streams) == 2

    def counted(harness, index, stream):
        harness.streams = [*getattr(harness, "streams", []), stream]
        serves(harness, index, stream)

    assert len(run(counted, test=test).seen) == 2


def test_a_connection_released_unused_keeps_its_age():
    """Its host closes it by the time since its last request, whoever looked at it meanwhile."""

    def test(harness: RealPlatformHarness) -> None:
        assert harness.ask(call())[0] == 200
        harness.loop.sleep(2 * harness.gateway.pool.times.endpoint_reuse_delay_us)
        (resting,) = harness.gateway.pool._idle[b"s-0"]
        resting.idle_since -= harness.gateway.pool.times.endpoint_idle_us - 150 * MS
        before = resting.idle_since
        client = harness.connect()
        client.send(call())
        client.half_close()  # the attempt has its connection when that is seen
        harness.until(
            lambda: (
                harness.gateway.policy_driver.last_request_number == 2
                and not harness.gateway.policy_driver.requests
            )
        )
        harness.until(lambda: not harness.gateway.policy_driver.gateway.attempts)
        assert harness.gateway.pool._idle[b"s-0"][0].idle_since == before
        harness.loop.sleep(200 * MS)
        assert harness.ask(call())[0] == 200
        assert len(harness.streams) == 2  # a new one, since the other is as old as it is

    def counted(harness, index, stream):
        harness.streams = [*getattr(harness, "streams", []), stream]
        serves(harness, index, stream)

    assert len(run(counted, test=test).seen) == 2


HEAD = b"HTTP/1.1 200 OK\r\n"
ANSWERS = {
    "cut": (HEAD + b"Content-Length: 5\r\n\r\nab", "half_close", 500),
    "cut by a reset": (HEAD + b"Content-Length: 5\r\n\r\nab", "abort", 500),
    "no length, ended": (HEAD + b"\r\nok", "half_close", 200),
    "no length, reset": (HEAD + b"\r\nok", "abort", 500),
    "chunks, ended in order": (
        HEAD + b"Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
        "half_close",
        200,
    ),
    "chunks, cut": (HEAD + b"Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n", "half_close", 500),
    "a head, cut": (HEAD + b"Content-Le", "half_close", 500),
    "nothing, ended": (b"", "half_close", 500),
    "doubled": (OK + OK, "", 200),
}


@pytest.mark.parametrize("name", ANSWERS)
def test_a_response_is_served_only_if_it_is_complete(name):
    raw, how, status = ANSWERS[name]

    def host(harness, index, stream):
        harness.read_request(index, stream)
        if raw:
            stream.send(raw)
            harness.until(lambda: not any(one.has_input() for one in to_hosts(harness)))
        if how:
            getattr(stream, how)()

    def test(harness: RealPlatformHarness) -> None:
        found = harness.ask(call("bill", left="1.500"))
        assert (found[0], found[2]) == (status, b"ok" if status == 200 else b"")

    assert len(run(host, test=test).seen) == 1


def numbered(harness) -> bytes:
    """An answer that tells which request it was made for."""
    return OK.replace(b"ok", b"%02d" % len(harness.seen))


def test_a_second_response_that_crosses_the_next_request_is_not_matched_to_it():
    """It was on its way when that request left: nothing tells the two apart, so none may leave so soon."""

    def answers_again(harness, index, stream):
        before = b""
        while True:
            harness.read_request(index, stream)
            stream.send(before)
            before = numbered(harness)
            stream.send(before)

    def test(harness: RealPlatformHarness) -> None:
        client = harness.connect()
        for number in (b"01", b"02", b"03"):
            client.send(call())
            assert harness.answer(client)[2] == number

    run(answers_again, test=test)


def test_a_late_second_response_closes_its_connection():
    def answers_again(harness, index, stream):
        while True:
            harness.read_request(index, stream)
            stream.send(numbered(harness))
            harness.loop.sleep(3 * MS)
            stream.send(numbered(harness))

    def test(harness: RealPlatformHarness) -> None:
        client = harness.connect()
        for number in (b"01", b"02", b"03"):
            client.send(call())
            assert harness.answer(client)[2] == number
            harness.loop.sleep(2 * harness.gateway.pool.times.endpoint_reuse_delay_us)

    run(answers_again, test=test)


def test_an_endless_response_without_a_length_ends_at_the_timeout():
    def endless(harness, index, stream):
        harness.read_request(index, stream)
        stream.send(HEAD + b"\r\n")
        with suppress(ConnectionClosedError):
            while True:
                stream.send(b"x")
                harness.loop.sleep(10 * MS)

    def test(harness: RealPlatformHarness) -> None:
        began = harness.loop.now()
        assert harness.ask(call("bill", left="0.300"))[0] == 500
        assert harness.loop.now() - began < 5 * SECOND

    run(endless, test=test)


def test_a_response_without_a_length_beyond_the_limit_fails():
    def flood(harness, index, stream):
        harness.read_request(index, stream)
        stream.send(HEAD + b"\r\n")
        with suppress(ConnectionClosedError):
            while True:
                stream.send(b"x" * 65_536)

    def test(harness: RealPlatformHarness) -> None:
        assert harness.ask(call("bill", left="1.900"))[0] == 500

    run(flood, test=test)


def resets_then_serves(harness, index, stream):
    while True:
        harness.read_request(index, stream)
        if len(harness.seen) == 1:
            return stream.abort()
        stream.send(OK)


@pytest.mark.parametrize(("window", "sent"), [(900_000, 2), (30_000, 1)])
def test_a_reset_request_with_an_idempotency_key_is_retried_within_its_window_only(window, sent):
    """A window as short as what is kept free of it for the way lets nothing be sent again."""

    def test(harness: RealPlatformHarness) -> None:
        assert harness.ask(call("put", body=b"1"))[0] == (200 if sent == 2 else 500)

    classes = [{**cls, "dedupWindow": window if cls["dedupWindow"] else 0} for cls in settings()["classes"]]
    harness = run(resets_then_serves, test=test, settings=settings(classes=classes))
    assert len(harness.seen) == sent
