"""Figures of a gateway, read from its metrics page, and their rates between two readings."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from orchidlane import http1
from orchidlane.runtime import DeadlineExceededError, EventLoop, EventLoopError
from orchidlane.runtime.backend import Address

MICROSECONDS_PER_SECOND = 1e6
MIN_RATE_SPAN_SECONDS = 1e-3


class Figure(Enum):
    """One figure; the value is its key in JSON output."""

    SERVED = "served"
    REJECTED = "refused"
    FAILED = "failed"
    FORWARDED = "sent"
    NOT_SERVED_ATTEMPTS = "bad"
    OPEN_REQUESTS = "open"
    PEER_DATAGRAMS = "peers"
    ENDPOINTS = "nodes"
    LONGEST_TURN_MS = "turn"


GAUGES = (Figure.OPEN_REQUESTS, Figure.ENDPOINTS, Figure.LONGEST_TURN_MS)
COUNTERS = tuple(figure for figure in Figure if figure not in GAUGES)
# The metric's label ``kind`` is the figure's JSON key.
RESPONSE_KINDS = (Figure.SERVED, Figure.REJECTED, Figure.FAILED)
GAUGE_SCALES = {  # by metric: the figure, and the factor to its unit
    "orchidlane_open_requests": (Figure.OPEN_REQUESTS, 1.0),
    "orchidlane_nodes": (Figure.ENDPOINTS, 1.0),
    "orchidlane_longest_turn_seconds": (Figure.LONGEST_TURN_MS, 1e3),
}

Figures = dict[Figure, float]


@dataclass(frozen=True, slots=True)
class Reading:
    """A gateway's figures at one moment of the reader's clock."""

    at_seconds: float
    figures: Figures


def read_figures(loop: EventLoop, admin: Address, timeout_us: int) -> Reading | None:
    """Return the figures of a gateway's metrics page, or None where it does not respond in time."""
    deadline = loop.now() + timeout_us
    try:
        stream = loop.backend.connect(admin, deadline)
        try:
            stream.send(http1.request_head("GET", b"/metrics", [(b"host", b"admin")]), deadline)
            response = b""
            while data := stream.recv(deadline=deadline):
                response += data
        finally:
            stream.close()
    except (EventLoopError, DeadlineExceededError):
        return None
    figures = parse_figures(response.decode("utf-8", "replace"))
    return Reading(loop.now() / MICROSECONDS_PER_SECOND, figures)


def parse_figures(page: str) -> Figures:
    """Return the figures of a page in the Prometheus text format."""
    figures = dict.fromkeys(Figure, 0.0)
    for line in page.splitlines():
        metric, _, value = line.rpartition(" ")
        _add_metric(figures, metric, value)
    return figures


def _add_metric(figures: Figures, metric: str, value: str) -> None:
    """Add one metric, named with its labels, to the figures that count it."""
    if metric.startswith("orchidlane_answers_total"):
        for kind in RESPONSE_KINDS:
            if f'kind="{kind.value}"' in metric:
                figures[kind] += float(value)
    elif metric.startswith("orchidlane_attempts_total"):
        figures[Figure.FORWARDED] += float(value)
        figures[Figure.NOT_SERVED_ATTEMPTS] += float(value) * ('"served"' not in metric)
    elif metric.startswith("orchidlane_datagrams_total"):
        figures[Figure.PEER_DATAGRAMS] += float(value)
    elif metric in GAUGE_SCALES:
        figure, scale = GAUGE_SCALES[metric]
        figures[figure] = float(value) * scale


def rates_between(before: Reading | None, now: Reading) -> Figures:
    """Return the counters' rates per second since the previous reading, and the gauges as they are.

    The rates are 0 without a previous reading, or where the gateway was restarted in between.
    """
    if before is None:
        return {figure: now.figures[figure] if figure in GAUGES else 0.0 for figure in Figure}
    span_seconds = max(MIN_RATE_SPAN_SECONDS, now.at_seconds - before.at_seconds)
    rates = {figure: (now.figures[figure] - before.figures[figure]) / span_seconds for figure in COUNTERS}
    if any(rate < 0 for rate in rates.values()):
        rates = dict.fromkeys(rates, 0.0)
    return rates | {figure: now.figures[figure] for figure in GAUGES}
