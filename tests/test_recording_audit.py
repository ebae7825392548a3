"""The rules over records: they agree with the sockets, and object to each kind of violation."""

from __future__ import annotations

import json
from pathlib import Path

from harness.event_story import EventStory, run_command
from harness.gateway_harness import MS
from harness.policy_harness import SECOND
from harness.saved_states import NAMES
from test_day import day, quiet, step  # noqa: F401

from orchidlane import policy, recording
from orchidlane.policy import endpoint_selection, retries
from orchidlane.runtime import EventLoop, SimulatedBackend
from orchidlane.simulation.scenario_plan import make_plan
from orchidlane.simulation.scenario_runner import ScenarioRunner
from orchidlane.simulation.simulated_fleet import SimulatedFleetBackend


def recorded_day(tmp_path: Path, *steps, seed: int = 1, **changes) -> dict:
    backend = SimulatedBackend(seed)
    loop = EventLoop(backend)
    backing = SimulatedFleetBackend(loop, backend, record_to="rec")
    plan = make_plan(day(*steps, **changes), "sim", backing.free_addresses)
    backing.prepare(plan)
    runner = ScenarioRunner(loop, plan, backing)
    loop.run(runner.run)
    for name, data in backend.files.items():
        if name.startswith(("rec/", "sim/node-")) and not name.endswith(".json"):
            (tmp_path / name.rpartition("/")[2]).write_bytes(data)
    runner.write_records(str(tmp_path))
    code, text = run_command("audit", str(tmp_path), "--json")
    output = json.loads(text)
    held = all(output["sockets"]["rules"].values()) and all(output["gateways"]["rules"].values())
    assert code == (0 if held else 1)
    return output


def test_the_audit_of_records_agrees_with_the_sockets_on_a_day_of_faults(tmp_path):
    steps = (
        step(0.5, "node_faults", 0, 1, span=3, reset_before=0.1, reset_after=0.1, truncate=0.1, reject=0.1),
        step(1.0, "kill_gateway", 1, back=0.2),
        step(1.0, "drain_node", 3, span=1.0, back=0.2),
        step(1.5, "freeze_gateway", 0, span=1.5),
    )
    output = recorded_day(tmp_path, *steps, span=4, request_rate=150.0, quota_request_rate=20.0)
    assert all(output["gateways"]["rules"].values()), output
    assert all(output["sockets"]["rules"].values()), output
    assert output["gateways"]["arrivals"] > 200
    assert output["gateways"]["lives"] == 4


def test_the_audit_of_records_reports_a_retry_that_is_not_idempotent(tmp_path, monkeypatch):
    def again(state, event):
        state.end_attempt(event.request, event.attempt)
        request = state.requests.get(event.request)
        if request and event.answered:
            retries._forget(state, request)
        elif request:
            retries._advance(state, request)

    monkeypatch.setattr(retries, "attempt_ended", again)
    monkeypatch.setattr(endpoint_selection, "_may_send", lambda *_: True)
    steps = step(0, "node_faults", 0, 1, 2, 3, 4, 5, span=9, reset_after=0.3)
    output = recorded_day(tmp_path, steps, span=3)
    assert output["gateways"]["faults"]["sent again"] > 0
    assert not output["gateways"]["rules"]["2"]


def test_the_audit_of_records_reports_an_arrival_that_no_policy_decided_on(tmp_path, monkeypatch):
    from orchidlane.gateway.forwarding.attempt import Attempt

    head = Attempt._request_head
    monkeypatch.setattr(
        Attempt,
        "_request_head",
        lambda self: head(self).replace(b"-0\r\norchidlane-customer", b"-7\r\norchidlane-customer"),
    )
    output = recorded_day(tmp_path, span=2)
    assert output["gateways"]["faults"]["undecided"] > 0


def test_the_audit_of_records_reports_missing_late_and_double_responses_drains_and_ceilings(tmp_path):
    """Entries taken out of, or changed in, a record that holds."""
    story = EventStory(5)
    header_now, settings_ = story.bench.now, story.bench.settings
    recording.track_accounts(story.bench.gateway)
    entries = []
    story.feed(policy.RequestArrived(1, 7, 0, 0, 1.0, 2 * SECOND, 0, 3, False))
    server = next(a.endpoint for a in story.log[-1][2] if isinstance(a, policy.SendAttempt))
    entries.append(story.log[-1])
    story.bench.now += 100 * MS
    ended = policy.AttemptEnded(1, 0, server, policy.Outcome.SERVED, 100, True, 0, 0.0, ())
    story.feed(ended)
    entries.append(story.log[-1])

    def faults(*some) -> dict[str, int]:
        empty = EventStory(5).bench.gateway
        header = recording.Header(
            recording.FORMAT_VERSION,
            "b",
            "gw",
            header_now,
            0,
            recording.settings_to_stored(settings_),
            recording.dump_state(empty),
            *NAMES,
        )
        data = recording.pack_header(header) + recording.pack_account_page(header_now, [], last=True)
        for now, event, actions in some:
            data += recording.pack_entry(now, event, actions)
        path = tmp_path / "gw-1-0.olr"
        path.write_bytes(data)
        found = recording.audit_records([str(path)])
        return dict(found.faults) | ({"ceiling": 1} if not found.rules["5"] else {})

    arrived, served = entries
    beats = [(header_now + i * 500 * MS, policy.TimerFired(0), []) for i in range(1, 12)]
    assert faults(arrived, served) == {}
    assert faults(arrived, *beats) == {"missing": 1}
    assert faults(arrived, *beats, (beats[-1][0], ended, [])) == {"late": 1}
    assert faults(arrived, (served[0], ended, [policy.FailRequest(1)])) == {"doubled": 1}
    gone = policy.EndpointListReceived(policy.EndpointListKind.COMPLETE, 2, ())
    late = (arrived[0] + 900 * MS, arrived[1], [policy.SendAttempt(1, server, 0)])
    assert faults((arrived[0], gone, []), late, (late[0], ended, [])) == {"sent after drain": 1}
    grants = [
        (header_now + i, policy.QuotaRequested(i, 7, 2, 0, 3.0, 0, 3), [policy.GrantQuota(i)])
        for i in range(1, 8)
    ]
    assert faults(*grants) == {"ceiling": 1}
    assert faults(*grants[:5]) == {}
