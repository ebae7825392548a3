"""The same events through the module of this build: the same actions or the first difference; what-if."""

from __future__ import annotations

import heapq
import statistics
from collections import Counter, defaultdict
from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import Any

from orchidlane import policy
from orchidlane.policy import Outcome
from orchidlane.policy.gateway import Gateway
from orchidlane.recording.segments import CutHead, Entry, Header, SegmentReader, frames_behind
from orchidlane.recording.state_dump import Dump, restore

TOOK_USUAL = 50_000  # microseconds: an answer time where the record has none of the class


@dataclass(frozen=True)
class Difference:
    """The first place where this build acts otherwise than was recorded."""

    segment: str
    place: int
    now: int
    event: policy.Event
    recorded: list[policy.Action]
    acted: list[policy.Action]

    def lines(self) -> list[str]:
        """What a person needs to see."""
        return [
            f"{self.segment}: byte {self.place}, clock {self.now}",
            f"  event     {self.event}",
            *(f"  recorded  {action}" for action in list(map(str, self.recorded)) or ["nothing"]),
            *(f"  acted     {action}" for action in list(map(str, self.acted)) or ["nothing"]),
        ]


@dataclass(frozen=True)
class Unchecked:
    """A part of a record that was not checked; ``torn``: the tail that a killed gateway was writing."""

    why: str
    events: int  # whole entries that lie there
    torn: bool


@dataclass
class Replay:
    """What a replay of one life found."""

    segments: int = 0
    events: int = 0
    difference: Difference | None = None
    unchecked: list[Unchecked] = field(default_factory=list)

    @property
    def whole(self) -> bool:
        """Whether all that a crash may leave was checked."""
        return all(one.torn for one in self.unchecked)


def replay(paths: list[str]) -> Replay:
    """Replay the segments of one life in order, up to the first difference. Raises FormatError.

    A segment that goes on where the last one ended is checked against the module as it stands; one with a gap
    before it against the state at its own head.
    """
    found, gateway, number = Replay(), None, -1
    for path in paths:
        try:
            reader = SegmentReader(path)
        except CutHead as cut:
            found.unchecked.append(Unchecked(str(cut), 0, torn=path == paths[-1]))
            gateway = None
            continue
        try:
            header = reader.header
            if gateway is None or header.number != number + 1:
                gateway = _at_head(reader, found, last=path == paths[-1])
            number = header.number
            if gateway is None:
                continue
            found.segments += 1
            found.difference = _replay_segment(reader, gateway, found)
        finally:
            reader.close()
        if found.difference is not None:
            break
        if reader.broken is not None:
            gateway = None
            behind = frames_behind(path, reader.broken.place)
            torn = reader.broken.cut and not behind and path == paths[-1]
            found.unchecked.append(Unchecked(str(reader.broken), behind, torn))
    return found


def _at_head(reader: SegmentReader, found: Replay, last: bool) -> Gateway | None:
    """The module as it was at a segment's head; None where its state was not written to its end."""
    try:
        state = reader.state()
    except CutHead as cut:
        events = sum(entry.event is not None for entry in reader)
        found.unchecked.append(Unchecked(str(cut), events, torn=last))
        return None
    return restore(reader.header.module_settings(), state)


def lives_of(paths: list[str]) -> list[list[str]]:
    """The segments of each life of each gateway, in their order."""
    lives: dict[str, list[str]] = {}
    for path in paths:
        lives.setdefault(path.rpartition("-")[0], []).append(path)
    return list(lives.values())


def _replay_segment(reader: SegmentReader, gateway: Gateway, found: Replay) -> Difference | None:
    for entry in reader:
        if entry.event is None:
            continue
        acted = gateway.handle(entry.now, entry.event)
        found.events += 1
        if acted != entry.actions:
            return Difference(reader.path, entry.place, entry.now, entry.event, entry.actions, acted)
    return None


@dataclass
class WhatIf:
    """How requests fared as recorded and as they would: (class, plan) -> admitted, refused."""

    recorded: dict[tuple[str, str], list[int]]
    instead: dict[tuple[str, str], list[int]]
    turned: int = 0  # requests whose first decision differs


def what_if(paths: list[str], settings: policy.Settings | None = None, plans: tuple[str, ...] = ()) -> WhatIf:
    """One life's requests under other settings.

    What came from outside stays: arrivals, clients' leaving, lists, peers' messages, and the outcome of
    each attempt that the record knows. Timers are the module's own. An attempt that the record does not
    know is taken to be served in the usual time of its class.
    """
    header, state, entries = _one_life(paths)
    before = header.module_settings()
    world = _Otherwise(state, settings or before, entries)
    world.run()
    names = plans or header.plan_names
    recorded: dict[tuple[str, str], list[int]] = {}
    instead: dict[tuple[str, str], list[int]] = {}
    turned = 0
    for request, event in world.arrivals.items():
        key = _name(header.class_names, event.request_class), _name(names, event.plan)
        then, now = request in world.recorded_sent, request in world.sent
        recorded.setdefault(key, [0, 0])[not then] += 1
        instead.setdefault(key, [0, 0])[not now] += 1
        turned += then != now
    return WhatIf(recorded, instead, turned)


