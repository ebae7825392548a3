"""Helpers for tests that run scenarios: scenarios of the example fleet, and steps with times in seconds."""

from __future__ import annotations

import msgspec

from harness.constants import MATERIALS, SECOND
from orchidlane.config import Duration
from orchidlane.simulation.scenario import FaultKind, Scenario, Step, load_scenario

ALL_RULES_HOLD = dict.fromkeys("12345", True)


def load_example(name: str, **changes) -> Scenario:
    """Return a scenario of the examples with some fields changed."""
    return msgspec.structs.replace(load_scenario(str(MATERIALS / name)), **changes)


def make_scenario(*steps: Step, span: float = 5, **changes) -> Scenario:
    """Return a scenario of ``span`` seconds on the example fleet."""
    return load_example("random.cue", duration=Duration(span * SECOND), steps=steps, **changes)


def make_step(at: float, fault: str, *targets: int, span: float = 0, back: float = 0, **settings) -> Step:
    """Return a step; ``at``, its duration ``span`` and its restart delay ``back`` are in seconds."""
    return Step(
        at=Duration(at * SECOND),
        fault=FaultKind(fault),
        targets=targets,
        duration=Duration(span * SECOND),
        restart_delay=Duration(back * SECOND),
        **settings,
    )
