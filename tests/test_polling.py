"""The schedule of discovery polls: a silent watch is replaced in time, and open polls are bounded."""

from __future__ import annotations

import pytest
from harness.constants import MS, SECOND
from hypothesis import given
from hypothesis import strategies as st

from orchidlane.platform import polling
from orchidlane.platform.polling import PollSchedule, retry_interval_us


def test_the_silence_timeout_allows_for_late_heartbeats():
    assert polling.SILENCE_TIMEOUT_US >= polling.HEARTBEAT_INTERVAL_US + 100 * MS


@pytest.mark.parametrize("grace_us", [1, 300 * MS, 500 * MS, SECOND, 5 * SECOND])
def test_a_silent_watch_is_replaced_before_its_notification_deadline(grace_us):
    interval_us = retry_interval_us(grace_us)
    assert polling.SILENCE_TIMEOUT_US + 7 * interval_us <= polling.NOTIFICATION_DEADLINE_US


@pytest.mark.parametrize("grace_us", [1, 300 * MS, 500 * MS, SECOND, 5 * SECOND])
def test_two_retry_intervals_fit_into_the_drain_grace(grace_us):
    assert retry_interval_us(grace_us) <= max(polling.MIN_RETRY_INTERVAL_US, grace_us // 2)


EVENTS = st.lists(
    st.tuples(
        st.sampled_from(["wait", "responded", "finished", "finished"]),
        st.integers(0, 3),
        st.integers(0, 3 * SECOND),
    )
)


@given(EVENTS)
def test_open_polls_are_bounded_and_a_watch_is_active_or_a_poll_due(events):
    schedule, now, open_polls = PollSchedule(500 * MS), 0, []
    for action, index, delay_us in events:
        now += delay_us if action == "wait" else 0
        if action != "wait" and open_polls:
            number = open_polls[index % len(open_polls)]
            if action == "responded":
                cancelled = schedule.response_received(number)
                open_polls = [poll for poll in open_polls if poll not in cancelled]
            else:
                open_polls.remove(number)
                schedule.poll_finished(number)
        number, surplus = schedule.next_poll(now)
        open_polls = [poll for poll in open_polls if poll not in surplus]
        open_polls += [number] if number is not None else []
        assert len(open_polls) <= polling.MAX_PENDING_POLLS
        assert set(open_polls) == {*schedule.pending, *([schedule.active] if schedule.active else [])}
        if schedule.active is None:
            assert schedule.next_deadline() <= now + schedule.interval_us
        else:
            assert schedule.next_deadline() is None
            assert number is None
            assert not schedule.pending


def test_a_long_watch_that_finishes_is_replaced_at_once():
    schedule = PollSchedule(500 * MS)
    number, _ = schedule.next_poll(0)
    schedule.response_received(number)
    schedule.poll_finished(number)
    assert schedule.next_poll(10 * SECOND)[0] is not None


@pytest.mark.parametrize("lifetime_us", [0, 1 * MS, 100 * MS, 249 * MS, 250 * MS, 400 * MS, 1_999 * MS])
def test_a_watch_that_finishes_is_replaced_within_an_interval_however_many_were_short(lifetime_us):
    """Guards against a growing wait without a watch, in which the gateway misses that endpoints drain."""
    schedule, now = PollSchedule(250 * MS), 0
    for _ in range(20):
        started_at = now
        number, _ = schedule.next_poll(now)
        schedule.response_received(number)
        schedule.poll_finished(number)
        ended_at = started_at + lifetime_us
        now = max(ended_at, schedule.next_deadline())
        assert now == max(ended_at, started_at + 250 * MS)
