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


def test_a_segment_truncated_at_any_byte_gives_a_prefix_and_the_damage(tmp_path):
    complete = tmp_path / "a.olr"
    log = write_segment(PolicyFuzzer(5), 25, complete)
    data = complete.read_bytes()
    reader = recording.SegmentReader(str(complete))
    offsets = [entry.offset for entry in reader if entry.event is not None]
    assert reader.damage is None
    truncated = tmp_path / "truncated.olr"
    for size in range(len(data)):
        truncated.write_bytes(data[:size])
        if size < offsets[0]:
            with pytest.raises(recording.TruncatedHeaderError):
                recording.SegmentReader(str(truncated)).read_state()
            replayed = recording.replay([str(truncated)])
            assert (replayed.events, replayed.complete, len(replayed.unchecked_parts)) == (0, True, 1)
            continue
        replayed = recording.replay([str(truncated)])
        assert (replayed.difference, replayed.complete) == (None, True)
        reader = recording.SegmentReader(str(truncated))
        read = [(entry.at_us, entry.event, entry.actions) for entry in reader if entry.event is not None]
        reader.close()
        assert read == log[: len(read)]
        assert (reader.damage is None) == (size in [*offsets, len(data)])
        assert len(read) == sum(offset < size for offset in offsets) - (reader.damage is not None)


def test_reading_stops_at_a_flipped_bit(tmp_path):
    complete = tmp_path / "a.olr"
    log = write_segment(PolicyFuzzer(6), 12, complete)
    data = complete.read_bytes()
    first = next(entry.offset for entry in recording.SegmentReader(str(complete)) if entry.event is not None)
    for position in range(first, len(data)):
        damaged = bytearray(data)
        damaged[position] ^= 1 << position % 8
        complete.write_bytes(damaged)
        reader = recording.SegmentReader(str(complete))
        read = [(entry.at_us, entry.event, entry.actions) for entry in reader if entry.event is not None]
        reader.close()
        assert reader.damage is not None
        assert read == log[: len(read)]
        assert len(read) < len(log)


def test_replay_finds_no_difference_until_a_constant_changes(tmp_path, monkeypatch):
    fuzzer, paths = PolicyFuzzer(7), []
    for number in range(3):
        path = tmp_path / f"{number}.olr"
        write_segment(fuzzer, 200, path, number)
        paths.append(str(path))
    result = recording.replay(paths)
    assert (result.difference, result.segments, result.events) == (None, 3, len(fuzzer.log))
    monkeypatch.setattr("orchidlane.policy.quota.EXHAUSTED_BELOW_SHARE", 0.5)
    changed_result = recording.replay(paths)
    assert changed_result.difference is not None
    assert len(changed_result.difference.format_lines()) >= 4
    assert 0 < changed_result.events < result.events


def test_replay_continues_from_the_next_state_after_a_missing_segment(tmp_path):
    fuzzer, paths = PolicyFuzzer(8), []
    for number in range(3):
        path = tmp_path / f"{number}.olr"
        write_segment(fuzzer, 100, path, number)
        paths.append(str(path))
    result = recording.replay([paths[0], paths[2]])
    assert (result.difference, result.segments) == (None, 2)


def test_unchanged_settings_change_little_and_a_wider_plan_admits_more(tmp_path):
    fuzzer = PolicyFuzzer(9)
    path = tmp_path / "0.olr"
    write_segment(fuzzer, 600, path)
    same = recording.simulate_settings([str(path)])
    assert same.recorded.keys() == same.simulated.keys()
    arrivals = sum(map(sum, same.recorded.values()))
    # The fuzzer fires timers late, the simulation on time, so a few decisions differ.
    assert same.changed_decisions <= 0.2 * arrivals
    wide_plans = tuple(
        dataclasses.replace(plan, rate=900.0, burst=900.0, max_in_flight=0, ceiling_rate=0.0)
        for plan in fuzzer.harness.settings.plans
    )
    wider = recording.simulate_settings(
        [str(path)], dataclasses.replace(fuzzer.harness.settings, plans=wide_plans)
    )
    admitted = [sum(row[0] for row in table.values()) for table in (wider.recorded, wider.simulated)]
    assert admitted[1] > admitted[0]


def test_the_index_finds_what_a_scan_finds(tmp_path):
    path = tmp_path / "a.olr"
    write_segment(PolicyFuzzer(11), 300, path)
    reader = recording.SegmentReader(str(path))
    index = recording.KeyIndex(reader, recording.request_number)
    reread = recording.SegmentReader(str(path))
    scanned = [entry for entry in reread if getattr(entry.event, "request", None) == 5]
    assert [entry for entry in index.entries(5) if not isinstance(entry.event, policy.TimerFired)] == scanned
    assert index.entries(1 << 30) == []


@pytest.mark.parametrize("file", sorted(CORPUS.iterdir()), ids=lambda file: file.name)
def test_records_of_each_released_format_are_read(file):
    """Every later build must read the kept files of earlier formats completely and restore their states."""
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


def flip_bit(path: Path, position: int) -> None:
    data = bytearray(path.read_bytes())
    data[position] ^= 4
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


def test_the_torn_end_of_a_record_is_reported_but_is_no_fault(tmp_path):
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
    started_at_us = fuzzer.harness.now
    for jump in (-3 * SECOND, 40 * SECOND, -20 * SECOND):
        fuzzer.harness.now = started_at_us + jump
        for _ in range(30):
            fuzzer.step()
    write_segment(fuzzer, 60, path)
    result = recording.replay([str(path)])
    assert (result.difference, result.events) == (None, 60)


def test_the_requests_of_a_customer_are_found_by_time(tmp_path):
    path = tmp_path / "gw-1-0.olr"
    log = write_segment(PolicyFuzzer(11), 400, path)
    arrivals = [
        (now, event)
        for now, event, _ in log
        if isinstance(event, policy.RequestArrived | policy.QuotaRequested) and event.customer == 3
    ]
    reader = recording.SegmentReader(str(path))
    index = recording.TimeIndex(reader)
    middle_us = arrivals[len(arrivals) // 2][0]
    found = [entry for entry in index.between(0, middle_us) if recording.customer_number(entry) == 3]
    assert [(entry.at_us, entry.event) for entry in found] == [
        arrival for arrival in arrivals if arrival[0] < middle_us
    ]
    by_customer = recording.KeyIndex(reader, recording.customer_number).entries(3)
    assert [(entry.at_us, entry.event) for entry in by_customer] == arrivals
    code, text = run_command("explain", str(tmp_path), "--customer", "3", "--json")
    assert code == 0
    assert len(json.loads(text)) == len(arrivals)
