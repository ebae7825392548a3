"""Shorthands for tests on gateway processes: a fleet with voters under a steady load."""

from __future__ import annotations

from harness.constants import SECOND
from harness.scenarios import ALL_RULES_HOLD, load_example
from orchidlane.config import Duration
from orchidlane.simulation.process_fleet import run_process_fleet

COST = "{class: sheet-read, cost: 2}"
EDITED = "{class: sheet-read, cost: 3}"
MIN_SERVED = 20  # of a run that says anything


def run_fleet(tmp_path, script, gateways=3, voters=3, rate=60.0, seed=1, customers=60, plans=None, **change):
    """Return verdict and fleet of ``script(fleet)`` beside clients' requests.

    ``change`` are settings of versions, ``plans`` settings by plan.
    """
    terms = {
        "voters": [f"gw-{rank}" for rank in range(voters)],
        "lease": "8s",  # an election may take 7.75 s
        "every": "100ms",
        "soak": "0s",
        "silence": "1500ms",  # a leader that a busy machine holds up is not replaced
    }
    terms |= change

    def edit_settings(value):
        value["change"] |= terms
        for name, settings in (plans or {}).items():
            value["plans"][name] |= settings

    scenario = load_example(
        "random.cue",
        duration=Duration(300 * SECOND),
        steps=(),
        gateway_count=gateways,
        request_rate=rate,
        quota_request_rate=0.0,
        customer_count=customers,
    )
    return run_process_fleet(scenario, str(tmp_path), script, edit_settings, seed)


def run_fleet_of_nine(tmp_path, script, **change):
    """Run a script on nine gateways, five of them voters; see ``run_fleet``."""
    return run_fleet(tmp_path, script, gateways=9, voters=5, **change)


def assert_rules_hold(verdict) -> None:
    """All five rules hold, over enough answers."""
    report = verdict.as_json()
    assert verdict.rules == ALL_RULES_HOLD, report
    assert verdict.responses.get("200", 0) > MIN_SERVED, report


def all_run(number: int):
    """Return a condition: the leader's status says that every gateway runs this version."""

    def condition(status) -> bool:
        return status["leads"] and all(gateway["runs"] == number for gateway in status["gateways"])

    return condition
