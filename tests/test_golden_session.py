"""The policy as a whole: a fleet's session of many events leads to the same actions as golden data.

Events go in and actions come out as records of the binary wire, so that names in the code play no part. What
the wire does not carry (takes, counts told by another process, sets that move) is built below.
``harness/golden_files.py`` tells how the golden file is written.
"""

from __future__ import annotations

import hashlib
import heapq
import io
import json
import random
import struct
from collections import Counter
from dataclasses import dataclass
from functools import cache

import pytest
from harness.golden_files import check_golden

from orchidlane import policy
from orchidlane.policy.gateway import Gateway
from orchidlane.simulator_protocol import codec, process, settings_json

MS, SECOND = 1_000, 1_000_000
START_US = 1_000 * SECOND
SERVED, ERROR, ENDPOINT_FULL, TIMED_OUT, CONNECT_FAILED, CONNECTION_BROKEN, CANCELLED, NOT_SENT = (
    100, 301, 302, 303, 304, 305, 306, 307,
)  # fmt: skip
GONE, READY, DRAINING = 0, 1, 2
DELTA, COMPLETE, CACHED, FAILED = 0, 1, 2, 3
SEND, REJECT, FAIL, CANCEL, SET_TIMER, SEND_PEER_MESSAGE, POLICY_FAILURE, WATCH_ENDPOINTS = (
    65,
    66,
    67,
    68,
    69,
    72,
    74,
    75,
)


# What names the code's types: nothing else in this file does


def make_gateway(settings: bytes, seed: int, now: int) -> Gateway:
    """A gateway under test."""
    return Gateway(settings_json.parse_settings(settings), seed, now)


def quota_requested_event(
    request: int, customer: int, plan: int, kind: int, units: float, first: int, size: int
):
    """Quota is requested without an endpoint."""
    return policy.QuotaRequested(request, customer, plan, kind, units, first, size)


def count_recovered_event(customer: int, plan: int, first: int, size: int, start: int, value: float):
    """A count of another process of this gateway."""
    return policy.CountRecovered(customer, plan, first, size, start, value)


def replica_set_changed_event(customer: int, plan: int, first: int, size: int):
    """A customer's replica set changes."""
    return policy.ReplicaSetChanged(customer, plan, first, size)


def action_bytes(gateway: int, action) -> bytes:
    """An action as the protocol encodes it; it has no record of grants and of the reason of a rejection."""
    if isinstance(action, policy.GrantQuota):
        return struct.pack("<BHI", 200, gateway, action.request)
    encoder = codec.Encoder()
    encoder.add_action(gateway, action)
    found = encoder.encode_reply()[8:]
    if isinstance(action, policy.RejectRequest):
        found += b"beyond quota" if action.over_quota else b""
    return found


# Records of the wire


def record(code: int, layout: str, *values) -> bytes:
    """A record of an event."""
    return struct.pack("<B" + layout, code, *values).ljust(48, b"\0")


def request_record(gateway, request, customer, plan, kind, units, left, first, size, repeat) -> bytes:
    """A client's request."""
    values = gateway, request, kind, plan, customer, left, units, float(size), float(first), 2 * repeat
    return record(5, "HIBHQIfffH", *values)


def outcome_record(gateway, request, attempt, server, outcome, took, answered) -> bytes:
    """How an attempt ended."""
    values = gateway, request, attempt, server, outcome, took, answered, 40, 1, 2, 0.5, 3.0, 0.0, 0.0
    return record(6, "HIH6sHIBHHB4f", *values)


def frame(now: int, records: list[bytes], tail: bytes = b"") -> bytes:
    """A frame of records."""
    body = b"".join(records) + tail
    return struct.pack("<IIQ", len(records), len(body), now) + body


