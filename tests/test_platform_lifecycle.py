"""Startup, shutdown and unhandled exceptions of the platform's gateway, over the simulated network."""

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


def test_after_sigterm_requests_are_served_until_the_gateway_stops():
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
        # The gateway closes the connection while this request is sent, and does not forward it
        with suppress(ConnectionClosedError):
            old.send(call())
        assert old.recv() == b""
        harness.until(lambda: harness.has_stopped, 2 * SECOND)
        assert len(harness.seen) == served

    run(serves, test=test)


def test_with_pending_requests_the_gateway_stops_before_sigkill():
    def test(harness: PlatformHarness) -> None:
        streams = []
        for wait_ms in (10, 600):  # the second request is sent after SIGTERM
            streams.append(harness.connect())
            streams[-1].send(call(timeout="5.000"))
            harness.loop.sleep(wait_ms * MS)
            harness.gateway.stop()
        sigterm_at = harness.loop.now() - 600 * MS
        assert [harness.answer(stream)[0] in (500, 503) for stream in streams] == [True, True]
        harness.until(lambda: harness.has_stopped, SECOND)
        assert harness.loop.now() - sigterm_at < 3_700 * MS  # SIGKILL: the deadline, at most 3 s, and 0.7 s

    classes = [{**cls, "deadline": 5_000_000} for cls in settings()["classes"]]
    run(silent, test=test, settings=settings(classes=classes))


@pytest.mark.parametrize("delay_ms", [0, 1, 50, 200])
def test_sigterm_during_startup_stops_the_gateway(delay_ms):
    harness = PlatformHarness(serves)

    def work():
        process = harness.backend.start("n0", harness._gateway)
        harness.loop.sleep(delay_ms * MS)
        harness.until(lambda: hasattr(harness, "gateway"), 10 * MS)
        harness.gateway.stop()
        harness.until(lambda: harness.has_stopped, 2 * SECOND)
        harness.backend.kill(process)

    harness.loop.run(work)


def test_startup_waits_for_an_address_that_is_still_in_use():
    harness = PlatformHarness(serves)

    def work():
        listener = harness.backend.listen(("127.0.0.1", 8080))
        process = harness.backend.start("n0", harness._gateway)
        harness.loop.sleep(500 * MS)
        listener.close()
        harness.until(lambda: hasattr(harness.gateway.http_server, "listener"), SECOND)
        harness.gateway.stop()
        harness.until(lambda: harness.has_stopped, 2 * SECOND)
        harness.backend.kill(process)

    harness.loop.run(work)


def test_a_log_line_that_cannot_be_written_raises_no_exception(monkeypatch):
    class FullOutput:
        def write(self, _text):
            raise BlockingIOError(11, "no room")

    log = RateLimitedLog(lambda: 0, "n0")
    monkeypatch.setattr(sys, "stdout", FullOutput())
    log.write("a line")
    monkeypatch.undo()
    assert log.omitted_lines == 0


def test_an_exception_in_one_request_does_not_affect_later_requests():
    def test(harness: PlatformHarness) -> None:
        policy_gateway = harness.gateway.policy_driver.gateway
        original_handle, policy_gateway.handle = policy_gateway.handle, lambda *_: 1 / 0
        assert harness.ask(call())[0] == 500
        policy_gateway.handle = original_handle
        harness.gateway.clients.before_response = lambda *_: 1 / 0
        assert harness.ask(call())[0] == 500
        del harness.gateway.clients.before_response
        endpoints = harness.gateway.policy_driver.start_attempt.__self__.endpoints
        endpoints.request_head = lambda *_: 1 / 0
        assert harness.ask(call(timeout="0.300"))[0] in (500, 503)
        del endpoints.request_head
        assert harness.ask(call())[0] == 200
        assert not harness.gateway.policy_driver.requests
        assert not harness.gateway.clients.in_flight

    run(serves, test=test)
