"""Simulates which requests of a record would have been admitted under other settings."""

from __future__ import annotations

import heapq
import statistics
from collections import Counter, defaultdict
from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import NamedTuple

from orchidlane import policy
from orchidlane.policy import Outcome
from orchidlane.recording.segment_reader import Entry, SegmentReader
from orchidlane.recording.segments import Header
from orchidlane.recording.state_dump import StateDump
from orchidlane.recording.state_restore import restore_gateway

DEFAULT_DURATION_US = 50_000  # of an attempt whose request class has no served attempt in the record
ClassAndPlan = tuple[str, str]
Arrival = policy.RequestArrived | policy.QuotaRequested


@dataclass
class WhatIfResult:
    """The recorded and the simulated counts of requests: [admitted, rejected] by class and plan."""

    recorded: dict[ClassAndPlan, list[int]] = field(default_factory=dict)
    simulated: dict[ClassAndPlan, list[int]] = field(default_factory=dict)
    changed_decisions: int = 0  # requests whose first decision differs

    def add(self, key: ClassAndPlan, admitted_as_recorded: bool, admitted_as_simulated: bool) -> None:
        """Count one request."""
        self.recorded.setdefault(key, [0, 0])[not admitted_as_recorded] += 1
        self.simulated.setdefault(key, [0, 0])[not admitted_as_simulated] += 1
        self.changed_decisions += admitted_as_recorded != admitted_as_simulated


class _RecordedTraffic(NamedTuple):
    """The first incarnation of a record; ``entries`` are those with events."""

    header: Header
    state: StateDump
    entries: list[Entry]


class _RecordedAttempt(NamedTuple):
    """How an attempt finished in the record, and how long after it was sent."""

    event: policy.AttemptFinished
    elapsed_us: int


def simulate_settings(
    paths: list[str], settings: policy.Settings | None = None, plans: tuple[str, ...] = ()
) -> WhatIfResult:
    """Simulate the requests of one incarnation under other settings. Raises FormatError.

    Events from outside are as recorded: arrivals, client disconnects, endpoint lists, peers' messages, and
    the outcome of each recorded attempt. Timers are set by the simulated policy. An attempt that is not in
    the record is assumed to be served in the median time of its class.
    """
    traffic = _read_first_incarnation(paths)
    simulation = _Simulation(traffic, settings or traffic.header.policy_settings())
    simulation.run()
    class_names = traffic.header.class_names
    plan_names = plans or traffic.header.plan_names
    result = WhatIfResult()
    for request, event in simulation.arrivals.items():
        key = _name(class_names, event.request_class), _name(plan_names, event.plan)
        result.add(key, request in simulation.recorded_admitted, request in simulation.admitted)
    return result


def _name(names: tuple[str, ...], position: int) -> str:
    return names[position] if position < len(names) else str(position)


def _read_first_incarnation(paths: list[str]) -> _RecordedTraffic:
    header: Header | None = None
    state: StateDump | None = None
    entries: list[Entry] = []
    for path in paths:
        with SegmentReader(path) as reader:
            if header is None:
                header = reader.header
                state = reader.read_state()
            if reader.header.started_at_us != header.started_at_us:
                break
            entries += [entry for entry in reader if entry.event is not None]
    assert header is not None
    assert state is not None
    return _RecordedTraffic(header, state, entries)


