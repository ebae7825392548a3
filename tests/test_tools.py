"""Tools on states and records: exact while the gateway goes on, honest across builds, bounded, never in the
way.
"""

from __future__ import annotations

import json
import os
import shutil
import subprocess
import sys
from pathlib import Path

import msgspec
import pytest
from harness.gateway_harness import GET, MS, GatewayHarness, good
from harness.policy_harness import SECOND
from hypothesis import given, settings
from hypothesis import strategies as st
from test_day import day, quiet, step  # noqa: F401
from test_record import Story, run, segment

import orchidlane
from orchidlane import policy, recording
from orchidlane.gateway.telemetry.policy_views import plan_counts
from orchidlane.policy import endpoint_selection, quota, retries
from orchidlane.runtime import Loop, SimWorld
from orchidlane.simulation.backends import SimulatedBacking
from orchidlane.simulation.scenario import Runner, make_plan

NAMES = tuple("abcde"), tuple("pqrs")


def save(story: Story, path: Path, touch: int = 0, build: str = "") -> None:
    """A whole state as a gateway tells it; so many more events happen between its pages."""
    gateway = story.bench.gateway
    recording.track_accounts(gateway)
    snapshot = recording.Snapshot(gateway)
    header = recording.Header(
        format=recording.FORMAT_VERSION,
        build=build or recording.build_name(),
        gateway="gw",
        started_at_us=story.bench.now,
        number=0,
        settings=recording.settings_to_stored(story.bench.settings),
        state=snapshot.state,
        class_names=NAMES[0],
        plan_names=NAMES[1],
        context={"now": story.bench.now},
    )
    data = recording.pack_header(header)
    for rows in snapshot.pages():
        data += recording.pack_account_page(0, rows, last=False)
        for _ in range(touch):
            story.step()
    path.write_bytes(data + recording.pack_account_page(0, [], last=True))


# Snapshots


@settings(max_examples=30, deadline=None)
@given(st.integers(0, 2**32), st.integers(0, 120), st.integers(1, 3))
def test_a_snapshot_is_the_state_of_its_moment_whatever_happens_between_its_pages(seed, before, page):
    story, gateways = Story(seed), []
    for _ in range(before):
        story.step()
    gateway = story.bench.gateway
    recording.track_accounts(gateway)
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr("orchidlane.recording.snapshot.PAGE_ACCOUNTS", page)
        wanted = msgspec.msgpack.encode(recording.dump_state(gateway))
        snapshots = recording.Snapshot(gateway), recording.Snapshot(gateway)  # two at once
        for snapshot in snapshots:
            rows = []
            for some in snapshot.pages():
                assert len(some) <= page
                rows += msgspec.msgpack.decode(msgspec.msgpack.encode(some))
                for _ in range(4):
                    story.step()
            gateways.append((snapshot.state, rows))
    kept = msgspec.msgpack.decode(wanted, type=recording.StateDump)
    for head, rows in gateways:
        head = msgspec.msgpack.decode(msgspec.msgpack.encode(head), type=recording.StateDump)
        assert sorted(rows) == sorted(kept.accounts)
        assert msgspec.structs.replace(head, accounts=[]) == msgspec.structs.replace(kept, accounts=[])
    assert type(gateway.accounts) is recording.ObservableAccounts  # nothing is paid any more


def test_a_snapshot_that_is_given_up_costs_nothing_more():
    story = Story(3)
    for _ in range(50):
        story.step()
    gateway = story.bench.gateway
    recording.track_accounts(gateway)
    snapshot = recording.Snapshot(gateway)
    assert type(gateway.accounts) is not recording.ObservableAccounts
    snapshot.close()
    assert type(gateway.accounts) is recording.ObservableAccounts
    assert list(snapshot.pages()) == []


def test_a_state_cut_at_any_byte_is_refused_and_never_half_read(tmp_path):
    story = Story(4)
    for _ in range(60):
        story.step()
    whole, cut = tmp_path / "whole.olr", tmp_path / "cut.olr"
    save(story, whole)
    data = whole.read_bytes()
    assert plan_counts(recording.SegmentReader(str(whole)), 3)["p"].customers > 0
    for size in range(len(data)):
        cut.write_bytes(data[:size])
        with pytest.raises(recording.TruncatedHeaderError):
            plan_counts(recording.SegmentReader(str(cut)), 3)
    assert run("counts", str(cut), "--plan", "p")[0] == 2


