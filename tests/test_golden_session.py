"""The decision module as a whole: a fleet's session of many events gives the same actions as golden data.

Events go in and actions come out as records of the binary wire, so that names in the code play no part. What
the wire does not carry (takes, counts told by another process, sets that move) is built below. ``golden.py``
tells how the golden file is written.
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
from golden import check_golden

from orchidlane import policy
from orchidlane.policy.gateway import Gateway
from orchidlane.simulator_protocol import codec, process, settings_json

MS, SECOND = 1_000, 1_000_000
BEGIN = 1_000 * SECOND
SERVED, ERROR, FULL, TIMED_OUT, NOT_CONNECTED, BROKEN, CANCELLED, NEVER_SENT = (
    100, 301, 302, 303, 304, 305, 306, 307,
)  # fmt: skip
GONE, READY, DRAINING = 0, 1, 2
CHANGES, WHOLE, CACHED, FAILED = 0, 1, 2, 3
SEND, REFUSE, FAIL, CANCEL, SET_TIMER, TELL, BUG, ASK_LIST = 65, 66, 67, 68, 69, 72, 74, 75


# What names the code's types: nothing else in this file does


def make_gateway(settings: bytes, seed: int, now: int) -> Gateway:
    """A gateway's decisions."""
    return Gateway(settings_json.parse_settings(settings), seed, now)


def take_event(request: int, customer: int, plan: int, kind: int, units: float, first: int, size: int):
    """Units that are wanted without a server."""
    return policy.QuotaRequested(request, customer, plan, kind, units, first, size)


def counted_event(customer: int, plan: int, first: int, size: int, start: int, value: float):
    """What another process of this gateway counted."""
    return policy.CountRecovered(customer, plan, first, size, start, value)


def set_moved_event(customer: int, plan: int, first: int, size: int):
    """A customer uses other gateways from now on."""
    return policy.ReplicaSetChanged(customer, plan, first, size)


def action_bytes(gateway: int, action) -> bytes:
    """An action as the wire has it; a grant, and why a request was refused, have no record there."""
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
    """A batch of records."""
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
class Server:
    """A server as discovery tells of it, and what is out at it."""

    name: bytes
    zone: int
    cell: int
    launched: int = 0
    phase: int = READY
    out: int = 0

    def entry(self) -> bytes:
        """Its line of a list."""
        return struct.pack("<fB6sBQBH", 1.0, 0, self.name, self.zone, self.launched, self.phase, self.cell)


