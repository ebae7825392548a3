"""The audit of traffic records agrees with the audit of sockets, and reports each kind of violation."""

from __future__ import annotations

import json
from pathlib import Path

import pytest
from harness.constants import MS, SECOND
from harness.recording_harness import PolicyFuzzer, run_command
from harness.saved_states import NAMES
from harness.scenarios import make_scenario, make_step

from orchidlane import policy, recording
from orchidlane.policy import endpoint_selection, retries
from orchidlane.runtime import EventLoop
from orchidlane.runtime.simulated_backend import SimulatedBackend
from orchidlane.simulation.scenario_plan import make_plan
from orchidlane.simulation.scenario_runner import ScenarioRunner
from orchidlane.simulation.simulated_fleet import SimulatedFleetBackend

pytestmark = pytest.mark.usefixtures("quiet_log")


def run_recorded(tmp_path: Path, *steps, seed: int = 1, **changes) -> dict:
    """Return the output of the audit command over the records of a simulated scenario."""
    backend = SimulatedBackend(seed)
    loop = EventLoop(backend)
    fleet_backend = SimulatedFleetBackend(loop, backend, record_to="rec")
    plan = make_plan(make_scenario(*steps, **changes), "sim", fleet_backend.free_addresses)
    fleet_backend.prepare(plan)
    runner = ScenarioRunner(loop, plan, fleet_backend)
    loop.run(runner.run)
    for name, data in backend.files.items():
        if name.startswith(("rec/", "sim/node-")) and not name.endswith(".json"):
            (tmp_path / name.rpartition("/")[2]).write_bytes(data)
    runner.write_records(str(tmp_path))
    code, text = run_command("audit", str(tmp_path), "--json")
    output = json.loads(text)
    rules_kept = all(output["sockets"]["rules"].values()) and all(output["gateways"]["rules"].values())
    assert code == (0 if rules_kept else 1)
    return output


def test_the_audits_of_records_and_sockets_agree_under_faults(tmp_path):
    steps = (
        make_step(
            0.5, "node_faults", 0, 1, span=3, reset_before=0.1, reset_after=0.1, truncate=0.1, reject=0.1
        ),
        make_step(1.0, "kill_gateway", 1, back=0.2),
        make_step(1.0, "drain_node", 3, span=1.0, back=0.2),
        make_step(1.5, "freeze_gateway", 0, span=1.5),
    )
    output = run_recorded(tmp_path, *steps, span=4, request_rate=150.0, quota_request_rate=20.0)
    assert all(output["gateways"]["rules"].values()), output
    assert all(output["sockets"]["rules"].values()), output
    assert output["gateways"]["arrivals"] > 200
    assert output["gateways"]["lives"] == 4


def test_the_audit_of_records_reports_a_retry_that_is_not_idempotent(tmp_path, monkeypatch):
    def retry_always(state, event):
        state.finish_attempt(event.request, event.attempt)
        request = state.requests.get(event.request)
        if request and event.final_response_sent:
            retries._forget(state, request)
        elif request:
            retries._advance(state, request)

    monkeypatch.setattr(retries, "attempt_finished", retry_always)
    monkeypatch.setattr(endpoint_selection, "_may_send", lambda *_: True)
    steps = make_step(0, "node_faults", *range(6), span=9, reset_after=0.3)
    output = run_recorded(tmp_path, steps, span=3)
    assert output["gateways"]["faults"]["sent again"] > 0
    assert not output["gateways"]["rules"]["2"]


def test_the_audit_of_records_reports_an_arrival_that_no_policy_decided_on(tmp_path, monkeypatch):
    from orchidlane.gateway.forwarding.attempt import Attempt

    original_request_head = Attempt._request_head
    monkeypatch.setattr(
        Attempt,
        "_request_head",
        lambda self: original_request_head(self).replace(
            b"-0\r\norchidlane-customer", b"-7\r\norchidlane-customer"
        ),
    )
    output = run_recorded(tmp_path, span=2)
    assert output["gateways"]["faults"]["undecided"] > 0


