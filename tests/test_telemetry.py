"""Telemetry for tools: predictions, counts of plans, and states that are read while requests are served."""

from __future__ import annotations

import pytest
from harness.constants import MS, SECOND
from harness.gateway_harness import GET, GatewayHarness, good
from harness.golden_admin import request_admin
from harness.policy_harness import actions_of
from harness.recording_harness import PolicyFuzzer, run_command
from harness.saved_states import NAMES, write_state
from harness.scenarios import make_scenario

from orchidlane import policy, recording
from orchidlane.gateway.telemetry.plan_counts import count_by_plan
from orchidlane.gateway.telemetry.policy_source import PolicyNames
from orchidlane.gateway.telemetry.policy_views import ViewedCustomer, decode_view, encode_view
from orchidlane.gateway.telemetry.predictions import predict_request
from orchidlane.policy import quota
from orchidlane.policy.gateway import Gateway
from orchidlane.runtime import EventLoop
from orchidlane.runtime.simulated_backend import SimulatedBackend
from orchidlane.simulation.scenario_plan import make_plan
from orchidlane.simulation.scenario_runner import ScenarioRunner
from orchidlane.simulation.simulated_fleet import SimulatedFleetBackend

pytestmark = pytest.mark.usefixtures("quiet_log")


def decision_of(actions: list[policy.Action]) -> str:
    """Return the decision on a request, as a value of ``predictions.Decision``."""
    if actions_of(actions, policy.SendAttempt):
        return "sent"
    return "refused" if actions_of(actions, policy.RejectRequest) else "held"


def test_a_prediction_from_a_view_is_the_decision_that_follows():
    """Each prediction by a restored copy is compared with the policy's decision on the same request."""
    compared = 0
    for seed in range(20):
        fuzzer = PolicyFuzzer(seed)
        for _ in range(200):
            fuzzer.step()
            customer, plan = fuzzer.rng.randrange(6), 0
            gateway: Gateway = fuzzer.harness.gateway
            if customer in gateway.accounts:
                plan = gateway.accounts[customer].plan
            viewed = ViewedCustomer(customer, plan, 0, 3)
            names = PolicyNames(tuple("abcde"), tuple("pqrs"))
            view = decode_view(encode_view(gateway, "g", fuzzer.harness.now, names, viewed))
            prediction = predict_request(view, 0, 1.0)
            fuzzer.number += 1
            fuzzer.feed(policy.RequestArrived(fuzzer.number, *viewed[:2], 0, 1.0, 2 * SECOND, 0, 3, False))
            assert prediction.decision == decision_of(fuzzer.log[-1].actions)
            compared += 1
    assert compared == 4_000


def test_a_state_truncated_at_any_byte_is_rejected(tmp_path):
    fuzzer = PolicyFuzzer(4)
    for _ in range(60):
        fuzzer.step()
    complete, truncated = tmp_path / "complete.olr", tmp_path / "truncated.olr"
    write_state(fuzzer, complete)
    data = complete.read_bytes()
    assert count_by_plan(recording.SegmentReader(str(complete)), 3)["p"].customers > 0
    for size in range(len(data)):
        truncated.write_bytes(data[:size])
        with pytest.raises(recording.TruncatedHeaderError):
            count_by_plan(recording.SegmentReader(str(truncated)), 3)
    assert run_command("counts", str(truncated), "--plan", "p")[0] == 2


def test_the_counts_of_a_plan_are_the_sums_of_its_customers(tmp_path):
    fuzzer = PolicyFuzzer(9)
    for _ in range(200):
        fuzzer.step()
    path = tmp_path / "s.olr"
    write_state(fuzzer, path, events_between_pages=0)
    now, gateway = fuzzer.harness.now, fuzzer.harness.gateway
    gateway.now = now
    plan_counts = count_by_plan(recording.SegmentReader(str(path)), 2)
    for plan, name in enumerate(NAMES[1]):
        accounts = [account for account in gateway.accounts.values() if account.plan == plan]
        for account in accounts:
            quota.refill(gateway, account)
        if accounts:
            assert plan_counts[name].spent == pytest.approx(sum(account.spent_total for account in accounts))
            assert plan_counts[name].remaining == pytest.approx(
                sum(account.remaining for account in accounts)
            )
            burst = gateway.settings.plans[plan].burst
            shares = sorted((account.remaining / burst, account.customer) for account in accounts)
            assert plan_counts[name].nearest_to_limit == [pytest.approx(pair) for pair in shares[:2]]