class _Simulation:
    """Feeds the events from outside in a record to a policy with other settings."""

    def __init__(self, traffic: _RecordedTraffic, settings: policy.Settings) -> None:
        self.arrivals: dict[int, Arrival] = {}
        self.recorded_admitted: set[int] = set()
        self.admitted: set[int] = set()
        self._gateway = restore_gateway(settings, traffic.state)
        self._entries = traffic.entries
        self._recorded_attempts: dict[tuple[int, int], _RecordedAttempt] = {}
        self._median_duration_us: dict[int, int] = {}  # by request class
        self._scheduled: list[tuple[int, int, policy.Event]] = []  # due time, order of scheduling, event
        self._schedule_count = 0
        self._attempt_counts: Counter[int] = Counter()
        self._read_record()

    def run(self) -> None:
        """Feed all events in order of time: those from outside, and those that the policy's actions cause."""
        for now, event in self._outside_events():
            while self._scheduled and self._scheduled[0][0] <= now:
                due_at_us, _, scheduled_event = heapq.heappop(self._scheduled)
                self._feed(due_at_us, scheduled_event)
            self._feed(now, event)

    def _read_record(self) -> None:
        """Collect arrivals, which of them were admitted, and how each attempt finished."""
        durations: dict[int, list[int]] = defaultdict(list)
        sent_at_us: dict[tuple[int, int], int] = {}
        attempt_counts: Counter[int] = Counter()
        for entry in self._entries:
            match entry.event:
                case policy.RequestArrived() | policy.QuotaRequested() as event:
                    self.arrivals[event.request] = event
                case policy.AttemptFinished() as event:
                    started_at_us = sent_at_us.get(
                        (event.request, event.attempt), entry.at_us - event.duration_us
                    )
                    attempt = _RecordedAttempt(event, entry.at_us - started_at_us)
                    self._recorded_attempts[event.request, event.attempt] = attempt
                    if event.outcome is Outcome.SERVED and event.request in self.arrivals:
                        durations[self.arrivals[event.request].request_class].append(event.duration_us)
            for action in entry.actions:
                match action:
                    case policy.SendAttempt():
                        self.recorded_admitted.add(action.request)
                        sent_at_us[action.request, attempt_counts[action.request]] = entry.at_us
                        attempt_counts[action.request] += 1
                    case policy.GrantQuota():
                        self.recorded_admitted.add(action.request)
        self._median_duration_us = {
            request_class: int(statistics.median(values)) for request_class, values in durations.items()
        }

    def _outside_events(self) -> Iterator[tuple[int, policy.Event]]:
        for entry in self._entries:
            match entry.event:
                case None | policy.TimerFired() | policy.AttemptFinished():
                    continue
                case event:
                    yield entry.at_us, event

    def _feed(self, now: int, event: policy.Event) -> None:
        for action in self._gateway.handle(now, event):
            match action:
                case policy.SendAttempt():
                    self.admitted.add(action.request)
                    self._schedule_outcome(now, action)
                case policy.GrantQuota():
                    self.admitted.add(action.request)
                case policy.SetTimer():
                    self._schedule(now + action.delay_us, policy.TimerFired(action.token))

    def _schedule(self, due_at_us: int, event: policy.Event) -> None:
        self._schedule_count += 1
        heapq.heappush(self._scheduled, (due_at_us, self._schedule_count, event))

    def _schedule_outcome(self, now: int, send: policy.SendAttempt) -> None:
        """Schedule the recorded outcome of an attempt, or a served outcome after the median time."""
        number = self._attempt_counts[send.request]
        self._attempt_counts[send.request] += 1
        recorded = self._recorded_attempts.get((send.request, number))
        if recorded is not None:
            event = recorded.event
            self._schedule(now + recorded.elapsed_us, _attempt_finished(send, number, event))
            return
        arrival = self.arrivals.get(send.request)
        duration_us = DEFAULT_DURATION_US
        if arrival is not None:
            duration_us = self._median_duration_us.get(arrival.request_class, DEFAULT_DURATION_US)
        self._schedule(now + duration_us, _attempt_served(send, number, duration_us))


def _attempt_finished(
    send: policy.SendAttempt, number: int, recorded: policy.AttemptFinished
) -> policy.AttemptFinished:
    return policy.AttemptFinished(
        request=send.request,
        attempt=number,
        endpoint=send.endpoint,
        outcome=recorded.outcome,
        duration_us=recorded.duration_us,
        final_response_sent=recorded.final_response_sent,
        reported_usage=0,
        true_units=0.0,
        load_report=recorded.load_report,
    )


def _attempt_served(send: policy.SendAttempt, number: int, duration_us: int) -> policy.AttemptFinished:
    return policy.AttemptFinished(
        request=send.request,
        attempt=number,
        endpoint=send.endpoint,
        outcome=Outcome.SERVED,
        duration_us=duration_us,
        final_response_sent=True,
        reported_usage=0,
        true_units=0.0,
        load_report=(),
    )