class EditedRecord:
    """Writes records of one request that an endpoint served, with entries left out or changed by a test."""

    def __init__(self, path: Path) -> None:
        self.path = path
        fuzzer = PolicyFuzzer(5)
        self.started_at_us, self.settings = fuzzer.harness.now, fuzzer.harness.settings
        recording.track_accounts(fuzzer.harness.gateway)
        fuzzer.feed(policy.RequestArrived(1, 7, 0, 0, 1.0, 2 * SECOND, 0, 3, False))
        self.arrived = fuzzer.log[-1]  # (time, event, actions)
        self.endpoint = next(
            action.endpoint for action in self.arrived[2] if isinstance(action, policy.SendAttempt)
        )
        fuzzer.harness.now += 100 * MS
        self.attempt_finished = policy.AttemptFinished(
            1, 0, self.endpoint, policy.Outcome.SERVED, 100, True, 0, 0.0, ()
        )
        fuzzer.feed(self.attempt_finished)
        self.served = fuzzer.log[-1]
        self.timers = [(self.started_at_us + i * 500 * MS, policy.TimerFired(0), []) for i in range(1, 12)]

    def faults(self, *entries) -> dict[str, int]:
        """Return the counts of faults by kind that the audit finds in a record of these entries."""
        header = recording.Header(
            recording.FORMAT_VERSION,
            "b",
            "gw",
            self.started_at_us,
            0,
            recording.settings_to_stored(self.settings),
            recording.dump_state(PolicyFuzzer(5).harness.gateway),
            *NAMES,
        )
        data = recording.pack_header(header) + recording.pack_account_page(self.started_at_us, [], last=True)
        for now, event, actions in entries:
            data += recording.pack_entry(now, event, actions)
        self.path.write_bytes(data)
        audit = recording.audit_records([str(self.path)])
        return dict(audit.faults) | ({"ceiling": 1} if not audit.rules["5"] else {})


@pytest.fixture
def record(tmp_path) -> EditedRecord:
    """Return the writer of records of a request that an endpoint served."""
    return EditedRecord(tmp_path / "gw-1-0.olr")


def test_a_complete_record_has_no_faults(record):
    assert record.faults(record.arrived, record.served) == {}


def test_a_request_without_a_response_is_reported_as_missing(record):
    assert record.faults(record.arrived, *record.timers) == {"missing": 1}


def test_a_response_after_the_deadline_is_reported_as_late(record):
    late_response = (record.timers[-1][0], record.attempt_finished, [])
    assert record.faults(record.arrived, *record.timers, late_response) == {"late": 1}


def test_a_second_response_is_reported_as_doubled(record):
    served_and_failed = (record.served[0], record.attempt_finished, [policy.FailRequest(1)])
    assert record.faults(record.arrived, served_and_failed) == {"doubled": 1}


def test_an_attempt_after_the_drain_grace_is_a_fault(record):
    arrived_at_us, event, _ = record.arrived
    drained = (arrived_at_us, policy.EndpointListReceived(policy.EndpointListKind.COMPLETE, 2, ()), [])
    late_attempt = (arrived_at_us + 900 * MS, event, [policy.SendAttempt(1, record.endpoint, 0)])
    response = (late_attempt[0], record.attempt_finished, [])
    assert record.faults(drained, late_attempt, response) == {"sent after drain": 1}


@pytest.mark.parametrize(("grant_count", "faults"), [(5, {}), (7, {"ceiling": 1})])
def test_grants_beyond_a_ceiling_and_its_slack_are_a_fault(record, grant_count, faults):
    grants = [
        (record.started_at_us + i, policy.QuotaRequested(i, 7, 2, 0, 3.0, 0, 3), [policy.GrantQuota(i)])
        for i in range(1, grant_count + 1)
    ]
    assert record.faults(*grants) == faults
