"""The JSON object splitter, which reads the endpoint list watch."""

from __future__ import annotations

import json

import pytest
from harness.platform_harness import (
    instance,
)
from hypothesis import given
from hypothesis import strategies as st

from orchidlane.gateway.control.json_stream import JsonObjectSplitter, LineTooLongError

EVENTS = [
    {"generation": 41, "reset": True, "instances": [instance(1), instance(2, "leaving")]},
    {"generation": 42, "reset": False, "instances": [{**instance(3), "zone": 'a "}{" \\ b'}]},
    {"generation": 43, "reset": False, "instances": []},
]


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
        objects += splitter.feed(text[:size])
        text = text[size:]
    assert [json.loads(data) for data in objects if data.strip()] == EVENTS


def test_blank_lines_are_reported_between_objects_and_not_within():
    assert JsonObjectSplitter(100).feed(b'\n{"a":\n\n1}\n\r\n') == [b"", b'{"a":\n\n1}', b""]


@pytest.mark.parametrize("piece", [b"x", b"{\n"])
def test_a_line_or_object_without_an_end_is_rejected(piece):
    splitter = JsonObjectSplitter(100)

    def feed_pieces() -> None:
        for _ in range(200):
            splitter.feed(piece)

    with pytest.raises(LineTooLongError):
        feed_pieces()
