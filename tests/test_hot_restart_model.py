"""Model checking of a hot restart; ``harness/hot_restart_model.py`` has the model and its invariants."""

from __future__ import annotations

import pytest
from harness.hot_restart_model import initial_state

from orchidlane.hot_restart import new_process, old_process
from orchidlane.simulation.state_exploration import explore

pytestmark = pytest.mark.usefixtures("quiet_log")


def test_never_both_serve_and_one_can_always_serve():
    result = explore(initial_state())
    assert result.violations == []
    assert result.stuck_paths == []
    assert result.state_count > 3_000


@pytest.mark.parametrize(
    ("phase", "event", "instead"),
    [
        # resumes serving at the first missed heartbeat, without making sure
        (
            old_process.Phase.COMMITTED,
            old_process.TimerFired,
            lambda process, _now, _event: process.actions.append(old_process.ResumeServing("silent")),
        ),
        # resumes serving on the word of a failed new process alone
        (
            old_process.Phase.COMMITTED,
            old_process.FailureDetected,
            lambda process, _now, _event: process.actions.append(old_process.ResumeServing("unfit")),
        ),
    ],
)
def test_old_process_that_does_not_fence_is_found(monkeypatch, phase, event, instead):
    monkeypatch.setitem(old_process.TRANSITIONS, (phase, event), instead)
    assert explore(initial_state()).violations[0][0] == "both serve"


def test_old_process_that_forgets_a_dead_new_process_is_found(monkeypatch):
    monkeypatch.delitem(old_process.TRANSITIONS, (old_process.Phase.FENCING, old_process.ChannelClosed))
    assert explore(initial_state()).stuck_paths


def test_new_process_that_ignores_a_reclaim_is_found(monkeypatch):
    monkeypatch.setitem(
        new_process.TRANSITIONS,
        (new_process.Phase.PROBATION, new_process.ReclaimReceived),
        lambda process, _now, _event: process.actions.append(new_process.SendHeartbeat()),
    )
    result = explore(initial_state())
    assert (result.stuck_paths, result.violations) == ([], [])  # it is killed after a while
    monkeypatch.delitem(old_process.TRANSITIONS, (old_process.Phase.RECLAIMING, old_process.TimerFired))
    assert explore(initial_state()).stuck_paths
