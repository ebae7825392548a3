"""The rules over the records of gateways: what each module was told and answered, all lives merged by time.

The laboratory's audit goes by the sockets of clients and nodes. This one goes by records alone, as an
operator has them of a real fleet, and so judges what a gateway can be held to by its own words: rules 1, 2, 3
and 5. Rule 4 needs the nodes' word. Where nodes kept records too, every arrival there is looked up among the
sends: one that no module decided on is ``undecided``. Memory goes with the requests under way and the
customers, plus a set of the attempts where nodes' records are compared.
"""

from __future__ import annotations

import contextlib
import heapq
from collections import Counter
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from typing import Any

from orchidlane import policy
from orchidlane.policy import (
    DeduplicationScope,
    EndpointListKind,
    EndpointState,
    Idempotency,
    Outcome,
)
from orchidlane.recording.reference_quota import TrueStore
from orchidlane.recording.replay import lives_of
from orchidlane.recording.segments import CutHead, Entry, Header, SegmentReader

NOT_RUN = (Outcome.ENDPOINT_FULL, Outcome.CONNECT_FAILED, Outcome.NOT_SENT)
STILL = 1_000_000  # microseconds without an entry: gossip's turns come more often, so the gateway stood still
KEPT = 20  # names told of each kind of fault


@dataclass(slots=True)
class _Open:
    """A request that is owed an answer, with its sends: when, server, whether it may have run."""

    event: policy.RequestArrived
    until: int
    sends: list[list[Any]] = field(default_factory=list)

    @property
    def may_have_run(self) -> list[list[Any]]:
        return [send for send in self.sends if send[2]]


@dataclass
class Findings:
    """Faults by kind, with the first few names of each; and what was looked at."""

    lives: int = 0
    events: int = 0
    requests: int = 0
    finals: int = 0
    open_at_end: int = 0  # what a life held when it ended: the client's to retry
    stood_still: int = 0  # late finals whose time was up while their gateway stood still
    faults: Counter[str] = field(default_factory=Counter)
    names: dict[str, list[str]] = field(default_factory=dict)
    ceiling_worst: float = 0.0  # overshoot over the slack: 1 is at the rule
    unread: list[str] = field(default_factory=list)
    arrivals: int = 0  # at nodes, found among the sends
    after_last: int = 0  # at nodes, after the last entry of their life: lost to the crash that ended it
    last: dict[str, int] = field(default_factory=dict)  # life -> time of its last entry

    def fault(self, kind: str, name: str) -> None:
        """One more of a kind."""
        self.faults[kind] += 1
        if len(kept := self.names.setdefault(kind, [])) < KEPT:
            kept.append(name)

    @property
    def rules(self) -> dict[str, bool]:
        """Which of the rules that records can tell of were held."""
        broken = {RULES[kind] for kind in self.faults}
        return {rule: rule not in broken for rule in ("1", "2", "3")} | {"5": self.ceiling_worst <= 1}


RULES = {
    "missing": "1",
    "doubled": "1",
    "late": "1",
    "sent again": "2",
    "refused but may have run": "2",
    "sent after drain": "3",
    "undecided": "2",
}


