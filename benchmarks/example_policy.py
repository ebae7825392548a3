"""The policy of the example fleet, with endpoints and events for it."""

from __future__ import annotations

from pathlib import Path

from orchidlane import policy
from orchidlane.gateway.control.policy_settings import policy_settings
from orchidlane.gateway.control.settings_loader import parse_settings
from orchidlane.policy.gateway import Gateway
from orchidlane.routes import Generation, build, load_description

MATERIALS = Path(__file__).parent.parent / "examples" / "materials"
START_US = 10**15  # when the policy starts
ENDPOINT_COUNT = 24


def example_generation() -> Generation:
    """Return the routes of the example description."""
    file = MATERIALS / "openapi.yaml"
    return build(load_description(file.read_bytes(), str(file)), str(file))


def example_gateway() -> Gateway:
    """Return the policy of the example fleet's first gateway, without endpoints."""
    fleet = parse_settings((MATERIALS / "fleet.cue").read_text(), "fleet.cue")
    return Gateway(policy_settings(fleet, 0, example_generation()), 1, START_US)


def feed_endpoint_list(gateway: Gateway) -> None:
    """Feed the policy a complete list of ready endpoints."""
    entries = tuple(
        policy.EndpointEntry(b"s%d" % number, policy.EndpointState.READY, 0, 0, 0, 1.0)
        for number in range(ENDPOINT_COUNT)
    )
    complete_list = policy.EndpointListReceived(policy.EndpointListKind.COMPLETE, 1, entries)
    gateway.handle(START_US, complete_list)


def cheap_request(number: int, customer: int) -> policy.RequestArrived:
    """Return the arrival of a request of the first class that costs one unit and has two seconds left."""
    return policy.RequestArrived(number, customer, 0, 0, 1.0, 2_000_000, 0, 3, False)


def served_attempt(number: int, endpoint: bytes, duration_us: int) -> policy.AttemptFinished:
    """Return the finish of a request's first attempt, which was served after ``duration_us``."""
    return policy.AttemptFinished(number, 0, endpoint, policy.Outcome.SERVED, duration_us, True, 0, 0.0, ())