def settings_text(rank: int, gateways: int, **permissions) -> bytes:
    """Settings with every kind of class and plan; all figures are made up."""

    def request_class(effect: str, group: str, window: int, deadline: int) -> dict:
        times = {"target": 400_000, "deadline": deadline, "dedupWindow": window}
        return {"effect": effect, "group": group, "credit": 1.0, "lateWorth": 0.2, **times}

    def plan(rate: float, burst: float, opened: int = 0, ceiling=(0.0, 0.0, 0.0)) -> dict:
        money = {"pays": 1.0, "beyondEarns": 0.2, "overrunCost": 1.0}
        hard_rate, depth, slack = ceiling
        limits = {"perSecond": rate, "peakUnits": burst, "open": opened, "hardRate": hard_rate}
        return {**limits, "capDepth": depth, "capSlack": slack, **money}

    classes = [
        request_class("repeatable", "all", 0, 2_000_000),
        request_class("by_key", "cell", 900_000, 2_500_000),
        request_class("by_key", "zone", 900_000, 2_500_000),
        request_class("by_key", "all", 600_000, 2_500_000),
        request_class("once", "all", 0, 2_000_000),
    ]
    plans = [
        plan(30.0, 20.0),
        plan(20.0, 12.0, opened=2),
        plan(40.0, 20.0, ceiling=(50.0, 24.0, 3.0)),
        plan(0.0, 0.0),
        plan(4.0, 6.0),
        plan(0.0, 0.0, ceiling=(8.0, 12.0, 1.0)),
    ]
    may = {
        "peers": True,
        "probes": True,
        "cancel": True,
        "secondCopies": True,
        "maxAttempts": 4,
        "retryAfter": True,
        "maxRetryAfter": 800_000,
    }
    value = {
        "rank": rank,
        "balancers": gateways,
        "locality": rank % 3,
        "classes": classes,
        "packages": plans,
        "discovery": "on_request" if rank % 2 else "pushed",
        "permissions": {**may, **permissions},
        "familyInfo": {"peerIntake": 60.0, "sharedCounter": True},
        "charges": {"crossZone": 0.01, "peer": 0.01, "probe": 0.01, "waste": 0.03},
        "loadReport": {"how": "inline", "names": ["util", "inflight"]},
        "rules": {
            "askWithin": 10_000_000,
            "coldFrom": 0.25,
            "drainGrace": 500_000,
            "fallMultiple": 3.0,
            "overloadFor": 2_000_000,
            "warmWithin": 4_000_000,
        },
    }
    return json.dumps(value).encode()


@dataclass
class Endpoint:
    """An endpoint as discovery reports it, and its requests in flight."""

    name: bytes
    zone: int
    cell: int
    started_at_us: int = 0
    state: int = READY
    in_flight: int = 0

    def entry(self) -> bytes:
        """Its entry of an endpoint list."""
        return struct.pack(
            "<fB6sBQBH", 1.0, 0, self.name, self.zone, self.started_at_us, self.state, self.cell
        )