class _Life:
    """One life of one gateway, entry by entry."""

    def __init__(self, header: Header, found: Findings, sent: set[str] | None) -> None:
        self.header = header
        self.settings = header.module_settings()
        self.name = f"{header.gateway}-{int(header.about.get('incarnation', header.life)):x}"
        self.found = found
        self.sent = sent
        self.open: dict[int, _Open] = {}
        self.phases: dict[bytes, tuple[EndpointState, int]] = {}  # server -> phase, when first told of it
        self.places: dict[bytes, tuple[int, int]] = {}  # server -> zone, cell
        self.now = int(header.about.get("now", header.life))
        self.margin = int(header.about.get("client_margin", 0))  # of the client's time, kept for the way back
        self.still = (0, 0)  # the last time that it stood still: from, to
        self._begin()

    def _begin(self) -> None:
        """What the state at the head holds: a life may begin within a record."""
        for row in self.header.state.hosts:
            entry, listed = row[0], row[3]
            if listed:
                self._list_entry(
                    bytes(entry[0]), EndpointState(entry[1]), entry[2], entry[3], self.header.life
                )

    def _list_entry(self, server: bytes, phase: EndpointState, zone: int, cell: int, now: int) -> None:
        self.places[server] = zone, cell
        known = self.phases.get(server)
        if known is None or (known[0] is EndpointState.READY) != (phase is EndpointState.READY):
            self.phases[server] = phase, now

    def feed(self, entry: Entry) -> None:
        """One entry in its order."""
        event, now = entry.event, entry.now
        if now > self.now + STILL:
            self.still = self.now, now
        self.now = now
        if event is None:
            return
        self.found.events += 1
        if isinstance(event, policy.RequestArrived):
            self.found.requests += 1
            self.open[event.request] = _Open(event, now + event.time_left_us + self.margin)
        elif isinstance(event, policy.EndpointListReceived):
            self._listed(event, now)
        elif isinstance(event, policy.AttemptEnded):
            self._ended(event, now)
        elif isinstance(event, policy.ClientDisconnected):
            self.open.pop(event.request, None)
        for action in entry.actions:
            if isinstance(action, policy.SendAttempt):
                self._send(action, now)
            elif isinstance(action, policy.RejectRequest | policy.FailRequest) and not isinstance(
                event, policy.QuotaRequested
            ):
                self._final(action, now)

    def _listed(self, event: policy.EndpointListReceived, now: int) -> None:
        if event.kind is EndpointListKind.FAILED:
            return
        if event.kind is not EndpointListKind.DELTA:
            told = {entry.endpoint for entry in event.entries}
            for server in [one for one in self.phases if one not in told]:
                self._list_entry(server, EndpointState.GONE, *self.places[server], now)
        for entry in event.entries:
            self._list_entry(entry.endpoint, entry.state, entry.zone, entry.cell, now)

    def _ended(self, event: policy.AttemptEnded, now: int) -> None:
        request = self.open.get(event.request)
        if request is None:
            return
        if event.attempt < len(request.sends):
            request.sends[event.attempt][2] = event.outcome not in NOT_RUN
        if event.outcome is Outcome.SERVED and event.answered:
            self._answered(event.request, request, now)

    def _answered(self, number: int, request: _Open, now: int) -> None:
        self.found.finals += 1
        del self.open[number]
        if now > request.until:
            if self.still[0] <= request.until <= self.still[1]:
                self.found.stood_still += 1
            else:
                self.found.fault("late", f"{self.name}-{number}")

    def _final(self, action: policy.RejectRequest | policy.FailRequest, now: int) -> None:
        request = self.open.get(action.request)
        if request is None:
            self.found.fault("doubled", f"{self.name}-{action.request}")
            return
        if (
            isinstance(action, policy.RejectRequest)
            and request.may_have_run
            and not harmless(self._class(request))
        ):
            self.found.fault("refused but may have run", f"{self.name}-{action.request}")
        self._answered(action.request, request, now)

    def _class(self, request: _Open) -> policy.RequestClass:
        return self.settings.classes[request.event.request_class]

    def _send(self, action: policy.SendAttempt, now: int) -> None:
        request = self.open.get(action.request)
        name = f"{self.name}-{action.request}"
        if request is None:
            self.found.fault("doubled", name)
            return
        if not self._may_repeat(request, action, now):
            self.found.fault("sent again", name)
        phase, since = self.phases.get(action.endpoint, (EndpointState.GONE, 0))
        if phase is not EndpointState.READY and now > since + self.settings.drain_grace_us:
            self.found.fault("sent after drain", name)
        if self.sent is not None:
            self.sent.add(f"{name}-{len(request.sends)}")
        request.sends.append([now, action.endpoint, True])

    def _may_repeat(self, request: _Open, action: policy.SendAttempt, now: int) -> bool:
        cls, ran = self._class(request), request.may_have_run
        if not ran or cls.idempotency is Idempotency.IDEMPOTENT:
            return True
        if cls.idempotency is Idempotency.NOT_IDEMPOTENT or now > ran[0][0] + cls.deduplication_window_us:
            return False
        if cls.deduplication_scope is DeduplicationScope.ALL:
            return True
        place = 0 if cls.deduplication_scope is DeduplicationScope.ZONE else 1
        return all(
            self.places[send[1]][place] == self.places[action.endpoint][place]
            for send in ran
            if send[1] in self.places and action.endpoint in self.places
        )

    def end(self, now: int) -> None:
        """The life is over: what it still held is the client's, unless its time was up before."""
        self.found.last[self.name] = now
        for number, request in self.open.items():
            if request.until < now:
                self.found.fault("missing", f"{self.name}-{number}")
            else:
                self.found.open_at_end += 1


