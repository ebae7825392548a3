"""Settings files: unification, defaults, and the position of each problem."""

from __future__ import annotations

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from orchidlane import config
from orchidlane.config import ConfigError, Duration, Size

SCHEMA = """
#Span: =~"^[0-9]+(ms|s)$"
#Plan: {
    rate: number & >=0
    burst: *10 | number & >=1
    name?: string
}
#Root: {
    port: int & >=1 & <=65535
    mode: *"fast" | "safe"
    wait: *"250ms" | #Span
    room: *"1KiB" | string
    plans: [string]: #Plan
    tags: [...string]
    same: *port | int
}
"""


class Plan(msgspec.Struct, frozen=True):
    rate: float
    burst: float
    name: str = ""


class Root(msgspec.Struct, frozen=True):
    port: int
    mode: str
    wait: Duration
    room: Size
    plans: dict[str, Plan]
    tags: tuple[str, ...]
    same: int


def load(text: str) -> Root:
    return config.load(text, "f.cue", SCHEMA, "#Root", Root)


def problems(text: str) -> list[str]:
    """Return the lines of the error that loading a text raises."""
    with pytest.raises(ConfigError) as caught:
        load(text)
    return str(caught.value).splitlines()


def test_defaults_are_filled_in_and_records_are_typed():
    root = load('package x\n// a comment\nport: 80\nplans: basic: rate: 2 // another\ntags: ["a",\n  "b"]\n')
    assert root == Root(80, "fast", 250_000, 1024, {"basic": Plan(2, 10)}, ("a", "b"), 80)


def test_a_settings_file_may_hold_definitions_and_references():
    text = "#Mine: {rate: 3, burst: >=5}\nport: 8\nplans: a: #Mine & {burst: 6}\nplans: b: plans.a\ntags: []"
    root = load(text)
    assert root.plans["a"] == root.plans["b"] == Plan(3, 6)


def test_all_problems_are_reported_at_once_with_their_positions():
    reported = problems(
        'port: 0\nmode: "slow"\nplans: a: {rate: "x", brust: 1}\ntags: [1]\nwait: "5 s"\nsame: 1'
    )
    assert reported == [
        "f.cue:1:7: port: found 0, allowed: int & >=1 & <=65535",
        'f.cue:2:7: mode: found "slow", allowed: *"fast" | "safe"',
        'f.cue:3:18: plans.a.rate: found "x", allowed: number & >=0',
        "f.cue:3:23: plans.a.brust: is not a field here, allowed: burst, name, rate",
        "f.cue:4:8: tags[0]: found 1, allowed: string",
        'f.cue:5:7: wait: found "5 s", allowed: *"250ms" | #Span',
    ]


def test_each_missing_field_is_reported():
    assert problems("plans: a: {}\ntags: []") == [
        "f.cue:1:1: port: is missing, allowed: int & >=1 & <=65535",
        "f.cue:1:1: same: is missing, allowed: int & >=1 & <=65535",
        "f.cue:1:11: plans.a.rate: is missing, allowed: number & >=0",
    ]


@pytest.mark.parametrize(
    ("text", "problem"),
    [
        ("port: 1 + 1", "f.cue:1:9: file: invalid syntax"),
        ("port: a\na: b\nb: a", "a refers to itself"),
        ("port: 1, tags: nowhere", "nowhere is not defined"),
        ("port: 1\nport: 2", "found 2, allowed: int & >=1 & <=65535 & 1"),
        ("port: {", "invalid syntax"),
        ('port: "a', "invalid syntax"),
        ("plans: [1]", "allowed: {}"),
    ],
)
def test_an_invalid_file_is_rejected_with_a_position(text, problem):
    assert any(problem in line for line in problems(text)), problems(text)


def test_rendered_values_are_read_as_the_same_values():
    text = "port: 80\nplans: basic: rate: 2\ntags: []\n"
    value = config.plain_values(text, "f.cue", SCHEMA, "#Root")
    assert config.plain_values(config.render(value)[1:-1], "again", SCHEMA, "#Root") == value


@given(st.text(alphabet='ab:{}[]"1&|*#.\n ,?=>/', max_size=30))
def test_any_text_is_loaded_or_raises_an_error_with_problems(text):
    raised = None
    try:
        load(text)
    except ConfigError as error:
        raised = error
    assert raised is None or raised.problems


def test_durations_and_sizes_are_parsed_with_their_units():
    assert Duration.parse("1.5s") == 1_500_000
    assert Size.parse("2MiB") == 2 << 20
    with pytest.raises(ValueError, match="not a duration"):
        Duration.parse("5 s")
