"""A fleet's settings as records, and what the decision module is told of them."""

from __future__ import annotations

import os
from functools import cache
from pathlib import Path

import msgspec

from orchidlane import config, policy
from orchidlane.config import Duration, Size
from orchidlane.routes import Generation
from orchidlane.runtime import Address

SCHEMA = Path(__file__).with_name("schema.cue")
SECRET_LEAST = 16  # bytes
START_WITHIN = 30_000_000  # microseconds beyond an upgrade's own terms: a process takes a while to start
PATH_MOST = 107  # bytes of a Unix socket's path, unix(7)


class Ceiling(msgspec.Struct, frozen=True):
    """See ``#Ceiling``."""

    rate: float
    burst: float
    slack: float


class Plan(msgspec.Struct, frozen=True):
    """See ``#Plan``."""

    rate: float
    burst: float
    open: int
    price: float
    beyond_earns: float
    beyond_costs: float
    spread: int
    ceiling: Ceiling | None = None


class GatewayEntry(msgspec.Struct, frozen=True):
    """See ``#Gateway``."""

    name: str
    listen: str
    peer: str
    admin: str
    resp: str
    zone: str


class Nodes(msgspec.Struct, frozen=True):
    """See ``#Nodes``; spans in microseconds."""

    list: str
    drain_grace: Duration
    cold_from: float
    warm_within: Duration
    fall_multiple: float
    overload_for: Duration
    full_header: str
    report_header: str
    reports: tuple[str, ...]


class Peers(msgspec.Struct, frozen=True):
    """See ``#Peers``."""

    secret_file: str
    intake: float


class Bounds(msgspec.Struct, frozen=True):
    """See ``#Bounds``; sizes in bytes."""

    connections: int
    open: int
    node_connections: int
    request_line: Size
    request_head: Size
    request_headers: int
    request_body: Size
    held_body: Size
    held_answer: Size
    pipelined: Size
    lingering: int
    nodes: int
    customers: int

    @property
    def all_node_connections(self) -> int:
        """As many as each node may have."""
        return self.nodes * self.node_connections


class Times(msgspec.Struct, frozen=True):
    """See ``#Times``; spans in microseconds."""

    head: Duration
    body: Duration
    idle: Duration
    write: Duration
    connect: Duration
    node_idle: Duration
    unsafe_idle: Duration
    client_margin: Duration
    drain: Duration
    linger: Duration

    @property
    def newcomer(self) -> int:
        """A new client may be silent for as long as one between two requests."""
        return 0

    @property
    def node_rest(self) -> int:
        """Nodes answer once: a connection is taken up again at once."""
        return 0

    @property
    def wrong(self) -> int:
        """An error leaves at once."""
        return 0

    @property
    def idle_least(self) -> int:
        """Any idle client may go to make room."""
        return 0


class LimitTerms(msgspec.Struct, frozen=True):
    """See ``#Limits``; spans in microseconds."""

    passwords: tuple[str, ...]
    token_life: Duration
    tokens: int
    grants: int
    grant_life: Duration
    credit_life: Duration
    reserve_most: Duration
    within_most: Duration
    answer: Duration
    again: Duration
    intake: float
    connections: int
    bulk: Size
    items: int


class UpgradeTerms(msgspec.Struct, frozen=True):
    """See ``#Upgrade``; spans in microseconds."""

    warm: Duration
    trial: Duration
    silence: Duration

    @property
    def most(self) -> int:
        """Microseconds that one upgrade may take in all."""
        return int(self.warm) + int(self.trial) + START_WITHIN


class RestartTerms(msgspec.Struct, frozen=True):
    """See ``#Restart``; the span in microseconds."""

    every: Duration


class RollTerms(msgspec.Struct, frozen=True):
    """See ``#Roll``; the span in microseconds."""

    share: float
    set_share: float
    load: float
    halls: int
    soak: Duration
    growth: int


class ChangeTerms(msgspec.Struct, frozen=True):
    """See ``#Change``; spans in microseconds."""

    voters: tuple[str, ...]
    lease: Duration
    every: Duration
    beat: Duration
    silence: Duration
    decide: Duration
    content: Size
    intake: float
    move: float
    soak: Duration


