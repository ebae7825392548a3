"""Scenarios on both fleet backends, random faults, and the audit of gateways with injected defects."""

from __future__ import annotations

import os

import pytest
from harness.constants import SECOND
from harness.scenarios import ALL_RULES_HOLD, load_example, make_scenario, make_step

from orchidlane import policy
from orchidlane.config import Duration
from orchidlane.gateway.control import endpoint_list
from orchidlane.gateway.forwarding import attempt as attempts
from orchidlane.gateway.forwarding.client_response import ClientResponse
from orchidlane.gateway.forwarding.policy_driver import PolicyDriver
from orchidlane.gateway.server.response_writer import ResponseWriter
from orchidlane.policy import admission, endpoint_registry, retries
from orchidlane.simulation.process_backend import run_processes
from orchidlane.simulation.random_faults import broken_seeds, run_seeds
from orchidlane.simulation.simulated_fleet import simulate

pytestmark = pytest.mark.usefixtures("quiet_log")

SEEDS = range(1, 201)
REGRESSION_SEEDS = (194, 244, 341)  # violated a rule before a fix: see CHANGELOG
# Violated a rule in a hot restart before a fix: see CHANGELOG
HOT_RESTART_REGRESSION_SEEDS = (99, 102, 103, 105, 158, 163, 2067)
ENDPOINTS = range(6)  # indexes of the endpoints in the example fleet


def simulate_seeds(seeds, **changes):
    """Return the audit's report for each seed of random faults on the example fleet."""
    reports = run_seeds(load_example("random.cue", **changes), seeds, os.cpu_count() or 1)
    assert len(reports) == len(seeds)
    return reports


def assert_rules_hold(verdict) -> None:
    assert verdict.rules == ALL_RULES_HOLD, verdict.as_json()


def test_random_faults_violate_no_rule():
    seeds = [*SEEDS, *(seed for seed in REGRESSION_SEEDS if seed not in SEEDS)]
    reports = simulate_seeds(seeds)
    assert broken_seeds(reports) == {}
    assert sum(report["runs"] for report in reports.values()) > 20_000


def test_hot_restarts_under_random_faults_violate_no_rule():
    """Each scenario has three hot restarts; half of their new processes are killed at a random time."""
    reports = simulate_seeds([*range(60), *HOT_RESTART_REGRESSION_SEEDS], hot_restart_count=3)
    assert broken_seeds(reports) == {}


def test_the_same_seed_gives_the_same_verdict():
    scenario = load_example("bad.cue", duration=Duration(4 * SECOND))
    first = simulate(scenario, 5).as_json()
    assert simulate(scenario, 5).as_json() == first
    assert simulate(scenario, 6).as_json() != first


