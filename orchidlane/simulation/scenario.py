"""Scenarios read from files: a fleet, its load, and the faults that are injected while it runs.

``scenario.cue`` is the schema. The classes here map the keys of the files to names of the code.
"""

from __future__ import annotations

import enum
from pathlib import Path

import msgspec

from orchidlane import config
from orchidlane.config import Duration

SCHEMA_PATH = Path(__file__).with_name("scenario.cue")
ROOT_DEFINITION = "#Day"


class FaultKind(enum.StrEnum):
    """The kind of fault of a step; the values are those of the key ``do`` in a file."""

    KILL_GATEWAY = "kill_gateway"
    DRAIN_GATEWAY = "drain_gateway"
    FREEZE_GATEWAY = "freeze_gateway"
    HOT_RESTART_GATEWAY = "upgrade_gateway"
    KILL_ENDPOINT = "kill_node"
    DRAIN_ENDPOINT = "drain_node"
    FREEZE_ENDPOINT = "freeze_node"
    PARTITION = "cut_peers"
    DATAGRAM_FAULTS = "peer_faults"
    ENDPOINT_FAULTS = "node_faults"
    DISCOVERY_DELAY = "late_list"


class Step(msgspec.Struct, frozen=True):
    """One fault (``#Step``); ``at`` is counted from the start of the load, probabilities are per message.

    ``targets`` are ranks of gateways or indexes of endpoints, depending on the kind of fault.
    """

    at: Duration
    fault: FaultKind = msgspec.field(name="do")
    targets: tuple[int, ...] = msgspec.field(name="which")
    duration: Duration = msgspec.field(name="for")
    restart_delay: Duration = msgspec.field(name="back", default=Duration(0))
    reset_before: float = 0.0
    reset_after: float = 0.0
    truncate: float = msgspec.field(name="cut", default=0.0)
    hang: float = msgspec.field(name="silent", default=0.0)
    reject: float = msgspec.field(name="full", default=0.0)
    loss: float = 0.0
    duplication: float = msgspec.field(name="double", default=0.0)
    delay: Duration = Duration(0)


class RequestKindEntry(msgspec.Struct, frozen=True):
    """One kind of request (``#Kind``): its share of the load, and its mean work at an endpoint."""

    class_name: str = msgspec.field(name="class")
    share: float = 1.0
    method: str = "GET"
    target: str = "/"
    mean_work: Duration = msgspec.field(name="work", default=Duration(0))
    body_bytes: int = msgspec.field(name="body", default=0)


class Scenario(msgspec.Struct, frozen=True):
    """A scenario (``#Day``); rates are per second."""

    fleet: str
    gateway_count: int = msgspec.field(name="gateways")
    rack_count: int = msgspec.field(name="racks")
    rack_size: int
    cores: float
    customer_count: int = msgspec.field(name="customers")
    request_rate: float = msgspec.field(name="rate")
    duration: Duration = msgspec.field(name="span")
    request_kinds: tuple[RequestKindEntry, ...] = msgspec.field(name="kinds")
    endpoint_list_delay: tuple[Duration, Duration] = msgspec.field(name="list_delay")
    peer_loss: float
    quota_request_rate: float = msgspec.field(name="takes")
    hot_restart_count: int = msgspec.field(name="upgrades")
    response_slack: Duration = msgspec.field(name="answer_slack")
    arrival_slack: Duration
    steps: tuple[Step, ...]

    @property
    def endpoint_count(self) -> int:
        """The number of endpoints in all racks."""
        return self.rack_count * self.rack_size


def load_scenario(path: str) -> Scenario:
    """Return the scenario of a file; its ``fleet`` is a path relative to it. Raises ConfigError, OSError."""
    text = Path(path).read_text()
    scenario = config.load(text, path, SCHEMA_PATH.read_text(), ROOT_DEFINITION, Scenario)
    return msgspec.structs.replace(scenario, fleet=str(Path(path).parent / scenario.fleet))
