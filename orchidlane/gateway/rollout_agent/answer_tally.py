"""What a gateway answered, by class and plan, for whoever compares it with others."""

from __future__ import annotations

from collections import deque

from orchidlane.gateway.forwarding.openapi_adapter import call_of
from orchidlane.gateway.forwarding.pending_request import Answer, Exchange
from orchidlane.rollout.canary_analysis import MAX_STRATA, AnswerCounts

LOAD_WINDOW_US = 2_000_000  # microseconds over which the load is measured
LOAD_SAMPLES = 8  # in it


class AnswerTally:
    """Counts since the start."""

    def __init__(self) -> None:
        self._counts: dict[str, list[int]] = {}
        self.answers = 0
        self._load_samples: deque[tuple[int, int]] = deque(maxlen=LOAD_SAMPLES)

    def record(self, exchange: Exchange, answer: Answer, duration_us: int, now: int) -> None:
        """One final answer, so many microseconds after the request's first byte."""
        call = call_of(exchange)
        name = f"{call.match.operation.class_name} {call.by.plan_name}"
        counts = self._counts.get(name)
        if counts is None:
            if len(self._counts) >= MAX_STRATA:
                return
            counts = self._counts[name] = [0] * len(AnswerCounts.__struct_fields__)
        self.answers += 1
        found = (
            1,
            answer.kind == "refused",
            answer.kind == "failed" or (answer.kind == "served" and answer.status >= 500),
            now > exchange.until,
            duration_us > call.cls.latency_objective_us,
            max(0, exchange.sends - 1),
        )
        for place, one in enumerate(found):
            counts[place] += one

    def counts(self) -> dict[str, AnswerCounts]:
        """By class and plan."""
        return {name: AnswerCounts(*counts) for name, counts in self._counts.items()}

    def answers_per_second(self, now: int) -> int:
        """Answers a second of late, for the batches; asked for every so often."""
        if not self._load_samples or now - self._load_samples[-1][0] >= LOAD_WINDOW_US // LOAD_SAMPLES:
            self._load_samples.append((now, self.answers))
        began, answers = self._load_samples[0]
        return int((self.answers - answers) * 1_000_000 / (now - began)) if now > began else 0