class Session:
    """A fleet with endpoints, clients, discovery and a network under one clock, all drawn from one seed."""

    def __init__(self, seed: int, gateways: int, span: int, with_quota_events: bool, **permissions) -> None:
        self.random = random.Random(seed)
        self.now, self.end = START_US, START_US + span
        self.gateway_count = gateways
        self.with_quota_events = with_quota_events
        self.scheduled: list = []  # when, order, what is to be called, with what
        self.schedule_count = 0
        self.event_count = 0
        self.frames: list[bytes] = []  # what a process of the wire is told
        self.decoder = codec.Decoder()
        self.digest = hashlib.sha256()
        self.digests: list[str] = []
        self.action_counts: Counter[int] = Counter()
        self.attempt_counts: Counter[tuple[int, int]] = Counter()
        self.request_count = 0
        self.list_count = 0
        self.endpoints = [
            Endpoint(bytes((10, 0, zone, number, 0, 80)), zone, 2 * zone + number % 2)
            for zone in range(3)
            for number in range(9)
        ]
        self.gateways: dict[int, Gateway] = {}
        self.incarnations: Counter[int] = Counter()  # starts of each gateway
        self.delayed_until: dict[int, int] = {}  # gateways whose timers are held up, until when
        self.seeds = [self.random.getrandbits(64) for _ in range(gateways)]
        self.settings_texts = [settings_text(rank, gateways, **permissions) for rank in range(gateways)]

    # -- events in, actions out

    def feed(self, gateway: int, *records: bytes, tail: bytes = b"") -> None:
        """Feed records to their gateway."""
        self.frames.append(frame(self.now, list(records), tail))
        for number, event in self.decoder.decode_frame(len(records), b"".join(records) + tail):
            self.feed_event(number, event)

    def feed_event(self, gateway: int, event) -> None:
        """Feed one event."""
        self.event_count += 1
        self.record_actions(gateway, self.gateways[gateway].handle(self.now, event))
        if self.event_count % 1_000 == 0:
            self.digests.append(self.digest.hexdigest()[:16])

    def record_actions(self, gateway: int, actions) -> None:
        """Digest the actions and apply them."""
        for action in actions:
            data = action_bytes(gateway, action)
            self.digest.update(data)
            self.action_counts[data[0]] += 1
            self.apply_action(gateway, data)

    def apply_action(self, gateway: int, data: bytes) -> None:
        """Apply an action to the simulated fleet."""
        match data[0]:
            case 65:
                _, _, request, server, _ = struct.unpack_from("<BHI6sQ", data)
                self.start_attempt(gateway, request, server)
            case 66 | 67:
                self.attempt_counts.pop((gateway, struct.unpack_from("<I", data, 3)[0]), None)
            case 69:
                span, token = struct.unpack_from("<IQ", data, 3)
                self.schedule(span, self.fire_timer, gateway, self.incarnations[gateway], token)
            case 72:
                self.transmit(gateway, struct.unpack_from("<H", data, 3)[0], data[24:])

    def schedule(self, span: int, what, *values) -> None:
        """Call something after a delay."""
        self.schedule_count += 1
        heapq.heappush(self.scheduled, (self.now + span, self.schedule_count, what, values))

    def fire_timer(self, gateway: int, life: int, token: int) -> None:
        """Fire a timer, unless its gateway restarted since."""
        if self.now < self.delayed_until.get(gateway, 0):
            self.schedule(self.delayed_until[gateway] - self.now, self.fire_timer, gateway, life, token)
        elif life == self.incarnations[gateway]:
            self.feed(gateway, record(1, "HQ", gateway, token))

    # -- servers

    def start_attempt(self, gateway: int, request: int, name: bytes) -> None:
        """Draw an attempt's outcome, and schedule it."""
        attempt = self.attempt_counts[gateway, request]
        self.attempt_counts[gateway, request] += 1
        server = next(one for one in self.endpoints if one.name == name)
        server.in_flight += 1
        draw, age = self.random.random(), self.now - START_US
        took = int((40 + 25 * server.in_flight) * MS * self.random.uniform(0.7, 1.4))
        outcome = SERVED
        if server.zone == 1 and 4 * SECOND < age < 7 * SECOND:
            outcome = self.random.choice((CONNECT_FAILED, TIMED_OUT, CONNECTION_BROKEN))
            took = 900 * MS if outcome == TIMED_OUT else 5 * MS
        elif server.zone == 2 and 9 * SECOND < age < 10 * SECOND:
            took += 1_500 * MS
        elif server.in_flight > 12:
            outcome, took = ENDPOINT_FULL, 2 * MS
        elif draw < 0.06:
            outcome = self.random.choice(
                (ERROR, ENDPOINT_FULL, CONNECT_FAILED, CONNECTION_BROKEN, CANCELLED, NOT_SENT)
            )
        if self.random.random() < 0.05:
            stream = record(4, "HIH6sI", gateway, request, attempt, name, took // 2)
            self.schedule(took // 2, self.feed, gateway, stream)
        self.schedule(took, self.finish_attempt, gateway, request, attempt, server, outcome, took)

    def finish_attempt(
        self, gateway: int, request: int, attempt: int, server: Endpoint, outcome: int, took: int
    ) -> None:
        """Feed an attempt's outcome."""
        server.in_flight -= 1
        told = outcome_record(
            gateway, request, attempt, server.name, outcome, took, outcome in (SERVED, CANCELLED)
        )
        self.feed(gateway, told)
        if self.random.random() < 0.02:
            self.feed(gateway, told)  # told twice: nothing follows

    def send_endpoint_list(self, kind: int, servers: list[Endpoint], *gateways: int) -> None:
        """Send an endpoint list to gateways."""
        self.list_count += 1
        tail = b"".join(server.entry() for server in servers)
        for gateway in gateways or range(self.gateway_count):
            entries = record(12, "HII", self.list_count, 0, len(servers))
            news = record(9, "HBHQ", gateway, kind, self.list_count, self.list_count)
            self.feed(gateway, entries, news, tail=tail)

    def change_endpoints(self) -> None:
        """Drain, remove, restart or add some endpoints."""
        some = self.random.sample(self.endpoints, 3)
        for server in some:
            fresh = server.state != READY or self.random.random() < 0.4
            server.state = READY if fresh else self.random.choice((DRAINING, GONE))
            if fresh:
                server.started_at_us = self.now - self.random.randrange(SECOND)
        self.send_endpoint_list(DELTA, some)
        if self.random.random() < 0.3:
            self.send_endpoint_list(FAILED, [], self.random.randrange(self.gateway_count))
        if self.random.random() < 0.4:
            ready = [server for server in self.endpoints if server.state != GONE]
            self.send_endpoint_list(self.random.choice((COMPLETE, CACHED)), ready)
        self.schedule(400 * MS, self.change_endpoints)

    def remove_all_endpoints(self, back: int) -> None:
        """Send a complete list without endpoints, and the former one later."""
        self.send_endpoint_list(COMPLETE, [])
        self.schedule(
            back,
            self.send_endpoint_list,
            COMPLETE,
            [server for server in self.endpoints if server.state != GONE],
        )

    # -- peers

    def transmit(self, sender: int, receiver: int, body: bytes) -> None:
        """Transmit a datagram, which may be lost, duplicated, late or truncated."""
        age = self.now - START_US
        cut = 5 * SECOND < age < 8 * SECOND and (sender < 3) != (receiver < 3)
        if cut or self.random.random() < 0.03:
            return
        for _ in range(1 + (self.random.random() < 0.03)):
            late = self.random.randrange(3 * SECOND, 6 * SECOND) if self.random.random() < 0.02 else 0
            if self.random.random() < 0.01:
                body = body[: self.random.randrange(len(body))]
            self.schedule(
                self.random.randrange(1, 30) * MS + late, self.deliver_message, sender, receiver, body
            )

    def deliver_message(self, sender: int, receiver: int, body: bytes) -> None:
        """Feed a datagram."""
        self.feed(receiver, record(2, "HHII", receiver, sender, 0, len(body)), tail=body)

    # -- clients

    def draw_customer(self) -> tuple[int, int, int, int]:
        """Draw a customer with its plan and replica set: a few are frequent, many come once."""
        number = min(int(4 * self.random.paretovariate(0.5)), 5_000)
        sizes = (1, 2, 3, self.gateway_count, self.gateway_count, min(13, self.gateway_count))
        return (
            number,
            number % 6,
            number * 7 % self.gateway_count,
            min(sizes[number // 2 % 6], self.gateway_count),
        )

    def send_requests(self, burst: int) -> None:
        """Feed a client's requests."""
        number, plan, first, size = self.draw_customer()
        gateway = (first + self.random.randrange(size)) % self.gateway_count
        for _ in range(burst):
            self.request_count += 1
            left = self.random.choice((2_000_000, 2_000_000, 400_000, 20_000))
            kind, units = self.random.randrange(5), self.random.choice((1.0, 1.0, 2.0, 5.0))
            repeat = self.random.random() < 0.1
            self.feed(
                gateway,
                request_record(
                    gateway, self.request_count, number, plan, kind, units, left, first, size, repeat
                ),
            )
            if self.random.random() < 0.05:
                gone = record(3, "HI", gateway, self.request_count)
                self.schedule(self.random.randrange(100 * MS), self.feed, gateway, gone)
        crowd = 20 if 10 * SECOND < self.now - START_US < 11 * SECOND else 1
        self.schedule(
            self.random.randrange(1, 16 * MS) // crowd, self.send_requests, self.random.choice((1, 1, 1, 4))
        )

    def feed_quota_events(self) -> None:
        """Feed events that the protocol has no records for."""
        number, plan, first, size = self.draw_customer()
        gateway = (first + self.random.randrange(size)) % self.gateway_count
        draw = self.random.random()
        if draw < 0.8:
            self.request_count += 1
            kind = self.random.randrange(5)
            self.feed_event(
                gateway, quota_requested_event(self.request_count, number, plan, kind, 1.0, first, size)
            )
        elif draw < 0.9:
            start = self.now // MS // 62 - self.random.randrange(50)
            self.feed_event(
                gateway, count_recovered_event(number, plan, first, size, start, self.random.uniform(0, 9))
            )
        else:
            moved = self.random.randrange(self.gateway_count)
            for one in range(self.gateway_count):
                self.feed_event(
                    one,
                    replica_set_changed_event(
                        number, plan, moved, self.random.randrange(1, self.gateway_count + 1)
                    ),
                )
        self.schedule(self.random.randrange(30 * MS), self.feed_quota_events)

    def feed_ignored_events(self) -> None:
        """Feed events that lead to no action."""
        gateway, server = self.random.randrange(self.gateway_count), self.random.choice(self.endpoints)
        self.feed(
            gateway,
            record(10, "HfIHQ", gateway, 38.0, 900, SERVED, 7),
            record(11, "HIH6sB4f", gateway, 900, SERVED, server.name, 2, 0.5, 2.0, 0.0, 0.0),
            record(1, "HQ", gateway, 9_999_999),
            record(3, "HI", gateway, 9_999_999),
        )
        self.schedule(500 * MS, self.feed_ignored_events)

    def restart_gateway(self, gateway: int) -> None:
        """Stop a gateway and start it again."""
        self.start_gateway(gateway, record(8, "H", gateway))
        self.send_endpoint_list(
            CACHED, [server for server in self.endpoints if server.state != GONE], gateway
        )

    def delay_timers(self, gateway: int, span: int) -> None:
        """Delay a gateway's timers, as if its process were paused."""
        self.delayed_until[gateway] = self.now + span

    def start_gateway(self, gateway: int, *before: bytes) -> None:
        """Start a gateway."""
        self.incarnations[gateway] += 1
        text, seed = self.settings_texts[gateway], self.seeds[gateway]
        start = record(7, "HQII", gateway, seed, 0, len(text))
        self.frames.append(frame(self.now, [*before, start], text))
        self.gateways[gateway] = make_gateway(text, seed, self.now)
        self.record_actions(gateway, self.gateways[gateway].start())

    def run(self) -> Session:
        """Run the whole session."""
        for gateway in range(self.gateway_count):
            self.start_gateway(gateway)
        self.send_endpoint_list(COMPLETE, self.endpoints)
        self.schedule(0, self.send_requests, 1)
        self.schedule(2 * SECOND, self.change_endpoints)
        self.schedule(3 * SECOND, self.feed_ignored_events)
        self.schedule(8 * SECOND, self.remove_all_endpoints, 300 * MS)
        self.schedule(6 * SECOND, self.restart_gateway, 1)
        for age in (2, 3, 4):
            self.schedule(age * SECOND, self.delay_timers, 0, 700 * MS)
        if self.with_quota_events:
            self.schedule(SECOND, self.feed_quota_events)
        while self.scheduled and self.scheduled[0][0] <= self.end:
            self.now, _, what, values = heapq.heappop(self.scheduled)
            what(*values)
        return self

    def golden_value(self) -> dict:
        """Return what the golden file has of it."""
        return {
            "events": self.event_count,
            "actions": {str(code): count for code, count in sorted(self.action_counts.items())},
            "digests": self.digests,
            "digest": self.digest.hexdigest(),
        }


SESSIONS = {
    "large-sets": {"seed": 1, "gateways": 24, "span": 12 * SECOND, "with_quota_events": False},
    "three-gateways": {
        "seed": 2, "gateways": 3, "span": 14 * SECOND, "with_quota_events": False, "maxAttempts": 2,
    },
    "takes-and-moves": {"seed": 3, "gateways": 5, "span": 12 * SECOND, "with_quota_events": True},
    "gateways-alone": {
        "seed": 4, "gateways": 2, "span": 6 * SECOND, "with_quota_events": True,
        "peers": False, "cancel": False, "retryAfter": False,
    },
}  # fmt: skip


@cache
def play_session(name: str) -> Session:
    """A session, run once for all tests."""
    return Session(**SESSIONS[name]).run()


@pytest.mark.parametrize("name", SESSIONS)
def test_a_session_leads_to_the_golden_actions(name):
    session = play_session(name)
    assert session.event_count > 2_000
    check_golden(f"session-{name}", session.golden_value())


def test_the_sessions_lead_to_every_action_that_the_policy_takes():
    found = sum((play_session(name).action_counts for name in SESSIONS), Counter())
    assert set(found) == {SEND, REJECT, FAIL, CANCEL, SET_TIMER, SEND_PEER_MESSAGE, WATCH_ENDPOINTS, 200}


@pytest.mark.parametrize("name", [name for name, terms in SESSIONS.items() if not terms["with_quota_events"]])
def test_the_simulators_process_replies_to_a_session_with_the_golden_bytes(name):
    session = play_session(name)
    sink = io.BytesIO()
    process.serve(io.BytesIO(b"".join(session.frames)), sink)
    replies, codes, at = sink.getvalue(), Counter(), 0
    while at < len(replies):
        count, length = struct.unpack_from("<II", replies, at)
        codes.update(replies[at + 8 + 24 * i] for i in range(count))
        at += 8 + length
    assert codes == session.action_counts
    assert codes[POLICY_FAILURE] == 0
    frames = hashlib.sha256(b"".join(session.frames)).hexdigest()
    digest = hashlib.sha256(replies).hexdigest()
    check_golden(f"wire-{name}", {"frames": frames, "replies": digest, "bytes": len(replies)})
