"""Segments of a traffic record: damage, replay, other settings, indexes, released formats."""

from __future__ import annotations

import dataclasses
import json
from pathlib import Path

import pytest
from harness.constants import SECOND
from harness.recording_harness import PolicyFuzzer, run_command, write_segment

from orchidlane import policy, recording

CORPUS = Path(__file__).parent / "corpus" / "record"


def test_a_segment_truncated_at_any_byte_gives_a_prefix_and_reports_the_damage(tmp_path):
    complete = tmp_path / "a.olr"
    log = write_segment(PolicyFuzzer(5), 25, complete)
    data = complete.read_bytes()
    reader = recording.SegmentReader(str(complete))
    offsets = [entry.offset for entry in reader if entry.event is not None]
    assert reader.damage is None
    cut = tmp_path / "cut.olr"
    for size in range(len(data)):
        cut.write_bytes(data[:size])
        if size < offsets[0]:
            with pytest.raises(recording.TruncatedHeaderError):
                recording.SegmentReader(str(cut)).read_state()
            found = recording.replay([str(cut)])
            assert (found.events, found.complete, len(found.unchecked_parts)) == (0, True, 1)
            continue
        replayed = recording.replay([str(cut)])
        assert (replayed.difference, replayed.complete) == (None, True)
        reader = recording.SegmentReader(str(cut))
        found = [(entry.at_us, entry.event, entry.actions) for entry in reader if entry.event is not None]
        reader.close()
        assert found == log[: len(found)]
        assert (reader.damage is None) == (size in [*offsets, len(data)])
        assert len(found) == sum(offset < size for offset in offsets) - (reader.damage is not None)


def test_reading_ends_at_a_flipped_bit(tmp_path):
    complete = tmp_path / "a.olr"
    log = write_segment(PolicyFuzzer(6), 12, complete)
    data = complete.read_bytes()
    first = next(entry.offset for entry in recording.SegmentReader(str(complete)) if entry.event is not None)
    for place in range(first, len(data)):
        damaged = bytearray(data)
        damaged[place] ^= 1 << place % 8
        complete.write_bytes(damaged)
        reader = recording.SegmentReader(str(complete))
        found = [(entry.at_us, entry.event, entry.actions) for entry in reader if entry.event is not None]
        reader.close()
        assert reader.damage is not None
        assert found == log[: len(found)]
        assert len(found) < len(log)


def test_replay_finds_no_difference_until_a_constant_changes(tmp_path, monkeypatch):
    fuzzer, paths = PolicyFuzzer(7), []
    for number in range(3):
        path = tmp_path / f"{number}.olr"
        write_segment(fuzzer, 200, path, number)
        paths.append(str(path))
    found = recording.replay(paths)
    assert (found.difference, found.segments, found.events) == (None, 3, len(fuzzer.log))
    monkeypatch.setattr("orchidlane.policy.quota.EXHAUSTED_BELOW_SHARE", 0.5)
    other = recording.replay(paths)
    assert other.difference is not None
    assert len(other.difference.format_lines()) >= 4
    assert 0 < other.events < found.events


def test_replay_continues_after_a_missing_segment_from_the_state_of_the_next(tmp_path):
    fuzzer, paths = PolicyFuzzer(8), []
    for number in range(3):
        path = tmp_path / f"{number}.olr"
        write_segment(fuzzer, 100, path, number)
        paths.append(str(path))
    found = recording.replay([paths[0], paths[2]])
    assert (found.difference, found.segments) == (None, 2)


def test_simulation_with_the_same_settings_changes_little_and_with_a_wider_plan_admits_more(tmp_path):
    fuzzer = PolicyFuzzer(9)
    path = tmp_path / "0.olr"
    write_segment(fuzzer, 600, path)
    same = recording.simulate_settings([str(path)])
    assert same.recorded.keys() == same.simulated.keys()
    arrivals = sum(map(sum, same.recorded.values()))
    # Timers of these stories fire late, those of the simulation do not
    assert same.changed_decisions <= 0.2 * arrivals
    wide = tuple(
        dataclasses.replace(p, rate=900.0, burst=900.0, max_in_flight=0, ceiling_rate=0.0)
        for p in fuzzer.harness.settings.plans
    )
    other = recording.simulate_settings([str(path)], dataclasses.replace(fuzzer.harness.settings, plans=wide))
    admitted = [sum(row[0] for row in table.values()) for table in (other.recorded, other.simulated)]
    assert admitted[1] > admitted[0]


