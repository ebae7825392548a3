"""Codec of the binary wire: bytes to our events, our actions to bytes. It decides nothing."""

from __future__ import annotations

import json
import struct
from dataclasses import dataclass, field

from orchidlane import policy

HEADER = struct.Struct("<IIQ")
REPLY_HEADER = struct.Struct("<II")
EVENT_SIZE = 48
ACTION_SIZE = 24
ENTRY = struct.Struct("<fB6sBQBH")

_INIT = struct.Struct("<HQII")
_LIST = struct.Struct("<HII")
_LIST_NEWS = struct.Struct("<HBHQ")
_REQUEST = struct.Struct("<HIBHQIfffH")
_GATEWAY = struct.Struct("<H")
_PROBED = struct.Struct("<HIH6sB4f")
_CALL = struct.Struct("<HI")
_COUNTED = struct.Struct("<HfIHQ")
_PEER = struct.Struct("<HHII")
_STREAM = struct.Struct("<HIH6sI")
_TIMER = struct.Struct("<HQ")
_OUTCOME = struct.Struct("<HIH6sHIBHHB4f")

_SEND = struct.Struct("<BHI6sQ")
_CANCEL = struct.Struct("<BHIH")
_SERVER_ONLY = struct.Struct("<BH6s")
_BARE = struct.Struct("<BH")
_SET_TIMER = struct.Struct("<BHIQ")
_TEXT = struct.Struct("<BHII")
_FINAL = struct.Struct("<BHI")
_TELL = struct.Struct("<BHHII")
_WATCH = struct.Struct("<BHB")
_REFUSE = struct.Struct("<BHII")

BIT_REPEAT = 2

OUTCOMES = {
    100: policy.Outcome.SERVED,
    301: policy.Outcome.ERROR,
    302: policy.Outcome.ENDPOINT_FULL,
    303: policy.Outcome.TIMED_OUT,
    304: policy.Outcome.CONNECT_FAILED,
    305: policy.Outcome.CONNECTION_BROKEN,
    306: policy.Outcome.CANCELLED,
    307: policy.Outcome.NOT_SENT,
}
EFFECTS = {
    "repeatable": policy.Idempotency.IDEMPOTENT,
    "by_key": policy.Idempotency.IDEMPOTENT_WITH_KEY,
    "once": policy.Idempotency.NOT_IDEMPOTENT,
}
REPORTS = {
    "inline": policy.LoadReportSource.INLINE,
    "on_probe": policy.LoadReportSource.ON_HEALTH_CHECK,
    "off": policy.LoadReportSource.NONE,
}


class WireError(Exception):
    """What came in is not of this wire."""


@dataclass(frozen=True, slots=True)
class Start:
    """A gateway comes up."""

    settings: policy.Settings
    seed: int


@dataclass(frozen=True, slots=True)
class Stop:
    """A gateway is gone without warning."""


@dataclass(slots=True)
class Decoder:
    """Decodes frames; keeps the numbered server lists, which travel once for each process."""

    lists: dict[int, tuple[policy.EndpointEntry, ...]] = field(default_factory=dict)

    def frame(self, count: int, body: bytes) -> list[tuple[int, Start | Stop | policy.Event]]:
        """All events of one batch, each with its gateway's number."""
        if len(body) < count * EVENT_SIZE:
            raise WireError(f"frame of {len(body)} bytes is too short for {count} records")
        tail = body[count * EVENT_SIZE :]
        events = []
        for i in range(count):
            at = i * EVENT_SIZE
            code = body[at]
            reader = _READERS.get(code)
            if reader is None:
                raise WireError(f"unknown record code {code}")
            event = reader(self, body, at + 1, tail)
            if event is not None:
                events.append(event)
        return events


def _cut(tail: bytes, offset: int, length: int) -> bytes:
    if offset + length > len(tail):
        raise WireError(f"offset {offset} with length {length} lies outside a tail of {len(tail)} bytes")
    return tail[offset : offset + length]


def _outcome(code: int) -> policy.Outcome:
    try:
        return OUTCOMES[code]
    except KeyError:
        raise WireError(f"unknown outcome {code}") from None


def _init(_: Decoder, body: bytes, at: int, tail: bytes):
    gateway, seed, offset, length = _INIT.unpack_from(body, at)
    return gateway, Start(parse_settings(_cut(tail, offset, length)), seed)


