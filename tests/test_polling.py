"""The schedule of polls: a silent watch is replaced in time, and polls are bounded."""

from __future__ import annotations

from harness.platform_harness import (
    MS,
    SECOND,
)
from hypothesis import given
from hypothesis import strategies as st

from orchidlane.platform import polling
from orchidlane.platform.polling import PollSchedule, retry_interval_us


def test_a_silent_watch_is_replaced_before_its_notification_deadline():
    assert (
        polling.SILENCE_TIMEOUT_US >= polling.HEARTBEAT_INTERVAL_US + 100 * MS
    )  # else a healthy one is broken
    for grace in (1, 300 * MS, 500 * MS, SECOND, 5 * SECOND):
        again = retry_interval_us(grace)
        assert polling.SILENCE_TIMEOUT_US + 7 * again <= polling.NOTIFICATION_DEADLINE_US
        assert again <= max(
            polling.MIN_RETRY_INTERVAL_US, grace // 2
        )  # after an outage two calls fit into the grace
    assert polling.SILENCE_TIMEOUT_US + 2 * polling.MAX_BACKOFF_US < polling.NOTIFICATION_DEADLINE_US


EVENTS = st.lists(
    st.tuples(
        st.sampled_from(["wait", "spoke", "ended", "ended"]), st.integers(0, 3), st.integers(0, 3 * SECOND)
    )
)


@given(EVENTS)
def test_polls_are_bounded_and_one_is_always_active_or_due_soon(events):
    clock, now, open_calls = PollSchedule(500 * MS), 0, []
    for what, place, span in events:
        now += span if what == "wait" else 0
        if what != "wait" and open_calls:
            number = open_calls[place % len(open_calls)]
            if what == "spoke":
                replaced = clock.response_received(number)
                open_calls = [one for one in open_calls if one not in replaced]
            else:
                open_calls.remove(number)
                clock.poll_ended(number, now)
        number, given_up = clock.next_poll(now)
        open_calls = [one for one in open_calls if one not in given_up]
        open_calls += [number] if number is not None else []
        assert len(open_calls) <= polling.MAX_PENDING_POLLS
        assert set(open_calls) == {*clock.pending, *([clock.active] if clock.active else [])}
        if clock.active is None:
            assert clock.next_deadline() <= now + polling.MAX_BACKOFF_US
        else:
            assert clock.next_deadline() is None
            assert number is None
            assert not clock.pending


def test_a_long_watch_is_replaced_at_once():
    clock = PollSchedule(500 * MS)
    number, _ = clock.next_poll(0)
    clock.response_received(number)
    clock.poll_ended(number, 10 * SECOND)
    assert clock.next_poll(10 * SECOND)[0] is not None


def test_short_watches_are_replaced_with_backoff():
    clock, now, apart = PollSchedule(250 * MS), 0, []
    for _ in range(7):
        began = now
        number, _ = clock.next_poll(now)
        clock.response_received(number)
        clock.poll_ended(number, now)
        now = clock.next_deadline()
        apart.append((now - began) // MS)
    assert apart == [250, 500, 1_000, 1_600, 1_600, 1_600, 1_600]
