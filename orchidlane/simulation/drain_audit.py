"""Rule 3: no attempt reaches an endpoint after the drain grace, counted from the notice to its gateway."""

from __future__ import annotations

from bisect import bisect_right
from collections import defaultdict
from typing import NamedTuple

from orchidlane.simulation.audit_limits import AuditLimits
from orchidlane.simulation.observations import Arrival, EndpointNotice, Record
from orchidlane.simulation.outages import Outages

READY = "ready"
AFTER_ALL_STATES = "~"  # sorts after the name of each endpoint state


class Notice(NamedTuple):
    """When a gateway was notified of a state of an endpoint."""

    at: int
    state: str


def find_sent_after_drain(
    arrivals: list[Arrival], records: list[Record], outages: Outages, limits: AuditLimits
) -> list[str]:
    """Return the names of the attempts that arrived after the drain grace."""
    notices = _notices_by_watch(records)
    late = []
    for arrival in arrivals:
        watched_since = outages.last_start(arrival.gateway, arrival.at) - limits.response_slack_us
        watched = notices.get((arrival.gateway, arrival.endpoint), [])
        notified_at = _drain_notified_at(
            [notice for notice in watched if notice.at >= watched_since], arrival.at
        )
        if notified_at is None:
            continue
        aware_at = outages.next_running(arrival.gateway, notified_at)
        sent_by = _earliest_arrival(arrival, outages, limits.arrival_slack_us)
        if sent_by > aware_at + limits.drain_grace_us + limits.arrival_slack_us:
            late.append(arrival.attempt)
    return late


def _notices_by_watch(records: list[Record]) -> dict[tuple[str, str], list[Notice]]:
    """Return the notices in the order of time, by gateway and endpoint."""
    notices: dict[tuple[str, str], list[Notice]] = defaultdict(list)
    for record in records:
        if isinstance(record, EndpointNotice):
            notices[record.gateway, record.endpoint].append(Notice(record.at, record.state))
    for watched in notices.values():
        watched.sort()
    return notices


def _drain_notified_at(notices: list[Notice], at: int) -> int | None:
    """Return when the gateway was notified that the endpoint is not ready; None if it is ready at ``at``."""
    latest = bisect_right(notices, Notice(at, AFTER_ALL_STATES)) - 1
    if latest < 0 or notices[latest].state == READY:
        return None
    while latest and notices[latest - 1].state != READY:
        latest -= 1  # draining, then gone: the grace counts from the first notice
    return notices[latest].at


def _earliest_arrival(arrival: Arrival, outages: Outages, slack_us: int) -> int:
    """Return the earliest time at which an attempt may have arrived: a suspended endpoint reads it later."""
    recent_outages = outages.overlapping(arrival.endpoint, arrival.at - slack_us, arrival.at)
    return min((outage.began_at for outage in recent_outages), default=arrival.at)