def _roster(decoder: Decoder, body: bytes, at: int, tail: bytes) -> None:
    number, offset, count = _LIST.unpack_from(body, at)
    raw = _cut(tail, offset, count * ENTRY.size)
    entries = []
    for share, _kind, server, zone, launched, phase, cell in ENTRY.iter_unpack(raw):
        if phase > 2:
            raise WireError(f"unknown phase {phase}")
        entries.append(policy.EndpointEntry(server, policy.EndpointState(phase), zone, cell, launched, share))
    decoder.lists[number] = tuple(entries)


def _roster_change(decoder: Decoder, body: bytes, at: int, _: bytes):
    gateway, kind, number, version = _LIST_NEWS.unpack_from(body, at)
    if kind > 3:
        raise WireError(f"unknown kind of list {kind}")
    kind = policy.EndpointListKind(kind)
    if kind is policy.EndpointListKind.FAILED:
        return gateway, policy.EndpointListReceived(kind, version, ())
    if number not in decoder.lists:
        raise WireError(f"list {number} was never sent")
    return gateway, policy.EndpointListReceived(kind, version, decoder.lists[number])


def _order(_: Decoder, body: bytes, at: int, __: bytes):
    gateway, request, kind, plan, customer, left, units, size, first, bits = _REQUEST.unpack_from(body, at)
    return gateway, policy.RequestArrived(
        request, customer, plan, kind, units, left, int(first), int(size), bool(bits & BIT_REPEAT)
    )


def _teardown(_: Decoder, body: bytes, at: int, __: bytes):
    return _GATEWAY.unpack_from(body, at)[0], Stop()


def _probed(_: Decoder, body: bytes, at: int, __: bytes):
    gateway, took, reason, server, n, *values = _PROBED.unpack_from(body, at)
    return gateway, policy.HealthCheckEnded(server, _outcome(reason), took, tuple(values[:n]))


def _client_gone(_: Decoder, body: bytes, at: int, __: bytes):
    gateway, request = _CALL.unpack_from(body, at)
    return gateway, policy.ClientDisconnected(request)


def _counted(_: Decoder, body: bytes, at: int, __: bytes):
    gateway, value, took, reason, name = _COUNTED.unpack_from(body, at)
    return gateway, policy.CounterAnswered(name, _outcome(reason), value, took)


def _neighbour(_: Decoder, body: bytes, at: int, tail: bytes):
    gateway, sender, offset, length = _PEER.unpack_from(body, at)
    return gateway, policy.PeerMessageReceived(sender, _cut(tail, offset, length))


def _flowing(_: Decoder, body: bytes, at: int, __: bytes):
    gateway, request, attempt, server, took = _STREAM.unpack_from(body, at)
    return gateway, policy.ResponseStreamStarted(request, attempt, server, took)


def _bell(_: Decoder, body: bytes, at: int, __: bytes):
    gateway, token = _TIMER.unpack_from(body, at)
    return gateway, policy.TimerFired(token)


def _answer(_: Decoder, body: bytes, at: int, __: bytes):
    fields = _OUTCOME.unpack_from(body, at)
    gateway, request, attempt, server, reason, took, settled, use, cost, n, *values = fields
    return gateway, policy.AttemptEnded(
        request, attempt, server, _outcome(reason), took, bool(settled), use, float(cost), tuple(values[:n])
    )


_READERS = {
    1: _bell,
    2: _neighbour,
    3: _client_gone,
    4: _flowing,
    5: _order,
    6: _answer,
    7: _init,
    8: _teardown,
    9: _roster_change,
    10: _counted,
    11: _probed,
    12: _roster,
}


def parse_settings(raw: bytes) -> policy.Settings:
    """The settings text as our own type; unknown keys are passed over, missing ones named."""
    try:
        s = json.loads(raw)
    except ValueError:
        raise WireError("settings are not JSON") from None
    try:
        return _settings(s)
    except KeyError as missing:
        raise WireError(f"settings lack the key {missing.args[0]!r}") from None
    except (TypeError, ValueError, AttributeError) as wrong:
        raise WireError(f"settings have a value of the wrong kind: {wrong}") from None


