"""Counts of a gateway's answers by class and plan, for the canary analysis."""

from __future__ import annotations

from collections import deque

from orchidlane.gateway.forwarding.client_response import ClientResponse
from orchidlane.gateway.forwarding.openapi_call import operation_call
from orchidlane.gateway.forwarding.pending_request import PendingRequest
from orchidlane.rollout.canary_analysis import MAX_STRATA, ResponseCounts

LOAD_WINDOW_US = 2_000_000
LOAD_SAMPLES = 8  # in the window
MICROSECONDS = 1_000_000  # in a second


class AnswerTally:
    """Counts since the process started."""

    def __init__(self) -> None:
        self._counts: dict[str, list[int]] = {}  # by stratum, in the order of ResponseCounts
        self.answers = 0
        self._load_samples: deque[tuple[int, int]] = deque(maxlen=LOAD_SAMPLES)  # time, answers

    def record(self, exchange: PendingRequest, answer: ClientResponse, duration_us: int, now: int) -> None:
        """Count a final answer, so many microseconds after the request's first byte."""
        call = operation_call(exchange)
        stratum = f"{call.match.operation.class_name} {call.owner.plan_name}"
        counts = self._counts.get(stratum)
        if counts is None:
            if len(self._counts) >= MAX_STRATA:
                return
            counts = self._counts[stratum] = [0] * len(ResponseCounts.__struct_fields__)
        self.answers += 1
        added = (
            1,
            answer.kind == "refused",
            answer.kind == "failed" or (answer.kind == "served" and answer.status >= 500),
            now > exchange.deadline,
            duration_us > call.request_class.latency_objective_us,
            max(0, exchange.attempts - 1),
        )
        for place, value in enumerate(added):
            counts[place] += value

    def counts(self) -> dict[str, ResponseCounts]:
        """Return the counts by class and plan."""
        return {stratum: ResponseCounts(*counts) for stratum, counts in self._counts.items()}

    def answers_per_second(self, now: int) -> int:
        """Return the rate since the oldest sample, and take a sample when one is due."""
        if not self._load_samples or now - self._load_samples[-1][0] >= LOAD_WINDOW_US // LOAD_SAMPLES:
            self._load_samples.append((now, self.answers))
        since, answers = self._load_samples[0]
        return int((self.answers - answers) * MICROSECONDS / (now - since)) if now > since else 0
