"""Time that each layer of the gateway takes for a request. ``python -m benchmarks.layers``."""

from __future__ import annotations

import argparse
from collections.abc import Callable

from benchmarks.example_policy import (
    START_US,
    cheap_request,
    example_gateway,
    example_generation,
    feed_endpoint_list,
    served_attempt,
)
from benchmarks.timing import measure_seconds
from orchidlane import http1, policy

REQUEST = (
    b"GET /v1/sheets/steel HTTP/1.1\r\nHost: g\r\nX-Api-Key: key\r\nAccept: */*\r\n"
    b"User-Agent: bench\r\nGive-Up-After-Ms: 1500\r\n\r\n"
)
RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 200\r\n\r\n" + b"x" * 200
RESPONSE_HEADERS = [(b"via", b"1.1 g"), (b"content-type", b"text/plain"), (b"content-length", b"200")]
WARM_UP_CALLS = 500
SERIES = 3  # of calls; the time of the fastest series is reported
REQUEST_INTERVAL_US = 40_000
RESPONSE_TIME_US = 5_000
CUSTOMER_COUNT = 500


def print_call_time(name: str, calls: int, work: Callable[[], object]) -> float:
    """Print and return the microseconds that one call takes in the fastest of several series."""

    def call_repeatedly() -> None:
        for _ in range(calls):
            work()

    for _ in range(WARM_UP_CALLS):
        work()
    fastest_us = min(measure_seconds(call_repeatedly) for _ in range(SERIES)) / calls * 1e6
    print(f"{name:28} {fastest_us:7.1f} us")
    return fastest_us


def parse(parser: http1.RequestParser | http1.ResponseParser, data: bytes) -> None:
    """Parse one complete message."""
    parser.receive(data)
    while not isinstance(parser.next_event(), http1.End):
        pass
    parser.next_message()


class PolicyLoad:
    """Feeds a policy one request after the other."""

    def __init__(self) -> None:
        self._gateway = example_gateway()
        self._gateway.start()
        feed_endpoint_list(self._gateway)
        self._now = START_US
        self._number = 0

    def handle_next_request(self) -> None:
        """Feed the arrival of a request, and the outcome of its attempt if one was sent."""
        self._now += REQUEST_INTERVAL_US
        self._number += 1
        number = self._number
        actions = self._gateway.handle(self._now, cheap_request(number, number % CUSTOMER_COUNT))
        for action in actions:
            if isinstance(action, policy.SendAttempt):
                finished = served_attempt(number, action.endpoint, RESPONSE_TIME_US)
                self._gateway.handle(self._now + RESPONSE_TIME_US, finished)


def write_two_heads() -> None:
    """Build two response heads; the head of a request takes about as long as one of them."""
    http1.response_head(200, RESPONSE_HEADERS)
    http1.response_head(200, RESPONSE_HEADERS)


def main() -> None:
    """Print the time of each layer and their sum."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--calls", type=int, default=20_000, help="Calls in each series.")
    calls = parser.parse_args().calls
    requests, responses = http1.RequestParser(), http1.ResponseParser()
    generation = example_generation()
    layers: dict[str, Callable[[], object]] = {
        "parse a request": lambda: parse(requests, REQUEST),
        "parse a response": lambda: parse(responses, RESPONSE),
        "route": lambda: generation.match("GET", b"/v1/sheets/steel"),
        "decide (arrival and outcome)": PolicyLoad().handle_next_request,
        "write two heads": write_two_heads,
    }
    total_us = sum(print_call_time(name, calls, work) for name, work in layers.items())
    print(f"{'sum':28} {total_us:7.1f} us")


if __name__ == "__main__":
    main()
