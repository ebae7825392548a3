"""Counts of what the gateway does, in the form that Prometheus reads."""

from __future__ import annotations

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram, generate_latest

from .. import interface as api

SECONDS = (0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10)


class Metrics:
    """The registry of one gateway; children are bound once, so that counting is cheap."""

    def __init__(self) -> None:
        self.registry = CollectorRegistry()
        answers = Counter("orchidlane_answers", "Final answers", ["kind", "class"], registry=self.registry)
        self._answers = answers
        self._bound: dict[tuple[str, str], Counter] = {}
        self.seconds = Histogram(
            "orchidlane_answer_seconds", "First byte to answer", buckets=SECONDS, registry=self.registry
        )
        outcomes = Counter("orchidlane_attempts", "Attempts by outcome", ["outcome"], registry=self.registry)
        self._outcomes = {one: outcomes.labels(one.value.replace(" ", "_")) for one in api.Outcome}
        self.connections = Gauge("orchidlane_connections", "Clients' connections", registry=self.registry)
        self.open = Gauge("orchidlane_open_requests", "Requests under way", registry=self.registry)
        self.malformed = Counter("orchidlane_malformed", "Broken requests", registry=self.registry)
        self.peers = Counter("orchidlane_datagrams", "Datagrams", ["way"], registry=self.registry)
        self.told, self.heard = self.peers.labels("told"), self.peers.labels("heard")
        self.nodes = Gauge("orchidlane_nodes", "Nodes on the list", registry=self.registry)

    def answer(self, kind: str, class_name: str, span: int) -> None:
        """One final answer, so many microseconds after the request's first byte."""
        bound = self._bound.get((kind, class_name))
        if bound is None:
            bound = self._bound[kind, class_name] = self._answers.labels(kind, class_name)
        bound.inc()
        self.seconds.observe(span / 1_000_000)

    def outcome(self, outcome: api.Outcome) -> None:
        """One attempt ended."""
        self._outcomes[outcome].inc()

    def page(self) -> bytes:
        """All of it as text."""
        return generate_latest(self.registry)
