"""The common part of HTTP and quota clients: customers, gateways, and random send times."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from dataclasses import dataclass
from typing import NamedTuple

from orchidlane.runtime import EventLoop
from orchidlane.runtime.backend import Address
from orchidlane.simulation.observations import Record

CONNECT_TIMEOUT_US = 300_000
MICROSECONDS_PER_SECOND = 1_000_000


class GatewayAddress(NamedTuple):
    """A gateway's name, and the address at which it serves clients."""

    name: str
    address: Address


@dataclass(frozen=True, slots=True)
class ClientProfile:
    """The clients of one customer; their share of the load is ``weight`` over the sum of all weights."""

    customer: int
    key: str
    weight: float
    gateways: tuple[int, ...]  # ranks of the customer's replica set, the most used first


@dataclass(kw_only=True)
class ClientLoad:
    """An open-loop load: ``rate`` requests per second, whether or not earlier requests have responses."""

    loop: EventLoop
    gateways: list[GatewayAddress]
    profiles: list[ClientProfile]
    rate: float
    duration_us: int
    record: Callable[[Record], None]
    sent_count: int = 0

    def arrivals(self) -> Iterator[None]:
        """Wait for each arrival of a Poisson process, and yield; stop when ``duration_us`` is over."""
        random, started_at = self.loop.backend.random, self.loop.now()
        due = float(self.loop.now())
        while due < started_at + self.duration_us:
            due += random.expovariate(self.rate) * MICROSECONDS_PER_SECOND
            self.loop.sleep(int(due) - self.loop.now())
            yield

    def choose_profile(self) -> ClientProfile:
        """Choose the customer of the next request at random, by weight."""
        weights = [profile.weight for profile in self.profiles]
        return self.loop.backend.random.choices(self.profiles, weights)[0]
