"""Restart and shutdown of the gateway, over the simulated network."""

from __future__ import annotations

import pytest
from harness.constants import MS, SECOND
from harness.gateway_harness import GET, OK, good, run

from orchidlane.http1 import header


def test_a_restarted_gateway_begins_with_its_cached_endpoint_list():
    def test(harness):
        harness.loop.sleep(2 * SECOND)
        harness.backend.kill(harness.process)
        harness.list.listener.close()
        for stream in list(harness.list.watchers):
            stream.abort()
        harness.start()
        harness.loop.sleep(300 * MS)
        assert harness.ask(GET)[0] == 200

    run(good, test=test, state="state")


def test_sigterm_answers_accepted_requests_and_accepts_no_more():
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


def test_a_process_ends_with_its_lingering_connections_and_no_later():
    """Its end would reset them, and with bytes still on the way a last response might be lost."""

    def test(harness):
        stream = harness.connect()
        stream.send(GET)
        harness.loop.sleep(100 * MS)
        harness.program.stop()
        harness.loop.sleep(100 * MS)
        assert harness.answer(stream)[0] == 200
        stream.send(GET)  # crosses the close
        harness.loop.sleep(100 * MS)
        assert harness.process.tasks
        assert stream.recv(deadline=harness.loop.now() + SECOND) == b""  # a close, no reset
        harness.loop.sleep(int(harness.program.fleet.timeouts.linger_us))  # the client keeps its side open
        assert not harness.process.tasks

    run(good, test=test)
