"""Restart and shutdown of the gateway, over the simulated network."""

from __future__ import annotations

import pytest
from harness.constants import MS, SECOND
from harness.gateway_harness import GET, OK, good, run

from orchidlane.http1 import header


def test_a_restarted_gateway_starts_with_its_cached_endpoint_list():
    def test(harness):
        harness.loop.sleep(2 * SECOND)
        harness.backend.kill(harness.process)
        harness.fake_discovery.listener.close()
        for stream in list(harness.fake_discovery.watchers):
            stream.abort()
        harness.start()
        harness.loop.sleep(300 * MS)
        assert harness.ask(GET)[0] == 200

    run(good, test=test, state="state")


def test_a_stopping_gateway_serves_accepted_requests_and_no_more():
    def slow(harness, index, stream):
        harness.read_request(index, stream)
        harness.loop.sleep(500 * MS)
        stream.send(OK)

    def test(harness):
        stream = harness.connect()
        stream.send(GET)
        harness.loop.sleep(100 * MS)
        harness.program.stop()
        harness.loop.sleep(100 * MS)
        with pytest.raises(Exception, match="refused"):
            harness.connect()
        status, headers, _ = harness.answer(stream)
        assert status == 200
        assert header(headers, b"connection") == b"close"
        stream.close()
        harness.loop.sleep(500 * MS)
        assert not harness.process.tasks

    run(slow, test=test)


def test_a_process_exits_once_its_lingering_connections_are_closed():
    """Guards against a lost last response: the exit of a process resets its connections.

    A reset that crosses bytes of the client makes the client's system discard what it received before.
    """

    def test(harness):
        stream = harness.connect()
        stream.send(GET)
        harness.loop.sleep(100 * MS)
        harness.program.stop()
        harness.loop.sleep(100 * MS)
        assert harness.answer(stream)[0] == 200
        stream.send(GET)  # sent before the client sees the close
        harness.loop.sleep(100 * MS)
        assert harness.process.tasks
        assert stream.recv(deadline=harness.loop.now() + SECOND) == b""  # an orderly close, no reset
        harness.loop.sleep(
            int(harness.program.fleet.timeouts.linger_us)
        )  # the client does not close its side
        assert not harness.process.tasks

    run(good, test=test)
