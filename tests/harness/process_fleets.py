"""Helpers for rollout tests with gateway processes: a fleet with voters under a steady load."""

from __future__ import annotations

from harness.constants import SECOND
from harness.scenarios import ALL_RULES_HOLD, load_example
from orchidlane.config import Duration
from orchidlane.simulation.process_fleet import run_process_fleet

COST_RULE = "{class: sheet-read, cost: 2}"
EDITED_COST_RULE = "{class: sheet-read, cost: 3}"
MIN_SERVED = 20  # responses with status 200 without which a run proves nothing


def run_fleet(tmp_path, script, gateways=3, voters=3, rate=60.0, seed=1, customers=60, plans=None, **rollout):
    """Run ``script(fleet)`` while clients send requests; return the verdict and the fleet.

    ``rollout`` has entries of the settings' ``change`` section, ``plans`` the changed settings by plan.
    """
    rollout_settings = {
        "voters": [f"gw-{rank}" for rank in range(voters)],
        "lease": "8s",  # longer than an election, which takes up to 7.75 s
        "every": "100ms",
        "soak": "0s",
        "silence": "1500ms",  # long enough that a leader delayed by a busy machine is not replaced
    }
    rollout_settings |= rollout

    def edit_settings(fleet_settings):
        fleet_settings["change"] |= rollout_settings
        for name, plan_settings in (plans or {}).items():
            fleet_settings["plans"][name] |= plan_settings

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


def run_fleet_of_nine(tmp_path, script, **rollout):
    """Run a script as ``run_fleet`` does, on nine gateways of which five are voters."""
    return run_fleet(tmp_path, script, gateways=9, voters=5, **rollout)


def assert_rules_hold(verdict) -> None:
    """Assert that all five rules hold and that enough requests were served."""
    report = verdict.as_json()
    assert verdict.rules == ALL_RULES_HOLD, report
    assert verdict.responses.get("200", 0) > MIN_SERVED, report


def all_run(number: int):
    """Return a condition on a status: it is the leader's, and every gateway runs this version."""

    def condition(status) -> bool:
        return status["leads"] and all(gateway["runs"] == number for gateway in status["gateways"])

    return condition
