"""Edge cases of endpoints, the endpoint list and peers, over the simulated network."""

from __future__ import annotations

from harness.constants import MS, SECOND
from harness.gateway_harness import GET, good, request, run, silent


def test_a_request_to_a_silent_endpoint_fails_within_its_deadline():
    def test(harness):
        started_at = harness.loop.now()
        status, _, _ = harness.ask(request("GET", "/v1/sheets/a", "Give-Up-After-Ms: 700\r\n"))
        assert status == 503
        assert harness.loop.now() - started_at <= 700 * MS

    run(silent, test=test)


def test_a_draining_endpoint_gets_no_request():
    def test(harness):
        harness.set_endpoint_state(0, "draining")
        harness.loop.sleep(50 * MS)
        assert harness.ask(request("GET", "/v1/sheets/a", "Give-Up-After-Ms: 600\r\n"))[0] == 503

    assert run(good, test=test).seen == []


def test_drains_are_known_within_the_grace_while_each_change_ends_the_watch():
    """Guards against a growing backoff between watches that are short, but did receive the list."""

    def test(harness):
        for index in range(12):
            drains = index % 2 == 0
            for stream in list(harness.fake_discovery.watchers):
                harness.fake_discovery.watchers.pop(stream)
                stream.close()  # so the change is not sent on this watch
            harness.set_endpoint_state(0, "draining" if drains else "ready")
            harness.loop.sleep(harness.fleet.endpoints.drain_grace_us)
            assert harness.program.tracker.state(b"127.0.0.1:9000") == ("draining" if drains else "ready")

    run(good, test=test)


def test_a_paused_gateway_sends_nothing_to_an_endpoint_drained_in_the_pause():
    """Guards against a decision from before the pause that is carried out after it (rule 3)."""

    def test(harness):
        harness.loop.freeze(harness.process)  # as SIGSTOP does
        stream = harness.connect()
        stream.send(GET)
        harness.loop.sleep(SECOND)
        harness.set_endpoint_state(0, "draining")
        harness.loop.sleep(SECOND)
        harness.loop.thaw(harness.process)
        assert harness.answer(stream, wait=3 * SECOND)[0] == 503

    for seed in range(6):
        assert run(good, test=test, seed=seed).seen == []


def test_a_request_waits_for_an_empty_endpoint_list_to_fill_again():
    def test(harness):
        harness.set_endpoint_state(0, "gone")
        harness.loop.sleep(50 * MS)
        stream = harness.connect()
        stream.send(GET)
        harness.loop.sleep(300 * MS)
        harness.set_endpoint_state(0, "ready")
        assert harness.answer(stream)[0] == 200

    run(good, test=test)


def test_forged_datagrams_change_nothing():
    def test(harness):
        socket = harness.backend.bind_datagrams(("127.0.0.1", 0))
        random = harness.backend.random
        for _ in range(3_000):
            socket.send(random.randbytes(random.randint(0, 400)), ("127.0.0.1", 8180))
        harness.loop.sleep(SECOND)
        assert harness.ask(GET)[0] == 200
        assert harness.program.metrics.datagrams_received == 0
        assert sum(harness.program.inbox.rejected.values()) > 200

    run(good, test=test)
