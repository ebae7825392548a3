"""Clients of a simulated session: requests, quota requests and events that policies ignore."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from harness.constants import MS, SECOND
from harness.session_records import (
    SERVED,
    START_US,
    count_recovered_event,
    quota_requested_event,
    record,
    replica_set_changed_event,
    request_record,
)

if TYPE_CHECKING:
    from harness.golden_session import Session


class SessionCustomer(NamedTuple):
    """A customer with its plan, and the start and size of its replica set."""

    number: int
    plan: int
    first: int
    size: int


class SessionClients:
    """Feeds a session events that clients cause; each ``send_`` and ``feed_`` method reschedules itself."""

    def __init__(self, session: Session) -> None:
        self.session = session
        self.random = session.random
        self.request_count = 0

    def random_customer(self) -> SessionCustomer:
        """Return a random customer: a few occur often, many only once."""
        gateways = self.session.gateway_count
        number = min(int(4 * self.random.paretovariate(0.5)), 5_000)
        sizes = (1, 2, 3, gateways, gateways, min(13, gateways))
        size = min(sizes[number // 2 % 6], gateways)
        return SessionCustomer(number, number % 6, number * 7 % gateways, size)

    def _random_replica(self, customer: SessionCustomer) -> int:
        """Return a random gateway of a customer's replica set."""
        return (customer.first + self.random.randrange(customer.size)) % self.session.gateway_count

    def send_requests(self, burst: int) -> None:
        """Feed a burst of requests from one client; from 10 to 11 s, bursts are 20 times as frequent."""
        customer = self.random_customer()
        gateway = self._random_replica(customer)
        for _ in range(burst):
            self._send_request(gateway, customer)
        is_load_peak = 10 * SECOND < self.session.now - START_US < 11 * SECOND
        pause_us = self.random.randrange(1, 16 * MS) // (20 if is_load_peak else 1)
        self.session.schedule(pause_us, self.send_requests, self.random.choice((1, 1, 1, 4)))

    def _send_request(self, gateway: int, customer: SessionCustomer) -> None:
        self.request_count += 1
        time_left_us = self.random.choice((2_000_000, 2_000_000, 400_000, 20_000))
        request_class, units = self.random.randrange(5), self.random.choice((1.0, 1.0, 2.0, 5.0))
        is_retry = self.random.random() < 0.1
        self.session.feed(
            request_record(
                gateway,
                self.request_count,
                customer.number,
                customer.plan,
                request_class,
                units,
                time_left_us,
                customer.first,
                customer.size,
                is_retry,
            )
        )
        if self.random.random() < 0.05:
            disconnected = record(3, "HI", gateway, self.request_count)
            self.session.schedule(self.random.randrange(100 * MS), self.session.feed, disconnected)

    def feed_quota_events(self) -> None:
        """Feed a random event that the simulator's protocol has no record for."""
        customer = self.random_customer()
        gateway = self._random_replica(customer)
        kind_draw = self.random.random()
        if kind_draw < 0.8:
            self._request_quota(gateway, customer)
        elif kind_draw < 0.9:
            start = self.session.now // MS // 62 - self.random.randrange(50)
            event = count_recovered_event(*customer, start, self.random.uniform(0, 9))
            self.session.feed_event(gateway, event)
        else:
            self._change_replica_set(customer)
        self.session.schedule(self.random.randrange(30 * MS), self.feed_quota_events)

    def _request_quota(self, gateway: int, customer: SessionCustomer) -> None:
        self.request_count += 1
        request_class = self.random.randrange(5)
        event = quota_requested_event(
            self.request_count,
            customer.number,
            customer.plan,
            request_class,
            1.0,
            customer.first,
            customer.size,
        )
        self.session.feed_event(gateway, event)

    def _change_replica_set(self, customer: SessionCustomer) -> None:
        gateways = self.session.gateway_count
        first = self.random.randrange(gateways)
        for gateway in range(gateways):
            size = self.random.randrange(1, gateways + 1)
            event = replica_set_changed_event(customer.number, customer.plan, first, size)
            self.session.feed_event(gateway, event)

    def feed_ignored_events(self) -> None:
        """Feed events without effect: of calls, timers and requests that the gateway does not know."""
        gateway = self.random.randrange(self.session.gateway_count)
        endpoint = self.random.choice(self.session.endpoints)
        self.session.feed(
            record(10, "HfIHQ", gateway, 38.0, 900, SERVED, 7),
            record(11, "HIH6sB4f", gateway, 900, SERVED, endpoint.name, 2, 0.5, 2.0, 0.0, 0.0),
            record(1, "HQ", gateway, 9_999_999),
            record(3, "HI", gateway, 9_999_999),
        )
        self.session.schedule(500 * MS, self.feed_ignored_events)