def harmless(cls: policy.RequestClass) -> bool:
    """Whether a repeat is, though the request may have run."""
    return cls.idempotency is Idempotency.IDEMPOTENT or (
        cls.idempotency is Idempotency.IDEMPOTENT_WITH_KEY
        and cls.deduplication_scope is DeduplicationScope.ALL
    )


class _Ceilings:
    """The ceilings of all customers over all gateways."""

    def __init__(self) -> None:
        self.stores: dict[int, TrueStore] = {}
        self.worst = 0.0

    def feed(self, life: _Life, entry: Entry) -> None:
        """Draw what an entry first sends on."""
        for action in entry.actions:
            if isinstance(action, policy.GrantQuota) and isinstance(entry.event, policy.QuotaRequested):
                self._draw(life, entry.event, entry.now)
            elif isinstance(action, policy.SendAttempt):
                request = life.open.get(action.request)
                if request is not None and len(request.sends) == 1:
                    self._draw(life, request.event, entry.now)

    def _draw(self, life: _Life, event: policy.RequestArrived | policy.QuotaRequested, now: int) -> None:
        plan = life.settings.plans[event.plan]
        if not plan.ceiling_rate:
            return
        store = self.stores.get(event.customer)
        if store is None:
            store = self.stores[event.customer] = TrueStore(plan.ceiling_rate, plan.ceiling_burst, now)
        self.worst = max(self.worst, store.force(now, event.units) / (plan.ceiling_slack or 1e-9))


def audit_records(paths: list[str], arrivals: Iterable[tuple[str, int]] | None = None) -> Findings:
    """The rules over the segments of all gateways; ``arrivals`` are the attempts that nodes saw, and when.

    Raises FormatError. Clocks of the machines are taken to agree.
    """
    found, ceilings = Findings(), _Ceilings()
    sent: set[str] | None = set() if arrivals is not None else None
    with contextlib.ExitStack() as stack:
        streams = [_stream(life, found, sent, stack) for life in lives_of(paths)]
        for _, life, entry in heapq.merge(*streams, key=lambda one: one[0]):
            life.feed(entry)
            ceilings.feed(life, entry)
    found.ceiling_worst = ceilings.worst
    for name, at in arrivals or ():
        assert sent is not None
        if name in sent:
            found.arrivals += 1
        elif at > found.last.get(name.rsplit("-", 2)[0], at):
            found.after_last += 1
        else:
            found.fault("undecided", name)
    return found


def _stream(
    paths: list[str], found: Findings, sent: set[str] | None, stack: contextlib.ExitStack
) -> Iterator[tuple[int, _Life, Entry]]:
    """The entries of one life in their order. A segment that can't be read ends it, and is told."""
    life: _Life | None = None
    now = 0
    for path in paths:
        try:
            reader = stack.enter_context(contextlib.closing(SegmentReader(path)))
        except CutHead as cut:
            found.unread.append(str(cut))
            break
        if life is None:
            life = _Life(reader.header, found, sent)
            found.lives += 1
        for entry in reader.entries():
            now = entry.now
            yield now, life, entry
        if reader.broken is not None:
            found.unread.append(str(reader.broken))
            break
    if life is not None:
        life.end(now)