class Session:
    """A fleet with its servers, clients, discovery and network under one clock, drawn from one seed."""

    def __init__(self, seed: int, gateways: int, span: int, with_takes: bool, **permissions) -> None:
        self.random = random.Random(seed)
        self.now, self.end = BEGIN, BEGIN + span
        self.count = gateways
        self.with_takes = with_takes
        self.due: list = []  # when, order, what is to be called, with what
        self.order = 0
        self.events = 0
        self.frames: list[bytes] = []  # what a process of the wire is told
        self.decoder = codec.Decoder()
        self.digest = hashlib.sha256()
        self.digests: list[str] = []
        self.actions: Counter[int] = Counter()
        self.open: dict[tuple[int, int], bytes] = {}  # attempts out, by gateway and request
        self.attempts: Counter[tuple[int, int]] = Counter()
        self.requests = 0
        self.lists = 0
        self.servers = [
            Server(bytes((10, 0, zone, number, 0, 80)), zone, 2 * zone + number % 2)
            for zone in range(3)
            for number in range(9)
        ]
        self.gateways: dict[int, Gateway] = {}
        self.lives: Counter[int] = Counter()  # starts of each gateway
        self.still: dict[int, int] = {}  # gateways whose timers are held up, until when
        self.seeds = [self.random.getrandbits(64) for _ in range(gateways)]
        self.texts = [settings_text(rank, gateways, **permissions) for rank in range(gateways)]

    # -- events in, actions out

    def feed(self, gateway: int, *records: bytes, tail: bytes = b"") -> None:
        """Records for one gateway."""
        self.frames.append(frame(self.now, list(records), tail))
        for number, event in self.decoder.decode_frame(len(records), b"".join(records) + tail):
            self.decide(number, event)

    def decide(self, gateway: int, event) -> None:
        """One event."""
        self.events += 1
        self.note(gateway, self.gateways[gateway].handle(self.now, event))
        if self.events % 1_000 == 0:
            self.digests.append(self.digest.hexdigest()[:16])

    def note(self, gateway: int, actions) -> None:
        """Digest the actions and carry them out."""
        for action in actions:
            data = action_bytes(gateway, action)
            self.digest.update(data)
            self.actions[data[0]] += 1
            self.carry_out(gateway, data)

    def carry_out(self, gateway: int, data: bytes) -> None:
        """What the world does about an action."""
        match data[0]:
            case 65:
                _, _, request, server, _ = struct.unpack_from("<BHI6sQ", data)
                self.send(gateway, request, server)
            case 66 | 67:
                self.attempts.pop((gateway, struct.unpack_from("<I", data, 3)[0]), None)
            case 69:
                span, token = struct.unpack_from("<IQ", data, 3)
                self.later(span, self.fire, gateway, self.lives[gateway], token)
            case 72:
                self.carry(gateway, struct.unpack_from("<H", data, 3)[0], data[24:])

    def later(self, span: int, what, *values) -> None:
        """Call it after a span."""
        self.order += 1
        heapq.heappush(self.due, (self.now + span, self.order, what, values))

    def fire(self, gateway: int, life: int, token: int) -> None:
        """A timer, which ends with the life that it was set in."""
        if self.now < self.still.get(gateway, 0):
            self.later(self.still[gateway] - self.now, self.fire, gateway, life, token)
        elif life == self.lives[gateway]:
            self.feed(gateway, record(1, "HQ", gateway, token))

    # -- servers

    def send(self, gateway: int, request: int, name: bytes) -> None:
        """An attempt reaches a server, or not."""
        attempt = self.attempts[gateway, request]
        self.attempts[gateway, request] += 1
        server = next(one for one in self.servers if one.name == name)
        server.out += 1
        draw, age = self.random.random(), self.now - BEGIN
        took = int((40 + 25 * server.out) * MS * self.random.uniform(0.7, 1.4))
        outcome = SERVED
        if server.zone == 1 and 4 * SECOND < age < 7 * SECOND:
            outcome = self.random.choice((NOT_CONNECTED, TIMED_OUT, BROKEN))
            took = 900 * MS if outcome == TIMED_OUT else 5 * MS
        elif server.zone == 2 and 9 * SECOND < age < 10 * SECOND:
            took += 1_500 * MS
        elif server.out > 12:
            outcome, took = FULL, 2 * MS
        elif draw < 0.06:
            outcome = self.random.choice((ERROR, FULL, NOT_CONNECTED, BROKEN, CANCELLED, NEVER_SENT))
        if self.random.random() < 0.05:
            stream = record(4, "HIH6sI", gateway, request, attempt, name, took // 2)
            self.later(took // 2, self.feed, gateway, stream)
        self.later(took, self.answer, gateway, request, attempt, server, outcome, took)

    def answer(
        self, gateway: int, request: int, attempt: int, server: Server, outcome: int, took: int
    ) -> None:
        """An attempt's outcome."""
        server.out -= 1
        told = outcome_record(
            gateway, request, attempt, server.name, outcome, took, outcome in (SERVED, CANCELLED)
        )
        self.feed(gateway, told)
        if self.random.random() < 0.02:
            self.feed(gateway, told)  # told twice: nothing follows

    def tell_list(self, kind: int, servers: list[Server], *gateways: int) -> None:
        """Discovery tells gateways of servers."""
        self.lists += 1
        tail = b"".join(server.entry() for server in servers)
        for gateway in gateways or range(self.count):
            entries = record(12, "HII", self.lists, 0, len(servers))
            news = record(9, "HBHQ", gateway, kind, self.lists, self.lists)
            self.feed(gateway, entries, news, tail=tail)

    def change_servers(self) -> None:
        """Some servers drain, go, start anew or are new."""
        some = self.random.sample(self.servers, 3)
        for server in some:
            fresh = server.phase != READY or self.random.random() < 0.4
            server.phase = READY if fresh else self.random.choice((DRAINING, GONE))
            if fresh:
                server.launched = self.now - self.random.randrange(SECOND)
        self.tell_list(CHANGES, some)
        if self.random.random() < 0.3:
            self.tell_list(FAILED, [], self.random.randrange(self.count))
        if self.random.random() < 0.4:
            ready = [server for server in self.servers if server.phase != GONE]
            self.tell_list(self.random.choice((WHOLE, CACHED)), ready)
        self.later(400 * MS, self.change_servers)

    def lose_all_servers(self, back: int) -> None:
        """A whole list without servers, and the old one again later."""
        self.tell_list(WHOLE, [])
        self.later(back, self.tell_list, WHOLE, [server for server in self.servers if server.phase != GONE])

    # -- peers

    def carry(self, sender: int, receiver: int, body: bytes) -> None:
        """A datagram, which may be lost, doubled, late or damaged."""
        age = self.now - BEGIN
        cut = 5 * SECOND < age < 8 * SECOND and (sender < 3) != (receiver < 3)
        if cut or self.random.random() < 0.03:
            return
        for _ in range(1 + (self.random.random() < 0.03)):
            late = self.random.randrange(3 * SECOND, 6 * SECOND) if self.random.random() < 0.02 else 0
            if self.random.random() < 0.01:
                body = body[: self.random.randrange(len(body))]
            self.later(self.random.randrange(1, 30) * MS + late, self.deliver, sender, receiver, body)

    def deliver(self, sender: int, receiver: int, body: bytes) -> None:
        """A datagram has come."""
        self.feed(receiver, record(2, "HHII", receiver, sender, 0, len(body)), tail=body)

    # -- clients

    def customer(self) -> tuple[int, int, int, int]:
        """A customer with its plan and set: a few are fast, many come once."""
        number = min(int(4 * self.random.paretovariate(0.5)), 5_000)
        sizes = (1, 2, 3, self.count, self.count, min(13, self.count))
        return number, number % 6, number * 7 % self.count, min(sizes[number // 2 % 6], self.count)

    def ask(self, burst: int) -> None:
        """A client's requests."""
        number, plan, first, size = self.customer()
        gateway = (first + self.random.randrange(size)) % self.count
        for _ in range(burst):
            self.requests += 1
            left = self.random.choice((2_000_000, 2_000_000, 400_000, 20_000))
            kind, units = self.random.randrange(5), self.random.choice((1.0, 1.0, 2.0, 5.0))
            repeat = self.random.random() < 0.1
            self.feed(
                gateway,
                request_record(gateway, self.requests, number, plan, kind, units, left, first, size, repeat),
            )
            if self.random.random() < 0.05:
                gone = record(3, "HI", gateway, self.requests)
                self.later(self.random.randrange(100 * MS), self.feed, gateway, gone)
        crowd = 20 if 10 * SECOND < self.now - BEGIN < 11 * SECOND else 1
        self.later(self.random.randrange(1, 16 * MS) // crowd, self.ask, self.random.choice((1, 1, 1, 4)))

    def take(self) -> None:
        """What the wire does not carry."""
        number, plan, first, size = self.customer()
        gateway = (first + self.random.randrange(size)) % self.count
        draw = self.random.random()
        if draw < 0.8:
            self.requests += 1
            kind = self.random.randrange(5)
            self.decide(gateway, take_event(self.requests, number, plan, kind, 1.0, first, size))
        elif draw < 0.9:
            start = self.now // MS // 62 - self.random.randrange(50)
            self.decide(gateway, counted_event(number, plan, first, size, start, self.random.uniform(0, 9)))
        else:
            moved = self.random.randrange(self.count)
            for one in range(self.count):
                self.decide(
                    one, set_moved_event(number, plan, moved, self.random.randrange(1, self.count + 1))
                )
        self.later(self.random.randrange(30 * MS), self.take)

    def odd(self) -> None:
        """What nothing follows from: counters and probes that answer, and timers and clients never met."""
        gateway, server = self.random.randrange(self.count), self.random.choice(self.servers)
        self.feed(
            gateway,
            record(10, "HfIHQ", gateway, 38.0, 900, SERVED, 7),
            record(11, "HIH6sB4f", gateway, 900, SERVED, server.name, 2, 0.5, 2.0, 0.0, 0.0),
            record(1, "HQ", gateway, 9_999_999),
            record(3, "HI", gateway, 9_999_999),
        )
        self.later(500 * MS, self.odd)

    def restart(self, gateway: int) -> None:
        """A gateway is gone and comes up anew."""
        self.start(gateway, record(8, "H", gateway))
        self.tell_list(CACHED, [server for server in self.servers if server.phase != GONE], gateway)

    def hold_up(self, gateway: int, span: int) -> None:
        """A gateway's timers come late, as where its process stands still."""
        self.still[gateway] = self.now + span

    def start(self, gateway: int, *before: bytes) -> None:
        """A gateway comes up."""
        self.lives[gateway] += 1
        text, seed = self.texts[gateway], self.seeds[gateway]
        start = record(7, "HQII", gateway, seed, 0, len(text))
        self.frames.append(frame(self.now, [*before, start], text))
        self.gateways[gateway] = make_gateway(text, seed, self.now)
        self.note(gateway, self.gateways[gateway].start())

    def run(self) -> Session:
        """The whole session."""
        for gateway in range(self.count):
            self.start(gateway)
        self.tell_list(WHOLE, self.servers)
        self.later(0, self.ask, 1)
        self.later(2 * SECOND, self.change_servers)
        self.later(3 * SECOND, self.odd)
        self.later(8 * SECOND, self.lose_all_servers, 300 * MS)
        self.later(6 * SECOND, self.restart, 1)
        for age in (2, 3, 4):
            self.later(age * SECOND, self.hold_up, 0, 700 * MS)
        if self.with_takes:
            self.later(SECOND, self.take)
        while self.due and self.due[0][0] <= self.end:
            self.now, _, what, values = heapq.heappop(self.due)
            what(*values)
        return self

    def found(self) -> dict:
        """What is golden of it."""
        return {
            "events": self.events,
            "actions": {str(code): count for code, count in sorted(self.actions.items())},
            "digests": self.digests,
            "digest": self.digest.hexdigest(),
        }


SESSIONS = {
    "large-sets": {"seed": 1, "gateways": 24, "span": 12 * SECOND, "with_takes": False},
    "three-gateways": {"seed": 2, "gateways": 3, "span": 14 * SECOND, "with_takes": False, "maxAttempts": 2},
    "takes-and-moves": {"seed": 3, "gateways": 5, "span": 12 * SECOND, "with_takes": True},
    "gateways-alone": {
        "seed": 4, "gateways": 2, "span": 6 * SECOND, "with_takes": True, "peers": False, "cancel": False,
        "retryAfter": False,
    },
}  # fmt: skip


@cache
def played(name: str) -> Session:
    """A session, played once for all tests."""
    return Session(**SESSIONS[name]).run()


@pytest.mark.parametrize("name", SESSIONS)
def test_a_session_gives_the_same_actions_as_the_golden_one(name):
    session = played(name)
    assert session.events > 2_000
    check_golden(f"session-{name}", session.found())


def test_the_sessions_lead_to_every_action_that_the_decisions_know():
    found = sum((played(name).actions for name in SESSIONS), Counter())
    assert set(found) == {SEND, REFUSE, FAIL, CANCEL, SET_TIMER, TELL, ASK_LIST, 200}


@pytest.mark.parametrize("name", [name for name, terms in SESSIONS.items() if not terms["with_takes"]])
def test_a_process_of_the_wire_answers_a_session_with_the_same_bytes(name):
    session = played(name)
    sink = io.BytesIO()
    process.serve(io.BytesIO(b"".join(session.frames)), sink)
    replies, codes, at = sink.getvalue(), Counter(), 0
    while at < len(replies):
        count, length = struct.unpack_from("<II", replies, at)
        codes.update(replies[at + 8 + 24 * i] for i in range(count))
        at += 8 + length
    assert codes == session.actions
    assert codes[BUG] == 0
    frames = hashlib.sha256(b"".join(session.frames)).hexdigest()
    digest = hashlib.sha256(replies).hexdigest()
    check_golden(f"wire-{name}", {"frames": frames, "replies": digest, "bytes": len(replies)})