def test_a_plans_counts_are_the_sums_of_its_customers(tmp_path):
    story = Story(9)
    for _ in range(200):
        story.step()
    path = tmp_path / "s.olr"
    save(story, path, touch=0)
    now, gateway = story.bench.now, story.bench.gateway
    gateway.now = now
    found = plan_counts(recording.SegmentReader(str(path)), 2)
    for plan, name in enumerate(NAMES[1]):
        accounts = [one for one in gateway.accounts.values() if one.plan == plan]
        for account in accounts:
            quota.refill(gateway, account)
        if accounts:
            assert found[name].spent == pytest.approx(sum(one.spent_total for one in accounts))
            assert found[name].room == pytest.approx(sum(one.remaining for one in accounts))
            burst = gateway.settings.plans[plan].burst
            shares = sorted((one.remaining / burst, one.customer) for one in accounts)
            assert found[name].pressed == [pytest.approx(pair) for pair in shares[:2]]


# Against a gateway


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
        assert house.program.admin.telling
        assert ask_admin(house, b"/state")[0] == 503
        assert ask_admin(house, b"/health")[0] == 200
        for _ in range(20):
            began = house.loop.now()
            assert house.ask(GET)[0] == 200
            assert house.loop.now() - began < 20 * MS
        house.loop.sleep(10 * SECOND)
        assert not house.program.admin.telling
        assert type(rules.accounts) is recording.ObservableAccounts

    GatewayHarness(good).run(test)


def test_segments_begin_with_a_state_in_pages_and_replay_from_any_of_them(tmp_path, monkeypatch):
    """Small segments under load: each can be replayed alone, and all in a row."""
    monkeypatch.setattr("orchidlane.gateway.telemetry.traffic_recorder.SEGMENT", 30_000)
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


# Broken records


def flip(path: Path, place: int) -> None:
    data = bytearray(path.read_bytes())
    data[place] ^= 4
    path.write_bytes(data)


@pytest.mark.parametrize("offset", [0, 5, 12])  # the length, the checksum, the body of a frame
def test_a_flipped_bit_in_the_middle_is_told_with_what_was_not_checked(tmp_path, offset):
    story, paths = Story(7), []
    for number in range(2):
        path = tmp_path / f"gw-1-{number}.olr"
        segment(story, 100, path, number)
        paths.append(path)
    places = [one.offset for one in recording.SegmentReader(str(paths[0])) if one.event is not None]
    flip(paths[0], places[60] + offset)
    code, text = run("replay", str(tmp_path), "--json")
    assert code == 3, text
    told = json.loads(text)
    assert (told["lives_not_whole"], told["events"], told["events_unchecked"]) == (1, 160, 39)
    assert f"byte {places[60]}" in told["unchecked"][0]


def test_a_torn_tail_of_a_killed_gateway_is_told_and_no_fault(tmp_path):
    path = tmp_path / "gw-1-0.olr"
    segment(Story(7), 100, path)
    path.write_bytes(path.read_bytes()[:-5])
    code, text = run("replay", str(tmp_path), "--json")
    assert code == 0
    assert json.loads(text)["events"] == 99
    assert "torn" in json.loads(text)["unchecked"][0]


def test_a_clock_that_jumps_is_replayed_as_it_was(tmp_path):
    story = Story(8)
    path = tmp_path / "gw-1-0.olr"
    header_at = story.bench.now
    for jump in (-3 * SECOND, 40 * SECOND, -20 * SECOND):
        story.bench.now = header_at + jump
        for _ in range(30):
            story.step()
    segment(story, 60, path)
    found = recording.replay([str(path)])
    assert (found.difference, found.events) == (None, 60)


