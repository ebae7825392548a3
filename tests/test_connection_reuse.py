"""Connection reuse: which idle connections may carry another request."""

from harness.constants import MS, SECOND

from orchidlane.gateway.forwarding.connection_reuse import HALF_LIFE_US, ReuseStatistics


def record_requests(
    statistics: ReuseStatistics, idle_us: int | None, request_count: int, lost_count: int, now: int = 0
) -> None:
    """Record requests over connections that were idle for ``idle_us``, the first ``lost_count`` as lost."""
    for index in range(request_count):
        statistics.record(idle_us, index < lost_count, now)


def test_a_lossy_idle_class_is_not_reused_and_a_shorter_one_is():
    statistics = ReuseStatistics(0)
    record_requests(statistics, 2 * SECOND, 30, 3)
    record_requests(statistics, 5 * MS, 300, 0)
    assert not statistics.may_reuse(2 * SECOND, False, 0)
    assert statistics.may_reuse(5 * MS, True, 0)


def test_losses_of_new_connections_are_not_counted_against_reused_ones():
    statistics = ReuseStatistics(0)
    record_requests(statistics, 5 * MS, 200, 10)
    assert not statistics.may_reuse(5 * MS, False, 0)
    record_requests(statistics, None, 200, 9)
    assert statistics.may_reuse(5 * MS, False, 0)


def test_fewer_losses_are_tolerated_before_non_idempotent_requests():
    statistics = ReuseStatistics(0)
    record_requests(statistics, 5 * MS, 100, 1)
    assert statistics.may_reuse(5 * MS, False, 0)
    assert not statistics.may_reuse(5 * MS, True, 0)


def test_an_idle_class_is_reused_after_its_losses_have_decayed():
    statistics = ReuseStatistics(0)
    record_requests(statistics, SECOND, 5, 1)
    assert not statistics.may_reuse(SECOND, False, 0)
    assert statistics.may_reuse(SECOND, False, 4 * HALF_LIFE_US)
    assert statistics.may_reuse(SECOND, True, 10**15)
