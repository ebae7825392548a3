"""The interface to the running policy; defined here, so that telemetry does not import forwarding."""

from __future__ import annotations

from typing import NamedTuple, Protocol

from orchidlane import policy
from orchidlane.policy.gateway import Gateway
from orchidlane.runtime import EventLoop


class PolicySource(Protocol):
    """The running policy with its settings and the loop that it runs on."""

    loop: EventLoop
    settings: policy.Settings
    gateway: Gateway


class PolicyNames(NamedTuple):
    """The names of request classes and plans, by their numbers in a state."""

    classes: tuple[str, ...]
    plans: tuple[str, ...]
