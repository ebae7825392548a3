"""A simulated session of a fleet: many events under one virtual clock, generated from one seed."""

from __future__ import annotations

import hashlib
import heapq
import random
import struct
from collections import Counter
from collections.abc import Callable, Iterable
from typing import Any

from harness import session_records
from harness.constants import MS, SECOND
from harness.session_clients import SessionClients
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
    NOT_SENT,
    READY,
    SERVED,
    START_US,
    TIMED_OUT,
    Endpoint,
    action_bytes,
    frame,
    make_gateway,
    outcome_record,
    record,
    settings_text,
)
from orchidlane import policy
from orchidlane.policy.gateway import Gateway
from orchidlane.simulator_protocol import codec


class Session:
    """A fleet with endpoints, clients, discovery and a network, all generated from one seed."""

    def __init__(
        self, seed: int, gateways: int, duration_us: int, with_quota_events: bool, **permissions: Any
    ) -> None:
        self.random = random.Random(seed)
        self.now, self.end = START_US, START_US + duration_us
        self.gateway_count = gateways
        self.with_quota_events = with_quota_events
        self.scheduled: list[tuple] = []  # heap of time, order of scheduling, function and its arguments
        self.schedule_count = 0
        self.event_count = 0
        self.frames: list[bytes] = []  # of events, as the simulator sends them
        self.decoder = codec.Decoder()
        self.digest = hashlib.sha256()
        self.digests: list[str] = []
        self.action_counts: Counter[int] = Counter()
        self.attempt_counts: Counter[tuple[int, int]] = Counter()
        self.list_count = 0
        self.endpoints = [
            Endpoint(bytes((10, 0, zone, number, 0, 80)), zone, 2 * zone + number % 2)
            for zone in range(3)
            for number in range(9)
        ]
        self.gateways: dict[int, Gateway] = {}
        self.incarnations: Counter[int] = Counter()  # by gateway: how often it started
        self.delayed_until: dict[int, int] = {}  # by gateway, for gateways whose timers are delayed
        self.seeds = [self.random.getrandbits(64) for _ in range(gateways)]
        self.settings_texts = [settings_text(rank, gateways, **permissions) for rank in range(gateways)]

    # -- events and actions

    def feed(self, *records: bytes, tail: bytes = b"") -> None:
        """Feed a frame of records to the gateways that the records name."""
        self.frames.append(frame(self.now, list(records), tail))
        for number, event in self.decoder.decode_frame(len(records), b"".join(records) + tail):
            self.feed_event(number, event)

    def feed_event(self, gateway: int, event: policy.Event) -> None:
        """Feed one event to a gateway, and store the digest so far after every 1,000 events."""
        self.event_count += 1
        self.record_actions(gateway, self.gateways[gateway].handle(self.now, event))
        if self.event_count % 1_000 == 0:
            self.digests.append(self.digest.hexdigest()[:16])

    def record_actions(self, gateway: int, actions: Iterable[policy.Action]) -> None:
        """Add the actions to the digest and the counts, and apply them."""
        for action in actions:
            data = action_bytes(gateway, action)
            self.digest.update(data)
            self.action_counts[data[0]] += 1
            self.apply_action(gateway, data)

    def apply_action(self, gateway: int, data: bytes) -> None:
        """Apply an action to the simulated fleet."""
        match data[0]:
            case session_records.SEND:
                _, _, request, endpoint, _ = struct.unpack_from("<BHI6sQ", data)
                self.start_attempt(gateway, request, endpoint)
            case session_records.REJECT | session_records.FAIL:
                self.attempt_counts.pop((gateway, struct.unpack_from("<I", data, 3)[0]), None)
            case session_records.SET_TIMER:
                delay_us, token = struct.unpack_from("<IQ", data, 3)
                self.schedule(delay_us, self.fire_timer, gateway, self.incarnations[gateway], token)
            case session_records.SEND_PEER_MESSAGE:
                self.transmit(gateway, struct.unpack_from("<H", data, 3)[0], data[24:])

    def schedule(self, delay_us: int, function: Callable[..., None], *values: Any) -> None:
        """Call a function after a delay."""
        self.schedule_count += 1
        heapq.heappush(self.scheduled, (self.now + delay_us, self.schedule_count, function, values))

    def fire_timer(self, gateway: int, incarnation: int, token: int) -> None:
        """Fire a timer, later if timers are delayed, and not at all if the gateway has restarted."""
        if self.now < self.delayed_until.get(gateway, 0):
            self.schedule(
                self.delayed_until[gateway] - self.now, self.fire_timer, gateway, incarnation, token
            )
        elif incarnation == self.incarnations[gateway]:
            self.feed(record(1, "HQ", gateway, token))

    # -- endpoints

    def start_attempt(self, gateway: int, request: int, name: bytes) -> None:
        """Choose a random outcome of an attempt, and schedule the finish of the attempt."""
        attempt = self.attempt_counts[gateway, request]
        self.attempt_counts[gateway, request] += 1
        endpoint = next(endpoint for endpoint in self.endpoints if endpoint.name == name)
        endpoint.in_flight += 1
        outcome, duration_us = self._random_outcome(endpoint)
        if self.random.random() < 0.05:
            stream = record(4, "HIH6sI", gateway, request, attempt, name, duration_us // 2)
            self.schedule(duration_us // 2, self.feed, stream)
        self.schedule(
            duration_us, self.finish_attempt, gateway, request, attempt, endpoint, outcome, duration_us
        )

    def _random_outcome(self, endpoint: Endpoint) -> tuple[int, int]:
        """Return a random outcome and duration of an attempt.

        From 4 to 7 s, all attempts in zone 1 fail; from 9 to 10 s, those in zone 2 are slow.
        """
        failure_draw, age = self.random.random(), self.now - START_US
        duration_us = int((40 + 25 * endpoint.in_flight) * MS * self.random.uniform(0.7, 1.4))
        outcome = SERVED
        if endpoint.zone == 1 and 4 * SECOND < age < 7 * SECOND:
            outcome = self.random.choice((CONNECT_FAILED, TIMED_OUT, CONNECTION_BROKEN))
            duration_us = 900 * MS if outcome == TIMED_OUT else 5 * MS
        elif endpoint.zone == 2 and 9 * SECOND < age < 10 * SECOND:
            duration_us += 1_500 * MS
        elif endpoint.in_flight > 12:
            outcome, duration_us = ENDPOINT_FULL, 2 * MS
        elif failure_draw < 0.06:
            outcome = self.random.choice(
                (ERROR, ENDPOINT_FULL, CONNECT_FAILED, CONNECTION_BROKEN, CANCELLED, NOT_SENT)
            )
        return outcome, duration_us

    def finish_attempt(
        self, gateway: int, request: int, attempt: int, endpoint: Endpoint, outcome: int, duration_us: int
    ) -> None:
        """Feed an attempt's outcome."""
        endpoint.in_flight -= 1
        finished = outcome_record(
            gateway, request, attempt, endpoint.name, outcome, duration_us, outcome in (SERVED, CANCELLED)
        )
        self.feed(finished)
        if self.random.random() < 0.02:
            self.feed(finished)  # a duplicate has no effect

    def send_endpoint_list(self, kind: int, endpoints: list[Endpoint], *gateways: int) -> None:
        """Send an endpoint list to some gateways, or to all if none is named."""
        self.list_count += 1
        tail = b"".join(endpoint.entry() for endpoint in endpoints)
        for gateway in gateways or range(self.gateway_count):
            entries = record(12, "HII", self.list_count, 0, len(endpoints))
            header = record(9, "HBHQ", gateway, kind, self.list_count, self.list_count)
            self.feed(entries, header, tail=tail)

    def change_endpoints(self) -> None:
        """Drain, remove, restart or add some endpoints."""
        changed = self.random.sample(self.endpoints, 3)
        for endpoint in changed:
            is_started = endpoint.state != READY or self.random.random() < 0.4
            endpoint.state = READY if is_started else self.random.choice((DRAINING, GONE))
            if is_started:
                endpoint.started_at_us = self.now - self.random.randrange(SECOND)
        self.send_endpoint_list(DELTA, changed)
        if self.random.random() < 0.3:
            self.send_endpoint_list(FAILED, [], self.random.randrange(self.gateway_count))
        if self.random.random() < 0.4:
            present = [endpoint for endpoint in self.endpoints if endpoint.state != GONE]
            self.send_endpoint_list(self.random.choice((COMPLETE, CACHED)), present)
        self.schedule(400 * MS, self.change_endpoints)

    def remove_all_endpoints(self, returns_after_us: int) -> None:
        """Send a complete list without endpoints, and after a delay one with all present endpoints."""
        self.send_endpoint_list(COMPLETE, [])
        self.schedule(
            returns_after_us,
            self.send_endpoint_list,
            COMPLETE,
            [endpoint for endpoint in self.endpoints if endpoint.state != GONE],
        )

    # -- peers

    def transmit(self, sender: int, receiver: int, body: bytes) -> None:
        """Transmit a datagram, which may be lost, duplicated, delayed or truncated.

        From 5 to 8 s, the network between gateways 0 to 2 and the others is partitioned.
        """
        age = self.now - START_US
        is_partitioned = 5 * SECOND < age < 8 * SECOND and (sender < 3) != (receiver < 3)
        if is_partitioned or self.random.random() < 0.03:
            return
        for _ in range(1 + (self.random.random() < 0.03)):
            extra_delay_us = (
                self.random.randrange(3 * SECOND, 6 * SECOND) if self.random.random() < 0.02 else 0
            )
            if self.random.random() < 0.01:
                body = body[: self.random.randrange(len(body))]
            self.schedule(
                self.random.randrange(1, 30) * MS + extra_delay_us,
                self.deliver_message,
                sender,
                receiver,
                body,
            )

    def deliver_message(self, sender: int, receiver: int, body: bytes) -> None:
        """Feed a datagram to the gateway that receives it."""
        self.feed(record(2, "HHII", receiver, sender, 0, len(body)), tail=body)

    # -- gateways

    def restart_gateway(self, gateway: int) -> None:
        """Stop a gateway, start it again and send it a cached endpoint list."""
        self.start_gateway(gateway, record(8, "H", gateway))
        self.send_endpoint_list(
            CACHED, [endpoint for endpoint in self.endpoints if endpoint.state != GONE], gateway
        )

    def delay_timers(self, gateway: int, delay_us: int) -> None:
        """Delay a gateway's timers, as if its process were paused."""
        self.delayed_until[gateway] = self.now + delay_us

    def start_gateway(self, gateway: int, *records_before: bytes) -> None:
        """Start a gateway; ``records_before`` precede its start in the frame."""
        self.incarnations[gateway] += 1
        text, seed = self.settings_texts[gateway], self.seeds[gateway]
        start = record(7, "HQII", gateway, seed, 0, len(text))
        self.frames.append(frame(self.now, [*records_before, start], text))
        self.gateways[gateway] = make_gateway(text, seed, self.now)
        self.record_actions(gateway, self.gateways[gateway].start())

    def run(self) -> Session:
        """Run the whole session."""
        clients = SessionClients(self)
        for gateway in range(self.gateway_count):
            self.start_gateway(gateway)
        self.send_endpoint_list(COMPLETE, self.endpoints)
        self.schedule(0, clients.send_requests, 1)
        self.schedule(2 * SECOND, self.change_endpoints)
        self.schedule(3 * SECOND, clients.feed_ignored_events)
        self.schedule(8 * SECOND, self.remove_all_endpoints, 300 * MS)
        self.schedule(6 * SECOND, self.restart_gateway, 1)
        for age in (2, 3, 4):
            self.schedule(age * SECOND, self.delay_timers, 0, 700 * MS)
        if self.with_quota_events:
            self.schedule(SECOND, clients.feed_quota_events)
        while self.scheduled and self.scheduled[0][0] <= self.end:
            self.now, _, function, values = heapq.heappop(self.scheduled)
            function(*values)
        return self

    def golden_value(self) -> dict[str, Any]:
        """Return the values that the golden file stores for the session."""
        return {
            "events": self.event_count,
            "actions": {str(code): count for code, count in sorted(self.action_counts.items())},
            "digests": self.digests,
            "digest": self.digest.hexdigest(),
        }