class Fleet(msgspec.Struct, frozen=True):
    """See ``#Fleet``."""

    description: str
    customers: str
    state: str
    gateways: tuple[GatewayEntry, ...]
    plans: dict[str, Plan]
    nodes: Nodes
    peers: Peers
    bounds: Bounds
    times: Times
    limits: LimitTerms
    upgrade: UpgradeTerms
    roll: RollTerms
    restart: RestartTerms
    change: ChangeTerms
    max_attempts: int
    log_requests: bool


@cache
def schema() -> str:
    """The text of the schema."""
    return SCHEMA.read_text()


def load_fleet(path: str) -> Fleet:
    """The settings of a file, its relative paths taken from its folder. Raises ConfigError, OSError."""
    fleet = parse_fleet(Path(path).read_text(), path)
    base = Path(path).parent
    peers = msgspec.structs.replace(fleet.peers, secret_file=str(base / fleet.peers.secret_file))
    return msgspec.structs.replace(
        fleet,
        description=str(base / fleet.description),
        customers=str(base / fleet.customers),
        state=str(base / fleet.state) if fleet.state else "",
        peers=peers,
    )


def parse_fleet(text: str, file: str) -> Fleet:
    """The settings of a text. Raises ConfigError."""
    return config.load(text, file, schema(), "#Fleet", Fleet)


def address(text: str) -> Address:
    """Host and port of ``host:port``."""
    host, _, port = text.rpartition(":")
    return host, int(port)


def upgrade_address(fleet: Fleet, entry: GatewayEntry) -> Address | None:
    """The Unix socket at which a gateway hands over to its successor; none without a folder for its state.

    Raises ValueError where the path is too long for one.
    """
    if not fleet.state:
        return None
    path = os.path.abspath(f"{fleet.state}/{entry.name}.upgrade")
    if len(os.fsencode(path)) > PATH_MOST:
        raise ValueError(
            f"state: {path} is longer than the {PATH_MOST} bytes that a Unix socket's path may have"
        )
    return path, 0


def read_secret(path: str) -> bytes:
    """The fleet's key for datagrams. Raises ValueError where it is too short or others may read it."""
    with open(path, "rb") as file:
        if os.fstat(file.fileno()).st_mode & 0o007:
            raise ValueError(f"{path}: others may read this secret; take their rights off it")
        secret = file.read(4096).strip()
    if len(secret) < SECRET_LEAST:
        raise ValueError(f"{path}: a secret has at least {SECRET_LEAST} bytes")
    return secret


def module_settings(fleet: Fleet, rank: int, generation: Generation) -> policy.Settings:
    """What the decision module of one gateway is told when it starts."""
    nodes = fleet.nodes
    return policy.Settings(
        replica=rank,
        replica_count=len(fleet.gateways),
        zone=0,
        classes=generation.classes,
        plans=tuple(_module_plan(plan) for plan in fleet.plans.values()),
        may_gossip=len(fleet.gateways) > 1,
        may_check_health=False,
        may_cancel=True,
        may_hedge=False,
        max_attempts=fleet.max_attempts,
        max_retry_after_us=1_000_000,
        peer_messages_per_second=fleet.peers.intake,
        peer_charge=0.0,
        health_check_charge=0.0,
        waste_charge=0.0,
        cross_zone_charge=0.0,
        has_shared_counter=False,
        polls_endpoint_list=True,
        poll_timeout_us=10_000_000,
        load_report_source=policy.LoadReportSource.INLINE if nodes.reports else policy.LoadReportSource.NONE,
        load_report_names=nodes.reports,
        slow_start_initial_share=nodes.cold_from,
        slow_start_duration_us=int(nodes.warm_within),
        overload_multiple=nodes.fall_multiple,
        overload_duration_us=int(nodes.overload_for),
        drain_grace_us=int(nodes.drain_grace),
    )


def _module_plan(plan: Plan) -> policy.Plan:
    ceiling = plan.ceiling or Ceiling(0.0, 0.0, 0.0)
    return policy.Plan(
        rate=plan.rate,
        burst=plan.burst,
        max_in_flight=plan.open,
        price=plan.price,
        over_quota_credit=plan.beyond_earns,
        over_quota_charge=plan.beyond_costs,
        ceiling_rate=ceiling.rate,
        ceiling_burst=ceiling.burst,
        ceiling_slack=ceiling.slack,
    )