def _settings(s: dict) -> policy.Settings:
    info, may, rules, charges, report = (
        s["familyInfo"],
        s["permissions"],
        s["rules"],
        s["charges"],
        s["loadReport"],
    )
    return policy.Settings(
        replica=int(s["rank"]),
        replica_count=int(s["balancers"]),
        zone=int(s["locality"]),
        classes=tuple(_request_class(c) for c in s["classes"]),
        plans=tuple(_plan(p) for p in s["packages"]),
        may_gossip=bool(may["peers"]),
        may_check_health=bool(may["probes"]),
        may_cancel=bool(may["cancel"]),
        may_hedge=bool(may["secondCopies"]),
        max_attempts=int(may["maxAttempts"]),
        max_retry_after_us=int(may["maxRetryAfter"]) if may["retryAfter"] else 0,
        peer_messages_per_second=float(info["peerIntake"]),
        peer_charge=float(charges["peer"]),
        health_check_charge=float(charges["probe"]),
        waste_charge=float(charges["waste"]),
        cross_zone_charge=float(charges["crossZone"]),
        has_shared_counter=bool(info["sharedCounter"]),
        polls_endpoint_list=s["discovery"] == "on_request",
        poll_timeout_us=int(rules["askWithin"]),
        load_report_source=REPORTS[report["how"]],
        load_report_names=tuple(report["names"]),
        slow_start_initial_share=float(rules["coldFrom"]),
        slow_start_duration_us=int(rules["warmWithin"]),
        overload_multiple=float(rules["fallMultiple"]),
        overload_duration_us=int(rules["overloadFor"]),
        drain_grace_us=int(rules["drainGrace"]),
    )


def _request_class(c: dict) -> policy.RequestClass:
    return policy.RequestClass(
        latency_objective_us=int(c["target"]),
        deadline_us=int(c["deadline"]),
        priority_weight=float(c["credit"]),
        late_priority_weight=float(c["lateWorth"]),
        idempotency=EFFECTS[c["effect"]],
        deduplication_scope=policy.DeduplicationScope(c["group"]),
        deduplication_window_us=int(c["dedupWindow"]),
    )


def _plan(p: dict) -> policy.Plan:
    return policy.Plan(
        rate=float(p["perSecond"]),
        burst=float(p["peakUnits"]),
        max_in_flight=int(p["open"]),
        price=float(p["pays"]),
        over_quota_credit=float(p["beyondEarns"]),
        over_quota_charge=float(p["overrunCost"]),
        ceiling_rate=float(p["hardRate"]),
        ceiling_burst=float(p["capDepth"]),
        ceiling_slack=float(p["capSlack"]),
    )


@dataclass(slots=True)
class Encoder:
    """Collects the actions of one reply."""

    records: list[bytes] = field(default_factory=list)
    tail: bytearray = field(default_factory=bytearray)

    def add(self, gateway: int, action: policy.Action) -> None:
        """One action of one gateway."""
        match action:
            case policy.SendAttempt():
                raw = _SEND.pack(65, gateway, action.request, action.endpoint, action.timeout_at_us)
            case policy.RejectRequest():
                raw = _REFUSE.pack(66, gateway, action.request, action.retry_after_us)
            case policy.FailRequest():
                raw = _FINAL.pack(67, gateway, action.request)
            case policy.CancelAttempt():
                raw = _CANCEL.pack(68, gateway, action.request, action.attempt)
            case policy.SetTimer():
                raw = _SET_TIMER.pack(69, gateway, action.delay_us, action.token)
            case policy.CheckHealth():
                raw = _SERVER_ONLY.pack(70, gateway, action.endpoint)
            case policy.SendPeerMessage():
                raw = _TELL.pack(72, gateway, action.peer, *self._put(action.body))
            case policy.WatchEndpoints():
                raw = _WATCH.pack(75, gateway, 1)
            case policy.FetchEndpoints():
                raw = _BARE.pack(76, gateway)
            case _:
                raise TypeError(f"no action of the wire: {action!r}")
        self.records.append(raw.ljust(ACTION_SIZE, b"\0"))

    def bug(self, gateway: int, text: str) -> None:
        """The decisions failed."""
        self.records.append(_TEXT.pack(74, gateway, *self._put(text.encode())).ljust(ACTION_SIZE, b"\0"))

    def reply(self) -> bytes:
        """The whole reply frame."""
        body = b"".join(self.records) + self.tail
        return REPLY_HEADER.pack(len(self.records), len(body)) + body

    def _put(self, body: bytes) -> tuple[int, int]:
        at = len(self.tail)
        self.tail += body
        return at, len(body)
