"""Records and views: exact states, torn files, replay without difference, tools that agree with gateways."""

from __future__ import annotations

import dataclasses
import json
import random
from pathlib import Path

import msgspec
import pytest
from click.testing import CliRunner
from harness.policy_harness import SECOND, PolicyHarness, actions_of, endpoint_entry, endpoint_list
from hypothesis import given, settings
from hypothesis import strategies as st
from test_day import MATERIALS, day, quiet, step  # noqa: F401

from orchidlane import policy, recording
from orchidlane.cli.main import main
from orchidlane.policy import EndpointState, Outcome
from orchidlane.policy.gateway import Gateway
from orchidlane.policy.gossip_codec import CustomerRow, encode_message, encode_row
from orchidlane.runtime import Loop, RealWorld, SimWorld
from orchidlane.simulation.backends import RealBacking, SimulatedBacking
from orchidlane.simulation.scenario import Runner, load_day, make_plan

CORPUS = Path(__file__).parent / "corpus" / "record"

# States


class Story:
    """Random events for a module: requests, takes, outcomes, timers, lists and peers' messages."""

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.bench = PolicyHarness(endpoints=5, seed=seed)
        self.number = 0
        self.out: list[tuple[int, int, bytes]] = []
        self.sends: dict[int, int] = {}
        self.log: list[tuple[int, policy.Event, list[policy.Action]]] = []

    def tell(self, event: policy.Event) -> None:
        actions = self.bench.feed(event)
        self.log.append((self.bench.now, event, actions))
        for send in actions_of(actions, policy.SendAttempt):
            number = self.sends[send.request] = self.sends.get(send.request, -1) + 1
            self.out.append((send.request, number, send.endpoint))

    def step(self) -> None:
        rng, bench = self.rng, self.bench
        bench.now += rng.randrange(40_000)
        due = sorted(t for t in bench.timers if t[0] <= bench.now)
        if due:
            bench.timers.remove(due[0])
            return self.tell(policy.TimerFired(due[0][1]))
        what = rng.random()
        if what < 0.4:
            self.number += 1
            customer, plan = rng.randrange(6), rng.randrange(4)
            args = (self.number, customer, plan, rng.randrange(5), 1.0, 2 * SECOND, 0, 3, False)
            self.tell(policy.RequestArrived(*args))
        elif what < 0.5:
            self.number += 1
            self.tell(policy.QuotaRequested(self.number, rng.randrange(6), 0, 0, 1.0, 0, 3))
        elif what < 0.8 and self.out:
            request, attempt, server = self.out.pop(rng.randrange(len(self.out)))
            outcome = rng.choice(list(Outcome))
            served = outcome is Outcome.SERVED
            self.tell(policy.AttemptEnded(request, attempt, server, outcome, 50_000, served, 0, 0.0, ()))
        elif what < 0.85:
            self.tell(policy.ClientDisconnected(rng.randrange(1, self.number + 2)))
        elif what < 0.92:
            phase = rng.choice(list(EndpointState))
            launched = rng.choice((0, bench.now))
            self.tell(
                endpoint_list(
                    endpoint_entry(rng.randrange(5), phase, started_at_us=launched),
                    kind=policy.EndpointListKind.DELTA,
                )
            )
        else:
            counts = ((1, bench.now // 62_500, float(rng.randrange(9))),)
            row = CustomerRow(rng.randrange(6), 0, 0, 3, 0, 4.0, float(rng.randrange(30)), 0.0, counts)
            body = encode_message(
                bench.now // 1000,
                rng.random() < 0.5,
                rng.random() < 0.5,
                [encode_row(row, bench.now // 1000, 3)],
            )
            self.tell(policy.PeerMessageReceived(1, body))


@settings(max_examples=40, deadline=None)
@given(st.integers(0, 2**32), st.integers(0, 150))
def test_a_module_restored_at_any_time_goes_on_just_the_same(seed, cut):
    story = Story(seed)
    for _ in range(cut):
        story.step()
    kept = recording.dump_state(story.bench.gateway)
    packed = msgspec.msgpack.encode(kept)
    again = recording.restore_gateway(
        story.bench.settings, msgspec.msgpack.decode(packed, type=recording.StateDump)
    )
    begun = len(story.log)
    for _ in range(100):
        story.step()
    assert msgspec.msgpack.encode(kept) == packed  # a state does not change with its module
    for now, event, actions in story.log[begun:]:
        assert again.handle(now, event) == actions
    assert recording.dump_state(again) == recording.dump_state(story.bench.gateway)


@given(st.integers(0, 2**32))
def test_events_and_actions_come_back_as_they_were(seed):
    story = Story(seed)
    for _ in range(60):
        story.step()
    for _, event, actions in story.log:
        wire = msgspec.msgpack.decode(msgspec.msgpack.encode(recording.pack_event(event)))
        assert recording.unpack_event(wire) == event
        for action in actions:
            wire = msgspec.msgpack.decode(msgspec.msgpack.encode(recording.pack_action(action)))
            assert recording.unpack_action(wire) == action


def test_every_event_and_action_has_its_number():
    assert set(recording.EVENT_TYPES.values()) == set(policy.Event.__args__)
    assert set(recording.ACTION_TYPES.values()) == set(policy.Action.__args__)


@pytest.mark.parametrize("values", [[], [99, 1], [6, 1, 2], [4, 1], ["x"]])
def test_what_a_later_build_wrote_is_refused(values):
    with pytest.raises(recording.FormatError):
        recording.unpack_event(values)


def test_a_state_of_another_format_or_that_does_not_fit_is_refused():
    bench = PolicyHarness()
    kept = recording.dump_state(bench.gateway)
    with pytest.raises(recording.FormatError, match="format 9"):
        recording.restore_gateway(bench.settings, msgspec.structs.replace(kept, format=9))
    with pytest.raises(recording.FormatError):
        recording.restore_gateway(bench.settings, msgspec.structs.replace(kept, pools=[[99], []]))
    with pytest.raises(recording.FormatError):
        recording.restore_gateway(bench.settings, msgspec.structs.replace(kept, scalars={}))


# Segments


def segment(
    story: Story, steps: int, path, number=0, life=1
) -> list[tuple[int, policy.Event, list[policy.Action]]]:
    header = recording.Header(
        format=recording.FORMAT_VERSION,
        build="x",
        gateway="gw",
        started_at_us=life,
        number=number,
        settings=recording.settings_to_stored(story.bench.settings),
        state=recording.dump_state(story.bench.gateway),
        class_names=("a", "b", "c", "d", "e"),
        plan_names=("p", "q", "r", "s"),
    )
    begun = len(story.log)
    for _ in range(steps):
        story.step()
    data = recording.pack_header(header) + recording.pack_account_page(1, [], last=True)
    for now, event, actions in story.log[begun:]:
        data += recording.pack_entry(now, event, actions)
    path.write_bytes(data)
    return story.log[begun:]


def test_a_segment_cut_at_any_byte_gives_a_prefix_and_says_where(tmp_path):
    whole = tmp_path / "a.olr"
    log = segment(Story(5), 25, whole)
    data = whole.read_bytes()
    reader = recording.SegmentReader(str(whole))
    places = [one.offset for one in reader if one.event is not None]
    assert reader.damage is None
    cut = tmp_path / "cut.olr"
    for size in range(len(data)):
        cut.write_bytes(data[:size])
        if size < places[0]:
            with pytest.raises(recording.TruncatedHeaderError):
                recording.SegmentReader(str(cut)).read_state()
            found = recording.replay([str(cut)])
            assert (found.events, found.complete, len(found.unchecked_parts)) == (0, True, 1)
            continue
        replayed = recording.replay([str(cut)])
        assert (replayed.difference, replayed.complete) == (None, True)
        reader = recording.SegmentReader(str(cut))
        found = [(one.at_us, one.event, one.actions) for one in reader if one.event is not None]
        reader.close()
        assert found == log[: len(found)]
        assert (reader.damage is None) == (size in [*places, len(data)])
        assert len(found) == sum(place < size for place in places) - (reader.damage is not None)


def test_a_flipped_bit_ends_the_reading_and_nothing_after_it_is_told(tmp_path):
    whole = tmp_path / "a.olr"
    log = segment(Story(6), 12, whole)
    data = whole.read_bytes()
    first = next(one.offset for one in recording.SegmentReader(str(whole)) if one.event is not None)
    for place in range(first, len(data)):
        spoilt = bytearray(data)
        spoilt[place] ^= 1 << place % 8
        whole.write_bytes(spoilt)
        reader = recording.SegmentReader(str(whole))
        found = [(one.at_us, one.event, one.actions) for one in reader if one.event is not None]
        reader.close()
        assert reader.damage is not None
        assert found == log[: len(found)]
        assert len(found) < len(log)


def test_replay_finds_no_difference_and_a_changed_constant_as_the_first(tmp_path, monkeypatch):
    story, paths = Story(7), []
    for number in range(3):
        path = tmp_path / f"{number}.olr"
        segment(story, 200, path, number)
        paths.append(str(path))
    found = recording.replay(paths)
    assert (found.difference, found.segments, found.events) == (None, 3, len(story.log))
    monkeypatch.setattr("orchidlane.policy.quota.EXHAUSTED_BELOW_SHARE", 0.5)
    other = recording.replay(paths)
    assert other.difference is not None
    assert len(other.difference.format_lines()) >= 4
    assert 0 < other.events < found.events


def test_a_missing_segment_is_stepped_over_by_the_state_of_the_next(tmp_path):
    story, paths = Story(8), []
    for number in range(3):
        path = tmp_path / f"{number}.olr"
        segment(story, 100, path, number)
        paths.append(str(path))
    found = recording.replay([paths[0], paths[2]])
    assert (found.difference, found.segments) == (None, 2)


def test_what_if_with_the_same_settings_changes_nothing_and_with_a_wider_plan_admits_more(tmp_path):
    story = Story(9)
    path = tmp_path / "0.olr"
    segment(story, 600, path)
    same = recording.simulate_settings([str(path)])
    assert same.recorded.keys() == same.simulated.keys()
    arrivals = sum(map(sum, same.recorded.values()))
    assert (
        same.changed_decisions <= 0.2 * arrivals
    )  # timers of these stories fire late, the module's own do not
    wide = tuple(
        dataclasses.replace(p, rate=900.0, burst=900.0, max_in_flight=0, ceiling_rate=0.0)
        for p in story.bench.settings.plans
    )
    other = recording.simulate_settings([str(path)], dataclasses.replace(story.bench.settings, plans=wide))
    admitted = [sum(row[0] for row in table.values()) for table in (other.recorded, other.simulated)]
    assert admitted[1] > admitted[0]


def test_the_index_finds_what_a_scan_finds(tmp_path):
    path = tmp_path / "a.olr"
    segment(Story(11), 300, path)
    reader = recording.SegmentReader(str(path))
    index = recording.KeyIndex(reader, recording.request_number)
    again = recording.SegmentReader(str(path))
    scanned = [one for one in again if getattr(one.event, "request", None) == 5]
    assert [e for e in index.entries(5) if not isinstance(e.event, policy.TimerFired)] == scanned
    assert index.entries(1 << 30) == []


@pytest.mark.parametrize("file", sorted(CORPUS.iterdir()), ids=lambda file: file.name)
def test_records_of_each_released_format_are_read(file):
    """Kept files of earlier formats: read whole, and their states restored, by every later build."""
    reader = recording.SegmentReader(str(file))
    entries = [entry for entry in reader if entry.event is not None]
    assert reader.damage is None
    assert len(entries) == 160
    gateway = recording.restore_gateway(reader.header.policy_settings(), reader.read_state())
    kinds = {type(one.event) for one in entries}
    assert {
        policy.RequestArrived,
        policy.QuotaRequested,
        policy.AttemptEnded,
        policy.PeerMessageReceived,
    } <= kinds
    for one in entries:
        gateway.handle(one.at_us, one.event)


# Against gateways


def test_a_bad_day_replays_without_a_difference(tmp_path):
    world = SimWorld(4)
    loop = Loop(world)
    backing = SimulatedBacking(loop, world, record_to="rec")
    plan = make_plan(load_day(str(MATERIALS / "bad.cue")), "sim", backing.free_addresses)
    backing.prepare(plan)
    loop.run(Runner(loop, plan, backing).run)
    for name, data in world.files.items():
        if name.startswith("rec/"):
            (tmp_path / name[4:]).write_bytes(data)
    result = CliRunner().invoke(main, ["replay", str(tmp_path), "--json"])
    assert result.exit_code == 0, result.output
    told = json.loads(result.output)
    assert told["differences"] == 0
    assert told["lives"] >= 7
    assert told["events"] > 8_000


def run(*arguments: str) -> tuple[int, str]:
    result = CliRunner().invoke(main, arguments)
    assert result.exception is None or isinstance(result.exception, SystemExit), result.exception
    return result.exit_code, result.output


def test_tools_agree_with_live_gateways(tmp_path):
    """Each tool against a fleet of processes under load; what they say is what the gateways then do."""
    backing = RealBacking(str(tmp_path), records=True)
    plan = make_plan(day(span=3, takes=10.0), str(tmp_path), backing.free_addresses)
    backing.prepare(plan)
    loop, said = Loop(RealWorld(1)), {}
    runner = Runner(loop, plan, backing)
    admins = [one.admin for one in plan.fleet.gateways]
    fleet_file = str(tmp_path / "gw-0.cue")

    def ask() -> None:
        while runner.crowd is None or runner.crowd.sent < 40:
            loop.sleep(20_000)
        said["counts"] = loop.world.aside(lambda: run("counts", admins[0], "subscriber 3", "--json"))
        said["none"] = loop.world.aside(lambda: run("counts", admins[0], "nobody"))
        said["nodes"] = loop.world.aside(lambda: run("nodes", admins[1], "--json"))
        said["state"] = loop.world.aside(lambda: run("state", admins[2], "--json"))
        said["plan"] = loop.world.aside(lambda: run("counts", fleet_file, "--plan", "amplio", "--json"))
        said["all"] = loop.world.aside(lambda: run("counts", fleet_file, "subscriber 3", "--json"))
        said["number"] = loop.world.aside(lambda: run("counts", admins[0], "4", "--json"))
        said["top"] = loop.world.aside(lambda: run("top", fleet_file, "--json"))
        said["diff"] = loop.world.aside(lambda: run("diff", admins[0], admins[1], "subscriber 3", "--json"))

    loop.run(lambda: (loop.spawn(ask, process=loop.home), runner.run()))
    code, text = said["counts"]
    assert code == 0, text
    counts = json.loads(text)
    assert counts["decision"] in ("sent", "refused", "held")
    assert counts["spent"] <= sum(counts["counts"].values()) + 40
    assert said["none"][0] == 2
    nodes = json.loads(said["nodes"][1])
    assert len(nodes) == len(plan.nodes)
    assert sum(node["next"] for node in nodes) > 0
    assert said["diff"][0] in (0, 1)
    state = json.loads(said["state"][1])
    assert (state["gateway"], state["draining"], len(state["peers heard"])) == ("gw-2", False, 2)
    assert state["build"] == recording.build_name()
    plans = json.loads(said["plan"][1])
    assert [row["gateway"] for row in plans] == ["gw-0", "gw-1", "gw-2"]
    assert all(row["customers"] > 0 and row["pressed"] for row in plans)
    assert [row["plan"] for row in json.loads(said["all"][1])] == ["amplio"] * 3
    assert json.loads(said["number"][1])["plan"] == "amplio"  # the same customer by its number
    rows = json.loads(said["top"][1])
    assert all(row["up"] and row["nodes"] == len(plan.nodes) for row in rows)
    assert sum(row["served"] for row in rows) > 0
    code, text = run("replay", str(tmp_path), "--json")
    assert code == 0, text
    assert json.loads(text)["events"] > 500
    code, text = run("replay", str(tmp_path), "--what-if", str(MATERIALS / "fleet.cue"))
    assert code == 0, text
    code, text = run("explain", str(tmp_path), "1")
    assert code == 0
    assert "RequestArrived(request=1" in text
    assert run("explain", str(tmp_path), "4000000000")[0] == 1
    assert not any(b"key-of-" in path.read_bytes() for path in tmp_path.glob("*.olr"))


def test_a_view_tells_the_decision_that_follows():
    """Thousands of next requests, foretold by a copy and then really made."""
    from orchidlane.gateway.telemetry.policy_views import make_view, next_request, read_view

    compared = 0
    for seed in range(20):
        story = Story(seed)
        for _ in range(200):
            story.step()
            customer, plan = story.rng.randrange(6), 0
            gateway: Gateway = story.bench.gateway
            if customer in gateway.accounts:
                plan = gateway.accounts[customer].plan
            who = (customer, plan, 0, 3)
            names = (tuple("abcde"), tuple("pqrs"))
            view = read_view(make_view(gateway, "g", story.bench.now, names, who))
            foretold = next_request(view, 0, 1.0)
            story.number += 1
            story.tell(policy.RequestArrived(story.number, *who[:2], 0, 1.0, 2 * SECOND, 0, 3, False))
            actions = story.log[-1][2]
            done = (
                "sent"
                if actions_of(actions, policy.SendAttempt)
                else "refused"
                if actions_of(actions, policy.RejectRequest)
                else "held"
            )
            assert foretold.decision == done
            compared += 1
    assert compared == 4_000
