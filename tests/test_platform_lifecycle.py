"""Start, shutdown and contained failures of the platform's gateway, over the simulated network."""

from __future__ import annotations

import sys
from contextlib import suppress

import pytest
from harness.constants import MS, SECOND
from harness.platform_endpoints import run, serves, silent
from harness.platform_harness import PlatformHarness, call, settings

from orchidlane.platform.rate_limited_log import RateLimitedLog
from orchidlane.platform.shutdown import ACCEPT_PERIOD_US
from orchidlane.runtime import ConnectionClosedError


def test_after_sigterm_requests_are_answered_until_the_process_ends_by_itself():
    def test(harness: PlatformHarness) -> None:
        old = harness.connect()
        old.send(call())
        assert harness.answer(old)[0] == 200
        harness.gateway.stop()
        harness.loop.sleep(ACCEPT_PERIOD_US - 50 * MS)
        old.send(call())
        assert harness.answer(old)[0] == 200
        assert harness.ask(call())[0] == 200
        served = len(harness.seen)
        harness.loop.sleep(60 * MS)
        with suppress(ConnectionClosedError):  # the close crosses a request: it is not forwarded
            old.send(call())
        assert old.recv() == b""
        harness.until(lambda: harness.ended, 2 * SECOND)
        assert len(harness.seen) == served

    run(serves, test=test)


def test_after_sigterm_the_process_ends_before_it_is_killed():
    def test(harness: PlatformHarness) -> None:
        streams = []
        for wait in (10, 600):  # the second one comes after SIGTERM
            streams.append(harness.connect())
            streams[-1].send(call(left="5.000"))
            harness.loop.sleep(wait * MS)
            harness.gateway.stop()
        stopped = harness.loop.now() - 600 * MS
        assert [harness.answer(stream)[0] in (500, 503) for stream in streams] == [True, True]
        harness.until(lambda: harness.ended, SECOND)
        assert harness.loop.now() - stopped < 3_700 * MS  # SIGKILL may come then

    classes = [{**cls, "deadline": 5_000_000} for cls in settings()["classes"]]
    run(silent, test=test, settings=settings(classes=classes))


@pytest.mark.parametrize("when", [0, 1, 50, 200])
def test_sigterm_during_the_start_ends_it(when):
    harness = PlatformHarness(serves)

    def work():
        process = harness.backend.start("n0", harness._gateway)
        harness.loop.sleep(when * MS)
        harness.until(lambda: hasattr(harness, "gateway"), 10 * MS)
        harness.gateway.stop()
        harness.until(lambda: harness.ended, 2 * SECOND)
        harness.backend.kill(process)

    harness.loop.run(work)


def test_an_address_held_by_an_earlier_process_is_waited_for():
    harness = PlatformHarness(serves)

    def work():
        listener = harness.backend.listen(("127.0.0.1", 8080))
        process = harness.backend.start("n0", harness._gateway)
        harness.loop.sleep(500 * MS)
        listener.close()
        harness.until(lambda: hasattr(harness.gateway.http_server, "listener"), SECOND)
        harness.gateway.stop()
        harness.until(lambda: harness.ended, 2 * SECOND)
        harness.backend.kill(process)

    harness.loop.run(work)


def test_a_log_that_cannot_be_written_raises_nothing(monkeypatch):
    class Full:
        def write(self, _text):
            raise BlockingIOError(11, "no room")

    log = RateLimitedLog(lambda: 0, "n0")
    monkeypatch.setattr(sys, "stdout", Full())
    log.write("one")
    monkeypatch.undo()
    assert log.omitted_lines == 0


def test_a_failure_in_one_task_is_contained():
    def test(harness: PlatformHarness) -> None:
        rules = harness.gateway.policy_driver.gateway
        before, rules.handle = rules.handle, lambda *_: 1 / 0
        assert harness.ask(call())[0] == 500
        rules.handle = before
        harness.gateway.clients.before_response = lambda *_: 1 / 0
        assert harness.ask(call())[0] == 500
        del harness.gateway.clients.before_response
        endpoints = harness.gateway.policy_driver.start_attempt.__self__.endpoints
        endpoints.request_head = lambda *_: 1 / 0
        assert harness.ask(call(left="0.300"))[0] in (500, 503)
        del endpoints.request_head
        assert harness.ask(call())[0] == 200
        assert not harness.gateway.policy_driver.requests
        assert not harness.gateway.clients.in_flight

    run(serves, test=test)
