"""What a gateway answered, by class and plan, for whoever compares it with others."""

from __future__ import annotations

from collections import deque

from orchidlane.gateway.forwarding.client_response import ClientResponse
from orchidlane.gateway.forwarding.openapi_call import operation_call
from orchidlane.gateway.forwarding.pending_request import PendingRequest
from orchidlane.rollout.canary_analysis import STRATA_MOST, Tally

SPAN = 2_000_000  # microseconds over which the load is measured
MARKS = 8  # in it


class Book:
    """Counts since the start."""

    def __init__(self) -> None:
        self._counts: dict[str, list[int]] = {}
        self.answers = 0
        self._marks: deque[tuple[int, int]] = deque(maxlen=MARKS)

    def note(self, exchange: PendingRequest, answer: ClientResponse, span: int, now: int) -> None:
        """One final answer, so many microseconds after the request's first byte."""
        call = operation_call(exchange)
        name = f"{call.match.operation.class_name} {call.owner.plan_name}"
        counts = self._counts.get(name)
        if counts is None:
            if len(self._counts) >= STRATA_MOST:
                return
            counts = self._counts[name] = [0] * len(Tally.__struct_fields__)
        self.answers += 1
        found = (
            1,
            answer.kind == "refused",
            answer.kind == "failed" or (answer.kind == "served" and answer.status >= 500),
            now > exchange.deadline,
            span > call.request_class.latency_objective_us,
            max(0, exchange.attempts - 1),
        )
        for place, one in enumerate(found):
            counts[place] += one

    def tallies(self) -> dict[str, Tally]:
        """By class and plan."""
        return {name: Tally(*counts) for name, counts in self._counts.items()}

    def load(self, now: int) -> int:
        """Answers a second of late, for the batches; asked for every so often."""
        if not self._marks or now - self._marks[-1][0] >= SPAN // MARKS:
            self._marks.append((now, self.answers))
        began, answers = self._marks[0]
        return int((self.answers - answers) * 1_000_000 / (now - began)) if now > began else 0
