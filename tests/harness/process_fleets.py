"""Shorthands for tests on whole processes: a fleet with voters under a steady load."""

from __future__ import annotations

from pathlib import Path

import msgspec

from orchidlane.config import Duration
from orchidlane.simulation.process_fleet import play_fleet
from orchidlane.simulation.scenario import load_day

MATERIALS = Path(__file__).parent.parent.parent / "examples" / "materials"
SECOND = 1_000_000
COST, EDITED = "{class: sheet-read, cost: 2}", "{class: sheet-read, cost: 3}"


def fleet_of(tmp_path, work, gateways=3, voters=3, rate=60.0, seed=1, customers=60, plans=None, **change):
    """Verdict and fleet of ``work(fleet)`` beside clients' requests."""
    terms = {
        "voters": [f"gw-{rank}" for rank in range(voters)],
        "lease": "2s",
        "every": "100ms",
        "soak": "0s",
    }
    terms["silence"] = "1500ms"  # a busy machine holds processes up: that is no dead leader
    terms |= change

    def edit(value):
        value["change"] |= terms
        for name, wanted in (plans or {}).items():
            value["plans"][name] |= wanted

    found = load_day(str(MATERIALS / "random.cue"))
    day = msgspec.structs.replace(
        found,
        span=Duration(300 * SECOND),
        steps=(),
        gateways=gateways,
        rate=rate,
        takes=0.0,
        customers=customers,
    )
    return play_fleet(day, str(tmp_path), work, edit, seed)


def rules_hold(verdict) -> None:
    """All five, and there was something to hold them over."""
    told = verdict.as_json()
    assert verdict.rules == dict.fromkeys("12345", True), told
    assert verdict.answers.get("200", 0) > 20, told