def test_processes_violate_no_rule_under_many_kinds_of_faults():
    steps = (
        make_step(
            0.5, "node_faults", 0, 1, span=4, reset_before=0.1, reset_after=0.1, truncate=0.1, reject=0.1
        ),
        make_step(0.5, "peer_faults", span=4, loss=0.2, duplication=0.2, delay=Duration(20_000)),
        make_step(1.0, "kill_gateway", 1, back=0.2),
        make_step(1.0, "drain_node", 3, span=1.5, back=0.2),
        make_step(1.5, "freeze_gateway", 0, span=1.0),
        make_step(2.0, "kill_node", 2, back=0.3),
        make_step(3.0, "drain_gateway", 2),
        make_step(3.0, "cut_peers", 0, span=1.0),
    )
    slack = Duration(SECOND // 4)  # a busy machine delays processes
    verdict = run_processes(make_scenario(*steps, response_slack=slack, arrival_slack=slack), 1)
    assert_rules_hold(verdict)
    assert verdict.responses["200"] > 50
    assert verdict.execution_count > 100


def test_a_rolling_restart_of_all_endpoints_under_load_violates_no_rule():
    restart = make_step(0.3, "drain_node", *ENDPOINTS, span=0.7, back=0.1)
    verdict = simulate(make_scenario(restart, span=8), 5)
    assert_rules_hold(verdict)
    assert verdict.responses["200"] > 100


# The audit must report the defects that these tests inject into the gateways.


def test_the_audit_reports_a_missing_response(monkeypatch):
    finish = PolicyDriver._finish

    def finish_most(self, request, response):
        if request.number % 20:
            finish(self, request, response)

    monkeypatch.setattr(PolicyDriver, "_finish", finish_most)
    verdict = simulate(make_scenario(span=3), 1)
    assert verdict.missing_responses
    assert not verdict.rules["1"]


def test_the_audit_reports_a_duplicate_response(monkeypatch):
    write = ResponseWriter.write

    def write_twice(self, connection, head, response, keep):
        write(self, connection, head, response, keep)
        return write(self, connection, head, response, keep)

    monkeypatch.setattr(ResponseWriter, "write", write_twice)
    verdict = simulate(make_scenario(span=3), 1)
    assert verdict.duplicate_responses
    assert not verdict.rules["1"]


def test_the_audit_reports_a_late_response(monkeypatch):
    write = ResponseWriter.write

    def write_late(self, connection, head, response, keep):
        self._server.loop.sleep(300_000 if response.status == 503 else 0)
        return write(self, connection, head, response, keep)

    monkeypatch.setattr(ResponseWriter, "write", write_late)
    verdict = simulate(make_scenario(make_step(0, "node_faults", *ENDPOINTS, span=9, hang=0.3), span=4), 1)
    assert verdict.late_responses
    assert not verdict.rules["1"]


def test_the_audit_reports_a_duplicate_effect(monkeypatch):
    attempt_finished = PolicyDriver.attempt_finished

    def report_not_sent(self, request, attempt, endpoint, outcome, took_us, load_report=(), response=None):
        if outcome is policy.Outcome.CONNECTION_BROKEN:
            outcome = policy.Outcome.NOT_SENT
        attempt_finished(self, request, attempt, endpoint, outcome, took_us, load_report, response)

    monkeypatch.setattr(PolicyDriver, "attempt_finished", report_not_sent)
    monkeypatch.setattr(attempts, "rejection_reason", lambda *_: None)
    steps = make_step(0, "node_faults", *ENDPOINTS, span=9, reset_after=0.3)
    verdict = simulate(make_scenario(steps, span=4), 1)
    assert verdict.duplicate_effects
    assert not verdict.rules["2"]


def test_the_audit_reports_a_rejection_after_an_execution(monkeypatch):
    monkeypatch.setattr(
        "orchidlane.gateway.forwarding.error_responses.failed",
        lambda: ClientResponse(503, [(b"retry-after", b"1")], b"", kind="refused"),
    )
    steps = make_step(0, "node_faults", *ENDPOINTS, span=9, reset_after=0.3)
    assert not simulate(make_scenario(steps, span=4), 1).rules["2"]


def test_the_audit_reports_requests_sent_to_a_draining_endpoint(monkeypatch):
    monkeypatch.setitem(endpoint_list.ENDPOINT_STATES, "draining", policy.EndpointState.READY)
    monkeypatch.setattr(attempts, "rejection_reason", lambda *_: None)
    verdict = simulate(make_scenario(make_step(0.5, "drain_node", 0, 1, span=3), span=4), 1)
    assert verdict.sent_after_drain
    assert not verdict.rules["3"]


def test_the_audit_reports_an_endpoint_overloaded_during_slow_start(monkeypatch):
    monkeypatch.setattr(endpoint_registry, "is_warm", lambda *_: True)
    monkeypatch.setattr(retries, "_admission_latency_bound_us", lambda *_: 1e12)
    steps = make_step(0.5, "kill_node", 0, 1, 2, 3, 4, back=0.1)
    verdict = simulate(make_scenario(steps, request_rate=500.0, customer_count=500, cores=1.0), 1)
    assert verdict.overloaded_endpoints
    assert not verdict.rules["4"]


def test_the_audit_reports_an_exceeded_ceiling(monkeypatch):
    original_admits = admission.admits

    def admit_all(state, event, account):
        original_admits(state, event, account)
        account.ceiling_tokens = max(account.ceiling_tokens, event.units)
        return True

    monkeypatch.setattr(admission, "admits", admit_all)
    verdict = simulate(make_scenario(customer_count=2, request_rate=120.0), 1)
    assert verdict.worst_ceiling_ratio > 1
    assert not verdict.rules["5"]


def test_endpoints_that_start_under_load_are_not_overloaded():
    steps = make_step(0.5, "kill_node", 0, 1, 2, 3, 4, back=0.1)
    verdict = simulate(make_scenario(steps, request_rate=500.0, customer_count=500, cores=1.0, span=4), 1)
    assert_rules_hold(verdict)
