"""Connection reuse: which idle connections are used for another request."""

from harness.constants import MS, SECOND

from orchidlane.gateway.forwarding.connection_reuse import HALF_LIFE_US, ReuseStatistics


def feed(reuse: ReuseStatistics, idle: int | None, number: int, lost: int, now: int = 0) -> None:
    """Record requests on connections that were idle for a time, the first ones as lost."""
    for index in range(number):
        reuse.record(idle, index < lost, now)


def test_an_idle_class_that_loses_requests_is_not_reused_and_shorter_ones_are():
    reuse = ReuseStatistics(0)
    feed(reuse, 2 * SECOND, 30, 3)
    feed(reuse, 5 * MS, 300, 0)
    assert not reuse.may_reuse(2 * SECOND, False, 0)
    assert reuse.may_reuse(5 * MS, True, 0)


def test_losses_of_new_connections_are_not_counted_against_reused_ones():
    reuse = ReuseStatistics(0)
    feed(reuse, 5 * MS, 200, 10)
    assert not reuse.may_reuse(5 * MS, False, 0)
    feed(reuse, None, 200, 9)
    assert reuse.may_reuse(5 * MS, False, 0)


def test_fewer_losses_are_tolerated_before_non_idempotent_requests():
    reuse = ReuseStatistics(0)
    feed(reuse, 5 * MS, 100, 1)
    assert reuse.may_reuse(5 * MS, False, 0)
    assert not reuse.may_reuse(5 * MS, True, 0)


def test_an_idle_class_is_reused_after_its_losses_have_decayed():
    reuse = ReuseStatistics(0)
    feed(reuse, SECOND, 5, 1)
    assert not reuse.may_reuse(SECOND, False, 0)
    assert reuse.may_reuse(SECOND, False, 4 * HALF_LIFE_US)
    assert reuse.may_reuse(SECOND, True, 10**15)
