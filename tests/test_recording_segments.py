"""Segments of a traffic record: damage, replay, other settings, indexes, released formats."""

from __future__ import annotations

import dataclasses
import json
from pathlib import Path

import pytest
from conftest import SECOND
from harness.event_story import Story, run, segment

from orchidlane import policy, recording

CORPUS = Path(__file__).parent / "corpus" / "record"


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
