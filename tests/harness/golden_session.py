"""A fleet's session of many events under one clock, all drawn from one seed."""

from __future__ import annotations

import hashlib
import heapq
import random
import struct
from collections import Counter

from harness.session_records import (
    CACHED,
    CANCELLED,
    COMPLETE,
    CONNECT_FAILED,
    CONNECTION_BROKEN,
    DELTA,
    DRAINING,
    ENDPOINT_FULL,
    ERROR,
    FAILED,
    GONE,
    MS,
    NOT_SENT,
    READY,
    SECOND,
    SERVED,
    START_US,
    TIMED_OUT,
    Endpoint,
    action_bytes,
    count_recovered_event,
    frame,
    make_gateway,
    outcome_record,
    quota_requested_event,
    record,
    replica_set_changed_event,
    request_record,
    settings_text,
)
from orchidlane.policy.gateway import Gateway
from orchidlane.simulator_protocol import codec


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
