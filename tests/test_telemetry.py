"""What a gateway shows to tools: predictions, plan counts, its state while it goes on."""

from __future__ import annotations

import pytest
from conftest import SECOND, of
from harness.event_story import Story, run
from harness.gateway_harness import GET, MS, GatewayHarness, good
from harness.saved_states import NAMES, save
from test_day import day, quiet, step  # noqa: F401

from orchidlane import policy, recording
from orchidlane.gateway.telemetry.plan_counts import count_by_plan
from orchidlane.gateway.telemetry.policy_host import PolicyNames
from orchidlane.gateway.telemetry.policy_views import ViewedCustomer, decode_view, encode_view
from orchidlane.gateway.telemetry.predictions import predict_request
from orchidlane.policy import quota
from orchidlane.policy.gateway import Gateway
from orchidlane.runtime import Loop, SimWorld
from orchidlane.simulation.backends import SimulatedBacking
from orchidlane.simulation.scenario import Runner, make_plan


def test_a_view_tells_the_decision_that_follows():
    """Thousands of next requests, foretold by a copy and then really made."""

    compared = 0
    for seed in range(20):
        story = Story(seed)
        for _ in range(200):
            story.step()
            customer, plan = story.rng.randrange(6), 0
            gateway: Gateway = story.bench.gateway
            if customer in gateway.accounts:
                plan = gateway.accounts[customer].plan
            who = ViewedCustomer(customer, plan, 0, 3)
            names = PolicyNames(tuple("abcde"), tuple("pqrs"))
            view = decode_view(encode_view(gateway, "g", story.bench.now, names, who))
            foretold = predict_request(view, 0, 1.0)
            story.number += 1
            story.tell(policy.RequestArrived(story.number, *who[:2], 0, 1.0, 2 * SECOND, 0, 3, False))
            actions = story.log[-1][2]
            done = (
                "sent"
                if of(actions, policy.SendAttempt)
                else "refused"
                if of(actions, policy.RejectRequest)
                else "held"
            )
            assert foretold.decision == done
            compared += 1
    assert compared == 4_000


def test_a_state_cut_at_any_byte_is_refused_and_never_half_read(tmp_path):
    story = Story(4)
    for _ in range(60):
        story.step()
    whole, cut = tmp_path / "whole.olr", tmp_path / "cut.olr"
    save(story, whole)
    data = whole.read_bytes()
    assert count_by_plan(recording.SegmentReader(str(whole)), 3)["p"].customers > 0
    for size in range(len(data)):
        cut.write_bytes(data[:size])
        with pytest.raises(recording.TruncatedHeaderError):
            count_by_plan(recording.SegmentReader(str(cut)), 3)
    assert run("counts", str(cut), "--plan", "p")[0] == 2


def test_a_plans_counts_are_the_sums_of_its_customers(tmp_path):
    story = Story(9)
    for _ in range(200):
        story.step()
    path = tmp_path / "s.olr"
    save(story, path, touch=0)
    now, gateway = story.bench.now, story.bench.gateway
    gateway.now = now
    found = count_by_plan(recording.SegmentReader(str(path)), 2)
    for plan, name in enumerate(NAMES[1]):
        accounts = [one for one in gateway.accounts.values() if one.plan == plan]
        for account in accounts:
            quota.refill(gateway, account)
        if accounts:
            assert found[name].spent == pytest.approx(sum(one.spent_total for one in accounts))
            assert found[name].remaining == pytest.approx(sum(one.remaining for one in accounts))
            burst = gateway.settings.plans[plan].burst
            shares = sorted((one.remaining / burst, one.customer) for one in accounts)
            assert found[name].nearest_to_limit == [pytest.approx(pair) for pair in shares[:2]]


def ask_admin(house: GatewayHarness, target: bytes):
    stream = house.world.connect(("127.0.0.1", 8280))
    stream.send(b"GET %s HTTP/1.1\r\nHost: a\r\n\r\n" % target)
    return house.answer(stream)


def test_a_state_told_by_a_gateway_under_load_is_whole_and_a_second_one_waits(tmp_path):
    def test(house: GatewayHarness) -> None:
        assert house.ask(GET)[0] == 200
        status, _, body = ask_admin(house, b"/state")
        assert status == 200
        path = tmp_path / "s.olr"
        path.write_bytes(body)
        reader = recording.SegmentReader(str(path))
        assert reader.header.build == recording.build_name()
        assert reader.header.context["generation"] == 1
        assert [row[0] for row in reader.account_rows()] == [1]
        assert run("counts", str(path), "1")[0] == 0
        assert run("counts", str(path), "2")[0] == 2
        assert ask_admin(house, b"/view?customer=1")[0] == 200
        assert ask_admin(house, b"/view?customer=%ff%00")[0] == 404

    GatewayHarness(good).run(test)


def test_a_tool_that_hangs_slows_nothing_and_is_let_go(monkeypatch):
    monkeypatch.setattr("orchidlane.runtime.simulated_backend.WINDOW", 4096)

    def test(house: GatewayHarness) -> None:
        rules = house.program.host.rules
        for customer in range(2_000):
            quota.update_account_key(rules, customer + 10, 0, 0, 3)
        hung = house.world.connect(("127.0.0.1", 8280))
        hung.send(b"GET /state HTTP/1.1\r\nHost: a\r\n\r\n")
        house.loop.sleep(100 * MS)
        assert house.program.admin.is_sending_state
        assert ask_admin(house, b"/state")[0] == 503
        assert ask_admin(house, b"/health")[0] == 200
        for _ in range(20):
            began = house.loop.now()
            assert house.ask(GET)[0] == 200
            assert house.loop.now() - began < 20 * MS
        house.loop.sleep(10 * SECOND)
        assert not house.program.admin.is_sending_state
        assert type(rules.accounts) is recording.ObservableAccounts

    GatewayHarness(good).run(test)


def test_segments_begin_with_a_state_in_pages_and_replay_from_any_of_them(tmp_path, monkeypatch):
    """Small segments under load: each can be replayed alone, and all in a row."""
    monkeypatch.setattr("orchidlane.gateway.telemetry.traffic_recorder.MAX_SEGMENT_BYTES", 30_000)
    monkeypatch.setattr("orchidlane.recording.snapshot.PAGE_ACCOUNTS", 3)
    world = SimWorld(6)
    loop = Loop(world)
    backing = SimulatedBacking(loop, world, record_to="rec")
    plan = make_plan(day(span=3, rate=200.0), "sim", backing.free_addresses)
    backing.prepare(plan)
    loop.run(Runner(loop, plan, backing).run)
    for name, data in world.files.items():
        if name.startswith("rec/"):
            (tmp_path / name[4:]).write_bytes(data)
    paths = recording.list_segments(str(tmp_path))
    alone = 0
    for path in paths:
        found = recording.replay([path])
        assert found.difference is None
        alone += found.events
    lives = [recording.replay(life) for life in recording.group_by_incarnation(paths)]
    assert len(paths) > 3 * len(lives)
    assert sum(one.events for one in lives) == alone > 2_500
    assert all(one.difference is None and not one.unchecked_parts for one in lives)


def test_a_question_that_never_comes_is_given_up_at_its_deadline():
    def test(house: GatewayHarness) -> None:
        stream = house.world.connect(("127.0.0.1", 8280))
        assert stream.recv(deadline=house.loop.now() + 6 * SECOND) == b""

    GatewayHarness(good).run(test)