def test_the_index_finds_what_a_scan_finds(tmp_path):
    path = tmp_path / "a.olr"
    write_segment(PolicyFuzzer(11), 300, path)
    reader = recording.SegmentReader(str(path))
    index = recording.KeyIndex(reader, recording.request_number)
    reread = recording.SegmentReader(str(path))
    scanned = [entry for entry in reread if getattr(entry.event, "request", None) == 5]
    assert [e for e in index.entries(5) if not isinstance(e.event, policy.TimerFired)] == scanned
    assert index.entries(1 << 30) == []


@pytest.mark.parametrize("file", sorted(CORPUS.iterdir()), ids=lambda file: file.name)
def test_records_of_each_released_format_are_read(file):
    """Kept files of earlier formats: read completely, and their states restored, by every later build."""
    reader = recording.SegmentReader(str(file))
    entries = [entry for entry in reader if entry.event is not None]
    assert reader.damage is None
    assert len(entries) == 160
    gateway = recording.restore_gateway(reader.header.policy_settings(), reader.read_state())
    kinds = {type(entry.event) for entry in entries}
    assert {
        policy.RequestArrived,
        policy.QuotaRequested,
        policy.AttemptFinished,
        policy.PeerMessageReceived,
    } <= kinds
    for entry in entries:
        gateway.handle(entry.at_us, entry.event)


def flip_bit(path: Path, place: int) -> None:
    data = bytearray(path.read_bytes())
    data[place] ^= 4
    path.write_bytes(data)


@pytest.mark.parametrize("offset", [0, 5, 12])  # the length, the checksum, the body of a frame
def test_replay_reports_a_flipped_bit_with_the_count_of_unchecked_events(tmp_path, offset):
    fuzzer, paths = PolicyFuzzer(7), []
    for number in range(2):
        path = tmp_path / f"gw-1-{number}.olr"
        write_segment(fuzzer, 100, path, number)
        paths.append(path)
    offsets = [entry.offset for entry in recording.SegmentReader(str(paths[0])) if entry.event is not None]
    flip_bit(paths[0], offsets[60] + offset)
    code, text = run_command("replay", str(tmp_path), "--json")
    assert code == 3, text
    output = json.loads(text)
    assert (output["lives_not_whole"], output["events"], output["events_unchecked"]) == (1, 160, 39)
    assert f"byte {offsets[60]}" in output["unchecked"][0]


def test_the_torn_tail_of_a_killed_gateway_is_reported_and_no_fault(tmp_path):
    path = tmp_path / "gw-1-0.olr"
    write_segment(PolicyFuzzer(7), 100, path)
    path.write_bytes(path.read_bytes()[:-5])
    code, text = run_command("replay", str(tmp_path), "--json")
    assert code == 0
    assert json.loads(text)["events"] == 99
    assert "torn" in json.loads(text)["unchecked"][0]


def test_a_record_with_clock_jumps_replays_without_difference(tmp_path):
    fuzzer = PolicyFuzzer(8)
    path = tmp_path / "gw-1-0.olr"
    header_at = fuzzer.harness.now
    for jump in (-3 * SECOND, 40 * SECOND, -20 * SECOND):
        fuzzer.harness.now = header_at + jump
        for _ in range(30):
            fuzzer.step()
    write_segment(fuzzer, 60, path)
    found = recording.replay([str(path)])
    assert (found.difference, found.events) == (None, 60)


def test_the_requests_of_a_customer_are_found_by_time(tmp_path):
    path = tmp_path / "gw-1-0.olr"
    log = write_segment(PolicyFuzzer(11), 400, path)
    arrived = [
        (now, event)
        for now, event, _ in log
        if isinstance(event, policy.RequestArrived | policy.QuotaRequested) and event.customer == 3
    ]
    reader = recording.SegmentReader(str(path))
    index = recording.TimeIndex(reader)
    middle = arrived[len(arrived) // 2][0]
    found = [entry for entry in index.between(0, middle) if recording.customer_number(entry) == 3]
    assert [(entry.at_us, entry.event) for entry in found] == [
        entry for entry in arrived if entry[0] < middle
    ]
    by_customer = recording.KeyIndex(reader, recording.customer_number).entries(3)
    assert [(entry.at_us, entry.event) for entry in by_customer] == arrived
    code, text = run_command("explain", str(tmp_path), "--customer", "3", "--json")
    assert code == 0
    assert len(json.loads(text)) == len(arrived)