def test_a_gateway_serves_its_state_and_views_of_known_customers_only(tmp_path):
    def test(harness: GatewayHarness) -> None:
        assert harness.ask(GET)[0] == 200
        status, _, body = request_admin(harness, "/state")
        assert status == 200
        path = tmp_path / "s.olr"
        path.write_bytes(body)
        reader = recording.SegmentReader(str(path))
        assert reader.header.build == recording.build_name()
        assert reader.header.context["generation"] == 1
        assert [row[0] for row in reader.account_rows()] == [1]
        assert run_command("counts", str(path), "1")[0] == 0
        assert run_command("counts", str(path), "2")[0] == 2
        assert request_admin(harness, "/view?customer=1")[0] == 200
        assert request_admin(harness, "/view?customer=%ff%00")[0] == 404

    GatewayHarness(good).run(test)


def test_a_tool_that_hangs_slows_no_request_and_is_disconnected(monkeypatch):
    monkeypatch.setattr("orchidlane.runtime.simulated_backend.stream.STREAM_WINDOW_BYTES", 4096)

    def test(harness: GatewayHarness) -> None:
        gateway = harness.program.policy_driver.gateway
        for customer in range(2_000):
            quota.update_account_key(gateway, customer + 10, 0, 0, 3)
        hanging_tool = harness.backend.connect(("127.0.0.1", 8280))
        hanging_tool.send(b"GET /state HTTP/1.1\r\nHost: a\r\n\r\n")
        harness.loop.sleep(100 * MS)
        assert harness.program.admin.is_sending_state
        assert request_admin(harness, "/state")[0] == 503
        assert request_admin(harness, "/health")[0] == 200
        for _ in range(20):
            started_at = harness.loop.now()
            assert harness.ask(GET)[0] == 200
            assert harness.loop.now() - started_at < 20 * MS
        harness.loop.sleep(10 * SECOND)
        assert not harness.program.admin.is_sending_state
        assert type(gateway.accounts) is recording.ObservableAccounts

    GatewayHarness(good).run(test)


def test_each_segment_starts_with_its_state_and_can_be_replayed_alone(tmp_path, monkeypatch):
    """Segments are small and the gateways under load, so that events happen between the pages of a state."""
    monkeypatch.setattr("orchidlane.gateway.telemetry.traffic_recorder.MAX_SEGMENT_BYTES", 30_000)
    monkeypatch.setattr("orchidlane.recording.snapshot.PAGE_ACCOUNTS", 3)
    backend = SimulatedBackend(6)
    loop = EventLoop(backend)
    fleet_backend = SimulatedFleetBackend(loop, backend, record_to="rec")
    plan = make_plan(make_scenario(span=3, request_rate=200.0), "sim", fleet_backend.free_addresses)
    fleet_backend.prepare(plan)
    loop.run(ScenarioRunner(loop, plan, fleet_backend).run)
    for name, data in backend.files.items():
        if name.startswith("rec/"):
            (tmp_path / name[4:]).write_bytes(data)
    paths = recording.list_segments(str(tmp_path))
    events_replayed_alone = 0
    for path in paths:
        result = recording.replay([path])
        assert result.difference is None
        events_replayed_alone += result.events
    results = [recording.replay(group) for group in recording.group_by_incarnation(paths)]
    assert len(paths) > 3 * len(results)
    assert sum(result.events for result in results) == events_replayed_alone > 2_500
    assert all(result.difference is None and not result.unchecked_parts for result in results)


def test_an_admin_connection_without_a_request_is_closed_at_its_deadline():
    def test(harness: GatewayHarness) -> None:
        stream = harness.backend.connect(("127.0.0.1", 8280))
        assert stream.recv(deadline=harness.loop.now() + 6 * SECOND) == b""

    GatewayHarness(good).run(test)
