"""Counts of a gateway's final responses by request class and plan, for the canary analysis."""

from __future__ import annotations

from collections import deque

from orchidlane.gateway.forwarding.client_response import ClientResponse
from orchidlane.gateway.forwarding.openapi_call import operation_call
from orchidlane.gateway.forwarding.pending_request import PendingRequest
from orchidlane.rollout.canary_analysis import MAX_STRATA, ResponseCounts

LOAD_WINDOW_US = 2_000_000
MAX_LOAD_SAMPLES = 8  # in the window
MICROSECONDS_PER_SECOND = 1_000_000


class ResponseTally:
    """Response counts since the process started."""

    def __init__(self) -> None:
        self._counts: dict[str, list[int]] = {}  # by class and plan; fields as in ResponseCounts
        self.response_count = 0
        self._load_samples: deque[tuple[int, int]] = deque(maxlen=MAX_LOAD_SAMPLES)  # time, response count

    def record(self, pending: PendingRequest, response: ClientResponse, duration_us: int, now: int) -> None:
        """Count a final response; ``duration_us`` is measured from the first byte of the request."""
        call = operation_call(pending)
        stratum = f"{call.match.operation.class_name} {call.owner.plan_name}"
        counts = self._counts.get(stratum)
        if counts is None:
            if len(self._counts) >= MAX_STRATA:
                return
            counts = self._counts[stratum] = [0] * len(ResponseCounts.__struct_fields__)
        self.response_count += 1
        increments = (
            1,
            response.kind == "refused",
            response.kind == "failed" or (response.kind == "served" and response.status >= 500),
            now > pending.deadline,
            duration_us > call.request_class.latency_objective_us,
            max(0, pending.attempts - 1),
        )
        for index, value in enumerate(increments):
            counts[index] += value

    def counts(self) -> dict[str, ResponseCounts]:
        """Return the counts by stratum, which is a request class and a plan."""
        return {stratum: ResponseCounts(*counts) for stratum, counts in self._counts.items()}

    def responses_per_second(self, now: int) -> int:
        """Return responses per second since the oldest sample; take a new sample if one is due."""
        if not self._load_samples or now - self._load_samples[-1][0] >= LOAD_WINDOW_US // MAX_LOAD_SAMPLES:
            self._load_samples.append((now, self.response_count))
        since, earlier = self._load_samples[0]
        return (
            int((self.response_count - earlier) * MICROSECONDS_PER_SECOND / (now - since))
            if now > since
            else 0
        )
