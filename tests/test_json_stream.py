"""The JSON object splitter, which reads the endpoint list watch."""

from __future__ import annotations

import json
import tracemalloc

import pytest
from harness.cost import cost_ratio
from harness.platform_harness import instance
from hypothesis import given
from hypothesis import strategies as st

from orchidlane.gateway.control.json_stream import JsonObjectSplitter, LineTooLongError

EVENTS = [
    {"generation": 41, "reset": True, "instances": [instance(1), instance(2, "leaving")]},
    {"generation": 42, "reset": False, "instances": [{**instance(3), "zone": 'a "}{" \\ b'}]},
    {"generation": 43, "reset": False, "instances": []},
]


def feed(splitter: JsonObjectSplitter, data: bytes) -> list[bytes]:
    """Return all objects that ``data`` completes."""
    splitter.receive(data)
    return [item for batch in splitter.batches() for item in batch]


@given(
    st.lists(st.sampled_from([None, 0, 1, 4]), min_size=3, max_size=3),
    st.lists(st.integers(1, 60)),
    st.data(),
)
def test_objects_are_split_however_their_bytes_arrive(indents, sizes, data):
    text = b""
    for event, indent in zip(EVENTS, indents, strict=True):
        text += json.dumps(event, indent=indent).encode() + data.draw(
            st.sampled_from([b"\n", b"\r\n", b"\n\n"])
        )
    splitter, objects = JsonObjectSplitter(1 << 20), []
    for size in [*sizes, len(text)]:
        objects += feed(splitter, text[:size])
        text = text[size:]
    assert [json.loads(data) for data in objects if data.strip()] == EVENTS


def test_blank_lines_are_reported_between_objects_and_not_within():
    assert feed(JsonObjectSplitter(100), b'\n{"a":\n\n1}\n\r\n') == [b"", b'{"a":\n\n1}', b""]


@pytest.mark.parametrize("piece", [b"x", b"{\n"])
def test_a_line_or_object_without_an_end_is_rejected(piece):
    splitter = JsonObjectSplitter(100)

    def feed_pieces() -> None:
        for _ in range(200):
            feed(splitter, piece)

    with pytest.raises(LineTooLongError):
        feed_pieces()


# Proportional cost has a ratio of 16, quadratic cost one of 256
SHORT_BYTES, LONG_BYTES, MAX_RATIO = 4_000, 64_000, 48


@pytest.mark.parametrize("piece_bytes", [1, 7, 100, 65_536])
@pytest.mark.parametrize("start", [b"", b"{", b'"', b'{"'])
@pytest.mark.parametrize("unit", [b"\n", b"a\n", b'\\"', b'"', b'"\\', b"{", b"}", b"{}", b'"a":{},', b"a"])
def test_an_object_costs_time_in_proportion_to_its_length_however_it_arrives(unit, start, piece_bytes):
    """Guards against a list that stops the gateway: quotes without an end, many lines, small pieces."""

    def feed_in_pieces(text: bytes) -> None:
        splitter = JsonObjectSplitter(1 << 20)
        for index in range(0, len(text), piece_bytes):
            feed(splitter, text[index : index + piece_bytes])

    def text(length: int) -> bytes:
        return start + (unit * length)[:length] + b"\n"

    assert cost_ratio(feed_in_pieces, text(SHORT_BYTES), text(LONG_BYTES)) <= MAX_RATIO


@pytest.mark.parametrize("line", [b"\n", b"a\n", b"\r\n", b" \n"])
def test_an_object_of_many_lines_takes_its_bytes_in_memory_and_has_a_limit(line):
    """Guards against memory without a limit: line breaks within an object counted nothing."""
    max_bytes = 200_000

    def feed_lines() -> None:
        splitter = JsonObjectSplitter(max_bytes)
        feed(splitter, b"{")
        for _ in range(0, max_bytes + 1, 1_000 * len(line)):
            feed(splitter, line * 1_000)

    tracemalloc.start()
    try:
        with pytest.raises(LineTooLongError):
            feed_lines()
        assert tracemalloc.get_traced_memory()[1] <= 2.25 * max_bytes + 65_536
    finally:
        tracemalloc.stop()
