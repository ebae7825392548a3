"""Shorthands for tests that run scenarios: the example fleet, steps with plain numbers, and no log output."""

from __future__ import annotations

import logging
from pathlib import Path

import msgspec
import pytest
import structlog

from orchidlane.config import Duration
from orchidlane.simulation.scenario import FaultKind, Scenario, Step, load_scenario

MATERIALS = Path(__file__).parent.parent.parent / "examples" / "materials"
SECOND = 1_000_000
ALL_RULES_HOLD = dict.fromkeys("12345", True)


@pytest.fixture(autouse=True)
def quiet_log():
    """Log critical errors only."""
    structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(logging.CRITICAL))
    yield
    structlog.reset_defaults()


def load_example(name: str, **changes) -> Scenario:
    """Return a scenario of the examples, changed."""
    return msgspec.structs.replace(load_scenario(str(MATERIALS / name)), **changes)


def make_scenario(*steps: Step, span: float = 5, **changes) -> Scenario:
    """Return a scenario of ``span`` seconds over the example fleet."""
    return load_example("random.cue", duration=Duration(span * SECOND), steps=steps, **changes)


def make_step(at: float, fault: str, *targets: int, span: float = 0, back: float = 0, **settings) -> Step:
    """Return a step; ``at``, its duration ``span`` and its restart delay ``back`` are seconds."""
    return Step(
        at=Duration(at * SECOND),
        fault=FaultKind(fault),
        targets=targets,
        duration=Duration(span * SECOND),
        restart_delay=Duration(back * SECOND),
        **settings,
    )
