"""Model checking of a hot restart; ``harness/hot_restart_model.py`` defines the model and its invariants."""

from __future__ import annotations

import pytest
from harness.hot_restart_model import initial_state

from orchidlane.hot_restart import new_process, old_process
from orchidlane.simulation.state_exploration import explore

pytestmark = pytest.mark.usefixtures("quiet_log")


def test_at_most_one_process_serves_and_one_can_always_serve():
    result = explore(initial_state())
    assert result.violations == []
    assert result.stuck_paths == []
    assert result.state_count > 3_000


@pytest.mark.parametrize(
    ("phase", "event", "broken_handler"),
    [
        # Resumes serving at the first missed heartbeat without killing the new process.
        (
            old_process.Phase.COMMITTED,
            old_process.TimerFired,
            lambda process, _now, _event: process.actions.append(old_process.ResumeServing("no heartbeat")),
        ),
        # Resumes serving when the new process reports a failure, without killing it.
        (
            old_process.Phase.COMMITTED,
            old_process.FailureDetected,
            lambda process, _now, _event: process.actions.append(old_process.ResumeServing("failed")),
        ),
    ],
)
def test_search_finds_an_old_process_that_does_not_fence(monkeypatch, phase, event, broken_handler):
    monkeypatch.setitem(old_process.TRANSITIONS, (phase, event), broken_handler)
    assert explore(initial_state()).violations[0][0] == "both serve"


def test_search_finds_an_old_process_that_ignores_a_closed_channel(monkeypatch):
    monkeypatch.delitem(old_process.TRANSITIONS, (old_process.Phase.FENCING, old_process.ChannelClosed))
    assert explore(initial_state()).stuck_paths


def test_new_process_that_ignores_a_reclaim_is_killed_at_the_deadline(monkeypatch):
    monkeypatch.setitem(
        new_process.TRANSITIONS,
        (new_process.Phase.PROBATION, new_process.ReclaimReceived),
        lambda process, _now, _event: process.actions.append(new_process.SendHeartbeat()),
    )
    result = explore(initial_state())
    assert (result.stuck_paths, result.violations) == ([], [])  # the old process kills it at the deadline
    monkeypatch.delitem(old_process.TRANSITIONS, (old_process.Phase.RECLAIMING, old_process.TimerFired))
    assert explore(initial_state()).stuck_paths
