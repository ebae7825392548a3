"""Where a request's time goes, layer by layer, each measured by itself. ``python -m benchmarks.layers``."""

from __future__ import annotations

import time
from collections.abc import Callable
from pathlib import Path

from orchidlane import http1, policy
from orchidlane.gateway.control.policy_settings import policy_settings
from orchidlane.gateway.control.settings_loader import parse_settings
from orchidlane.policy.gateway import Gateway
from orchidlane.routes import build, load_description

MATERIALS = Path(__file__).parent.parent / "examples" / "materials"
REQUEST = (
    b"GET /v1/sheets/steel HTTP/1.1\r\nHost: g\r\nX-Api-Key: key\r\nAccept: */*\r\n"
    b"User-Agent: bench\r\nGive-Up-After-Ms: 1500\r\n\r\n"
)
ANSWER = b"HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 200\r\n\r\n" + b"x" * 200
COUNT = 20_000


def timed(name: str, work: Callable[[], object]) -> float:
    for _ in range(500):
        work()
    best = float("inf")
    for _ in range(3):
        began = time.perf_counter()
        for _ in range(COUNT):
            work()
        best = min(best, (time.perf_counter() - began) / COUNT * 1e6)
    print(f"{name:28} {best:7.1f} us")
    return best


def parse(parser: http1.RequestParser | http1.ResponseParser, data: bytes) -> None:
    parser.receive(data)
    while not isinstance(parser.next_event(), http1.End):
        pass
    parser.next_message()


def decider() -> Callable[[], None]:
    fleet = parse_settings((MATERIALS / "fleet.cue").read_text(), "fleet.cue")
    file = MATERIALS / "openapi.yaml"
    generation = build(load_description(file.read_bytes(), str(file)), str(file))
    settings = policy_settings(fleet, 0, generation)
    gateway = Gateway(settings, 1, 10**15)
    gateway.start()
    entries = tuple(
        policy.EndpointEntry(b"s%d" % n, policy.EndpointState.READY, 0, 0, 0, 1.0) for n in range(24)
    )
    gateway.handle(10**15, policy.EndpointListReceived(policy.EndpointListKind.COMPLETE, 1, entries))
    state = [10**15, 0]

    def decide() -> None:
        state[0] += 40_000
        state[1] += 1
        now, number = state
        arrived = policy.RequestArrived(number, number % 500, 0, 0, 1.0, 2_000_000, 0, 3, False)
        actions = gateway.handle(now, arrived)
        sends = [action for action in actions if isinstance(action, policy.SendAttempt)]
        for send in sends:
            ended = policy.AttemptEnded(
                number, 0, send.endpoint, policy.Outcome.SERVED, 5_000, True, 0, 0.0, ()
            )
            gateway.handle(now + 5_000, ended)

    return decide


def main() -> None:
    file = MATERIALS / "openapi.yaml"
    generation = build(load_description(file.read_bytes(), str(file)), str(file))
    requests, responses = http1.RequestParser(), http1.ResponseParser()
    headers = [(b"via", b"1.1 g"), (b"content-type", b"text/plain"), (b"content-length", b"200")]
    total = timed("parse a request", lambda: parse(requests, REQUEST))
    total += timed("parse an answer", lambda: parse(responses, ANSWER))
    total += timed("route", lambda: generation.match("GET", b"/v1/sheets/steel"))
    total += timed("decide (arrival and outcome)", decider())
    total += timed("write two heads", lambda: (http1.response_head(200, headers),) * 2)
    print(f"{'sum':28} {total:7.1f} us")


if __name__ == "__main__":
    main()
