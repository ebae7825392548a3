"""Settings and shorthands for the tests: all figures here are made up."""

from __future__ import annotations

import dataclasses

import pytest
from harness.known_red import (  # noqa: F401  hooks of the tests that are known to fail
    mark,
    pytest_collection_finish,
    pytest_configure,
    pytest_sessionfinish,
    pytest_terminal_summary,
    pytest_xdist_node_collection_finished,
)

from orchidlane import policy
from orchidlane.policy.gateway import Gateway

SECOND = 1_000_000
WHOLE_MACHINE = (
    "cli",
    "day",
    "loop",
    "record",
    "resp",
    "tools",
    "upgrade_real",
    "wire",
)  # real sockets, all cores


EACH_BY_ITSELF = ("change_model", "fleet")  # long, and they share nothing
# Each starts up to ten processes: two at a time take each other's cores, and a leader that is held up is
# replaced
PROCESSES = ("change_processes", "platform_processes")


def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    """Tests that need real time or all cores follow each other; one file's others stay together."""
    mark(config, items)
    for item in items:
        name = item.path.stem.removeprefix("test_")
        if name in EACH_BY_ITSELF:
            continue
        group = "machine" if name in WHOLE_MACHINE else "processes" if name in PROCESSES else name
        item.add_marker(pytest.mark.xdist_group(group))


T0 = 1_000 * SECOND  # a clock time well after any start

SAFE = policy.RequestClass(
    500_000, 2 * SECOND, 1.0, 0.0, policy.Idempotency.IDEMPOTENT, policy.DeduplicationScope.ALL, 0
)
KEYED_CELL = policy.RequestClass(
    500_000,
    4 * SECOND,
    1.0,
    0.0,
    policy.Idempotency.IDEMPOTENT_WITH_KEY,
    policy.DeduplicationScope.CELL,
    SECOND,
)
UNSAFE = policy.RequestClass(
    500_000, 2 * SECOND, 1.0, 0.0, policy.Idempotency.NOT_IDEMPOTENT, policy.DeduplicationScope.ALL, 0
)
KEYED_ALL = dataclasses.replace(KEYED_CELL, deduplication_scope=policy.DeduplicationScope.ALL)
KEYED_ZONE = dataclasses.replace(KEYED_CELL, deduplication_scope=policy.DeduplicationScope.ZONE)
PLAIN = policy.Plan(2.0, 10.0, 0, 1.0, 0.0, 1.0, 0.0, 0.0, 0.0)
CAPPED = policy.Plan(2.0, 10.0, 2, 1.0, 0.0, 1.0, 0.0, 0.0, 0.0)
CEILED = policy.Plan(4.0, 8.0, 0, 1.0, 0.0, 1.0, 8.0, 16.0, 2.0)
IDLE_EARNS = policy.Plan(2.0, 10.0, 0, 1.0, 0.5, 0.0, 0.0, 0.0, 0.0)

SETTINGS = policy.Settings(
    replica=0,
    replica_count=3,
    zone=0,
    classes=(SAFE, KEYED_CELL, UNSAFE, KEYED_ALL, KEYED_ZONE),
    plans=(PLAIN, CAPPED, CEILED, IDLE_EARNS),
    may_gossip=True,
    may_check_health=True,
    may_cancel=True,
    may_hedge=True,
    max_attempts=4,
    max_retry_after_us=SECOND,
    peer_messages_per_second=50.0,
    peer_charge=0.01,
    health_check_charge=0.01,
    waste_charge=0.03,
    cross_zone_charge=0.0,
    has_shared_counter=False,
    polls_endpoint_list=False,
    poll_timeout_us=10 * SECOND,
    load_report_source=policy.LoadReportSource.NONE,
    load_report_names=(),
    slow_start_initial_share=0.25,
    slow_start_duration_us=10 * SECOND,
    overload_multiple=2.0,
    overload_duration_us=2 * SECOND,
    drain_grace_us=SECOND // 2,
)


def entry(number: int, phase=policy.EndpointState.READY, cell=0, zone=0, launched=0) -> policy.EndpointEntry:
    """A line of a server list."""
    return policy.EndpointEntry(bytes((10, 0, 0, number, 0, 80)), phase, zone, cell, launched, 1.0)


def listed(
    *entries: policy.EndpointEntry, kind=policy.EndpointListKind.COMPLETE
) -> policy.EndpointListReceived:
    """News of discovery."""
    return policy.EndpointListReceived(kind, 1, tuple(entries))


class Bench:
    """One gateway with a clock, its requests numbered from 1."""

    def __init__(self, servers=4, now=T0, seed=1, **changes) -> None:
        self.now = now
        self.settings = dataclasses.replace(SETTINGS, **changes)
        self.gateway = Gateway(self.settings, seed, now)
        self.log: list[policy.Action] = list(self.gateway.start())
        self.timers: list[tuple[int, int]] = []
        self._note(self.log)
        if servers:
            self.feed(listed(*(entry(i) for i in range(servers))))

    def _note(self, actions) -> None:
        for action in actions:
            if isinstance(action, policy.SetTimer):
                self.timers.append((self.now + action.delay_us, action.token))

    def feed(self, event: policy.Event) -> list[policy.Action]:
        """One event now; the actions that it led to."""
        actions = list(self.gateway.handle(self.now, event))
        self._note(actions)
        self.log += actions
        return actions

    def run(self, span: int) -> list[policy.Action]:
        """Let time pass and the timers fire."""
        end, done = self.now + span, []
        while due := [t for t in self.timers if t[0] <= end]:
            first = min(due)
            self.timers.remove(first)
            self.now = max(self.now, first[0])
            done += self.feed(policy.TimerFired(first[1]))
        self.now = end
        return done

    def ask(self, request: int, kind=0, customer=7, plan=0, units=1.0, left=2 * SECOND, first=0, size=3):
        """A client's request."""
        return self.feed(
            policy.RequestArrived(request, customer, plan, kind, units, left, first, size, False)
        )

    def outcome(
        self, request: int, server: bytes, outcome: policy.Outcome, attempt=0, took=50_000, answered=None
    ):
        """How an attempt ended."""
        if answered is None:
            answered = outcome is policy.Outcome.SERVED
        return self.feed(policy.AttemptEnded(request, attempt, server, outcome, took, answered, 0, 0.0, ()))


def of(actions, kind) -> list:
    """The actions of one kind."""
    return [a for a in actions if isinstance(a, kind)]


@pytest.fixture
def bench() -> Bench:
    """A gateway with four warm servers."""
    return Bench()