def _name(names: tuple[str, ...], place: int) -> str:
    return names[place] if place < len(names) else str(place)


def _one_life(paths: list[str]) -> tuple[Header, Dump, list[Entry]]:
    """The first life of a record with its state and its entries that are events."""
    first: Header | None = None
    state: Dump | None = None
    entries: list[Entry] = []
    for path in paths:
        reader = SegmentReader(path)
        try:
            if first is None:
                first, state = reader.header, reader.state()
            if reader.header.life != first.life:
                break
            entries += [entry for entry in reader if entry.event is not None]
        finally:
            reader.close()
    assert first is not None and state is not None
    return first, state, entries


class _Otherwise:
    """Plays a record's outside against a module with other settings."""

    def __init__(self, state: Dump, settings: policy.Settings, entries: list[Entry]) -> None:
        self.gateway = restore(settings, state)
        self.entries = entries
        self.arrivals: dict[int, policy.RequestArrived | policy.QuotaRequested] = {}
        self.recorded_sent: set[int] = set()
        self.sent: set[int] = set()
        self.outcomes: dict[tuple[int, int], tuple[policy.AttemptEnded, int]] = {}
        self.usual: dict[int, int] = {}
        self._due: list[tuple[int, int, policy.Event]] = []
        self._order = 0
        self._attempts: Counter[int] = Counter()
        self._read()

    def _read(self) -> None:
        """What the record knows: arrivals, which were sent on, and how each attempt ended."""
        took: dict[int, list[int]] = defaultdict(list)
        began: dict[tuple[int, int], int] = {}
        tries: Counter[int] = Counter()
        for entry in self.entries:
            event = entry.event
            if isinstance(event, policy.RequestArrived | policy.QuotaRequested):
                self.arrivals[event.request] = event
            elif isinstance(event, policy.AttemptEnded):
                span = entry.now - began.get((event.request, event.attempt), entry.now - event.duration_us)
                self.outcomes[event.request, event.attempt] = event, span
                if event.outcome is Outcome.SERVED and event.request in self.arrivals:
                    took[self.arrivals[event.request].request_class].append(event.duration_us)
            for action in entry.actions:
                if isinstance(action, policy.SendAttempt):
                    self.recorded_sent.add(action.request)
                    began[action.request, tries[action.request]] = entry.now
                    tries[action.request] += 1
                elif isinstance(action, policy.GrantQuota):
                    self.recorded_sent.add(action.request)
        self.usual = {kind: int(statistics.median(spans)) for kind, spans in took.items()}

    def run(self) -> None:
        """All that came from outside, and what follows from the module's own actions, in order of time."""
        for now, event in self._outside():
            while self._due and self._due[0][0] <= now:
                due, _, inner = heapq.heappop(self._due)
                self._tell(due, inner)
            self._tell(now, event)

    def _outside(self) -> Iterator[tuple[int, policy.Event]]:
        own = (policy.TimerFired, policy.AttemptEnded)
        for entry in self.entries:
            if entry.event is not None and not isinstance(entry.event, own):
                yield entry.now, entry.event

    def _tell(self, now: int, event: policy.Event) -> None:
        for action in self.gateway.handle(now, event):
            if isinstance(action, policy.SendAttempt):
                self.sent.add(action.request)
                self._later(*self._outcome(now, action))
            elif isinstance(action, policy.GrantQuota):
                self.sent.add(action.request)
            elif isinstance(action, policy.SetTimer):
                self._later(now + action.delay_us, policy.TimerFired(action.token))

    def _later(self, when: int, event: policy.Event) -> None:
        self._order += 1
        heapq.heappush(self._due, (when, self._order, event))

    def _outcome(self, now: int, send: policy.SendAttempt) -> tuple[int, policy.Event]:
        number = self._attempts[send.request]
        self._attempts[send.request] += 1
        known = self.outcomes.get((send.request, number))
        if known is not None:
            event, span = known
            values: dict[str, Any] = {
                "outcome": event.outcome,
                "duration_us": event.duration_us,
                "answered": event.answered,
            }
            return now + span, _ended(send, number, event.load_report, **values)
        arrival = self.arrivals.get(send.request)
        span = self.usual.get(arrival.request_class, TOOK_USUAL) if arrival else TOOK_USUAL
        return now + span, _ended(send, number, (), outcome=Outcome.SERVED, duration_us=span, answered=True)


def _ended(
    send: policy.SendAttempt, number: int, report: tuple[float, ...], **values: Any
) -> policy.AttemptEnded:
    return policy.AttemptEnded(
        request=send.request,
        attempt=number,
        endpoint=send.endpoint,
        use=0,
        true_units=0.0,
        load_report=report,
        **values,
    )