def test_requests_of_a_customer_are_found_by_time(tmp_path):
    path = tmp_path / "gw-1-0.olr"
    log = segment(Story(11), 400, path)
    arrived = [
        (now, event)
        for now, event, _ in log
        if isinstance(event, policy.RequestArrived | policy.QuotaRequested) and event.customer == 3
    ]
    reader = recording.SegmentReader(str(path))
    index = recording.TimeIndex(reader)
    middle = arrived[len(arrived) // 2][0]
    found = [one for one in index.between(0, middle) if recording.customer_number(one) == 3]
    assert [(one.at_us, one.event) for one in found] == [one for one in arrived if one[0] < middle]
    by_customer = recording.KeyIndex(reader, recording.customer_number).entries(3)
    assert [(one.at_us, one.event) for one in by_customer] == arrived
    code, text = run("explain", str(tmp_path), "--customer", "3", "--json")
    assert code == 0
    assert len(json.loads(text)) == len(arrived)


# Two builds


@pytest.fixture(scope="module")
def other_build(tmp_path_factory) -> Path:
    """This program with one constant of its decisions changed: a folder for PYTHONPATH."""
    folder = tmp_path_factory.mktemp("other")
    source = Path(orchidlane.__file__).parent
    shutil.copytree(source, folder / "orchidlane", ignore=shutil.ignore_patterns("__pycache__"))
    quota_source = folder / "orchidlane" / "policy" / "quota.py"
    text = quota_source.read_text()
    for constant, value in {
        "EXHAUSTED_BELOW_SHARE = 0.25": "0.9",
        "READMITTED_FROM_SHARE = 0.6": "0.95",
    }.items():
        assert text.count(constant) == 1
        text = text.replace(constant, constant.rpartition(" ")[0] + " " + value)
    quota_source.write_text(text)
    return folder


def run_other(folder: Path, *arguments: str) -> tuple[int, str]:
    done = subprocess.run(
        [sys.executable, "-m", "orchidlane", *arguments],
        cwd=folder,
        env={**os.environ, "PYTHONPATH": str(folder)},
        capture_output=True,
        text=True,
        timeout=60,
    )
    return done.returncode, done.stdout + done.stderr


def test_a_tool_of_another_build_tells_the_same_or_says_that_it_cannot(tmp_path, other_build):
    story = Story(12)
    for _ in range(150):
        story.step()
    state = tmp_path / "state.olr"
    save(story, state)
    code, text = run("counts", str(state), "3")
    assert code == 0, text
    with pytest.raises(recording.FormatError):  # what does not fit together is no state
        recording.restore_gateway(story.bench.settings, recording.SegmentReader(str(state)).header.state)
    code, text = run_other(other_build, "counts", str(state), "3")
    assert (code, "its decisions could differ" in text) == (2, True), text
    assert run_other(other_build, "state", str(state))[0] == 2
    rec = tmp_path / "rec"
    rec.mkdir()
    segment(story, 400, rec / "gw-1-0.olr")
    assert run("replay", str(rec))[0] == 0
    code, text = run_other(other_build, "replay", str(rec))
    assert (code, "recorded" in text and "acted" in text) == (1, True), text


def test_a_state_of_a_later_build_or_format_is_refused_in_one_line(tmp_path):
    story = Story(12)
    story.step()
    path = tmp_path / "s.olr"
    save(story, path, build="9.9+abc")
    code, text = run("counts", str(path), "3")
    assert (code, text.count("\n")) == (2, 1)
    assert "9.9+abc" in text


# The audit over records


def recorded_day(tmp_path: Path, *steps, seed: int = 1, **changes) -> dict:
    world = SimWorld(seed)
    loop = Loop(world)
    backing = SimulatedBacking(loop, world, record_to="rec")
    plan = make_plan(day(*steps, **changes), "sim", backing.free_addresses)
    backing.prepare(plan)
    runner = Runner(loop, plan, backing)
    loop.run(runner.run)
    for name, data in world.files.items():
        if name.startswith(("rec/", "sim/node-")) and not name.endswith(".json"):
            (tmp_path / name.rpartition("/")[2]).write_bytes(data)
    runner.keep(str(tmp_path))
    code, text = run("audit", str(tmp_path), "--json")
    told = json.loads(text)
    held = all(told["sockets"]["rules"].values()) and all(told["gateways"]["rules"].values())
    assert code == (0 if held else 1)
    return told


def test_the_audit_over_records_agrees_with_the_sockets_on_a_bad_day(tmp_path):
    steps = (
        step(0.5, "node_faults", 0, 1, span=3, reset_before=0.1, reset_after=0.1, cut=0.1, full=0.1),
        step(1.0, "kill_gateway", 1, back=0.2),
        step(1.0, "drain_node", 3, span=1.0, back=0.2),
        step(1.5, "freeze_gateway", 0, span=1.5),
    )
    told = recorded_day(tmp_path, *steps, span=4, rate=150.0, takes=20.0)
    assert all(told["gateways"]["rules"].values()), told
    assert all(told["sockets"]["rules"].values()), told
    assert told["gateways"]["arrivals"] > 200
    assert told["gateways"]["lives"] == 4


def test_the_audit_over_records_objects_to_an_unsafe_request_sent_again(tmp_path, monkeypatch):
    def again(state, event):
        state.end_attempt(event.request, event.attempt)
        request = state.requests.get(event.request)
        if request and event.answered:
            retries._forget(state, request)
        elif request:
            retries._advance(state, request)

    monkeypatch.setattr(retries, "attempt_ended", again)
    monkeypatch.setattr(endpoint_selection, "_may_send", lambda *_: True)
    steps = step(0, "node_faults", 0, 1, 2, 3, 4, 5, span=9, reset_after=0.3)
    told = recorded_day(tmp_path, steps, span=3)
    assert told["gateways"]["faults"]["sent again"] > 0
    assert not told["gateways"]["rules"]["2"]


def test_the_audit_over_records_objects_to_a_request_that_no_one_decided_on(tmp_path, monkeypatch):
    from orchidlane.gateway.forwarding.connection_pool import AttemptRun

    head = AttemptRun._head
    monkeypatch.setattr(
        AttemptRun,
        "_head",
        lambda self: head(self).replace(b"-0\r\norchidlane-customer", b"-7\r\norchidlane-customer"),
    )
    told = recorded_day(tmp_path, span=2)
    assert told["gateways"]["faults"]["undecided"] > 0


def test_the_audit_over_records_objects_to_lost_and_late_answers_drains_and_ceilings(tmp_path):
    """Entries taken out of, or changed in, a record that holds."""
    story = Story(5)
    header_now, settings_ = story.bench.now, story.bench.settings
    recording.track_accounts(story.bench.gateway)
    entries = []
    story.tell(policy.RequestArrived(1, 7, 0, 0, 1.0, 2 * SECOND, 0, 3, False))
    server = next(a.endpoint for a in story.log[-1][2] if isinstance(a, policy.SendAttempt))
    entries.append(story.log[-1])
    story.bench.now += 100 * MS
    ended = policy.AttemptEnded(1, 0, server, policy.Outcome.SERVED, 100, True, 0, 0.0, ())
    story.tell(ended)
    entries.append(story.log[-1])

    def faults(*some) -> dict[str, int]:
        empty = Story(5).bench.gateway
        header = recording.Header(
            recording.FORMAT_VERSION,
            "b",
            "gw",
            header_now,
            0,
            recording.settings_to_stored(settings_),
            recording.dump_state(empty),
            *NAMES,
        )
        data = recording.pack_header(header) + recording.pack_account_page(header_now, [], last=True)
        for now, event, actions in some:
            data += recording.pack_entry(now, event, actions)
        path = tmp_path / "gw-1-0.olr"
        path.write_bytes(data)
        found = recording.audit_records([str(path)])
        return dict(found.faults) | ({"ceiling": 1} if not found.rules["5"] else {})

    arrived, served = entries
    beats = [(header_now + i * 500 * MS, policy.TimerFired(0), []) for i in range(1, 12)]
    assert faults(arrived, served) == {}
    assert faults(arrived, *beats) == {"missing": 1}
    assert faults(arrived, *beats, (beats[-1][0], ended, [])) == {"late": 1}
    assert faults(arrived, (served[0], ended, [policy.FailRequest(1)])) == {"doubled": 1}
    gone = policy.EndpointListReceived(policy.EndpointListKind.COMPLETE, 2, ())
    late = (arrived[0] + 900 * MS, arrived[1], [policy.SendAttempt(1, server, 0)])
    assert faults((arrived[0], gone, []), late, (late[0], ended, [])) == {"sent after drain": 1}
    grants = [
        (header_now + i, policy.QuotaRequested(i, 7, 2, 0, 3.0, 0, 3), [policy.GrantQuota(i)])
        for i in range(1, 8)
    ]
    assert faults(*grants) == {"ceiling": 1}
    assert faults(*grants[:5]) == {}


# The screen and the shell


def test_top_shows_who_answers_and_who_does_not():
    from orchidlane.cli.screen import Screen, as_rows

    def test(house: GatewayHarness) -> None:
        screen = Screen(house.loop, "t", [("gw-0", ("127.0.0.1", 8280)), ("gw-1", ("127.0.0.1", 8281))])
        screen.look()
        for _ in range(10):
            house.ask(GET)
        house.loop.sleep(SECOND)
        rows = as_rows(screen.gateways, screen.look())
        assert rows[0]["served"] == pytest.approx(10, abs=1)
        assert rows[0]["nodes"] == 1
        assert rows[1] == {"gateway": "gw-1", "up": False}
        assert len(screen.table(screen.look()).columns) == 10

    GatewayHarness(good).run(test)


@pytest.mark.parametrize("shell", ["bash", "zsh", "fish"])
def test_the_shells_completion_is_told(shell):
    code, text = run("completion", shell)
    assert code == 0
    assert "_ORCHIDLANE_COMPLETE" in text


@pytest.mark.parametrize(
    "arguments",
    [
        ("counts", "127.0.0.1:1", "acero"),
        ("counts", "nowhere", "acero"),
        ("counts", "127.0.0.1:1"),
        ("state", "127.0.0.1:1"),
        ("top", "nowhere"),
        ("audit", "tests/corpus/resp"),
        ("explain", "tests", "1"),
        ("diff", "127.0.0.1:1", "127.0.0.1:2", "a"),
    ],
)
def test_what_cannot_be_asked_ends_with_2_and_one_line(arguments, monkeypatch):
    monkeypatch.chdir(Path(__file__).parent.parent)
    code, text = run(*arguments)
    assert (code, "Traceback" in text) == (2, False)
    assert len(text.strip().splitlines()) == 1


def test_a_question_that_never_comes_is_given_up_at_its_deadline():
    def test(house: GatewayHarness) -> None:
        stream = house.world.connect(("127.0.0.1", 8280))
        assert stream.recv(deadline=house.loop.now() + 6 * SECOND) == b""

    GatewayHarness(good).run(test)
