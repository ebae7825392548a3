"""The settings of a fleet as typed records.

A record's fields have the code's names; ``name=`` gives the key that settings files use where it differs.
The schema of the files, with defaults and limits, is ``schema.cue``; ``#Name`` in a docstring refers to the
definition there. Durations are in microseconds, sizes in bytes.
"""

from __future__ import annotations

import msgspec

from orchidlane.config import Duration, Size

PROCESS_START_TIMEOUT_US = 30_000_000


class Ceiling(msgspec.Struct, frozen=True):
    """``#Ceiling``: a hard limit above a customer's quota; in units, ``rate`` in units per second."""

    rate: float
    burst: float
    slack: float


class Plan(msgspec.Struct, frozen=True):
    """``#Plan``: the quotas of each customer on one plan."""

    rate: float
    burst: float
    max_in_flight: int = msgspec.field(name="open")
    price: float
    over_quota_credit: float = msgspec.field(name="beyond_earns")
    over_quota_charge: float = msgspec.field(name="beyond_costs")
    replica_set_size: int = msgspec.field(name="spread")  # 0 for all gateways
    ceiling: Ceiling | None = None


class GatewayEntry(msgspec.Struct, frozen=True):
    """``#Gateway``: the addresses of one gateway; its rank is its index in the list."""

    name: str
    listen: str
    peer: str
    admin: str
    resp: str
    zone: str


class EndpointSettings(msgspec.Struct, frozen=True):
    """``#Nodes``: the endpoint list service, and how endpoints start, drain and report load."""

    list_address: str = msgspec.field(name="list")
    drain_grace_us: Duration = msgspec.field(name="drain_grace")
    slow_start_initial_share: float = msgspec.field(name="cold_from")
    slow_start_duration_us: Duration = msgspec.field(name="warm_within")
    overload_multiple: float = msgspec.field(name="fall_multiple")
    overload_duration_us: Duration = msgspec.field(name="overload_for")
    rejection_header: str = msgspec.field(name="full_header")
    load_report_header: str = msgspec.field(name="report_header")
    load_report_names: tuple[str, ...] = msgspec.field(name="reports")


class PeerSettings(msgspec.Struct, frozen=True):
    """``#Peers``: gossip between the gateways."""

    secret_file: str
    messages_per_second: float = msgspec.field(name="intake")


class ResourceLimits(msgspec.Struct, frozen=True):
    """``#Bounds``: resource limits of one gateway."""

    max_connections: int = msgspec.field(name="connections")
    max_requests_in_flight: int = msgspec.field(name="open")
    max_connections_per_endpoint: int = msgspec.field(name="node_connections")
    max_request_line_bytes: Size = msgspec.field(name="request_line")
    max_request_head_bytes: Size = msgspec.field(name="request_head")
    max_request_headers: int = msgspec.field(name="request_headers")
    max_request_body_bytes: Size = msgspec.field(name="request_body")
    max_replay_bytes: Size = msgspec.field(name="held_body")
    max_buffered_response_bytes: Size = msgspec.field(name="held_answer")
    max_pipelined_bytes: Size = msgspec.field(name="pipelined")
    max_lingering_connections: int = msgspec.field(name="lingering")
    max_endpoints: int = msgspec.field(name="nodes")
    max_customers: int = msgspec.field(name="customers")

    @property
    def max_endpoint_connections(self) -> int:
        """Maximum connections to all endpoints together: ``max_endpoints`` times the limit of each."""
        return self.max_endpoints * self.max_connections_per_endpoint


class Timeouts(msgspec.Struct, frozen=True):
    """``#Times``: how long the steps of a request may take."""

    request_head_us: Duration = msgspec.field(name="head")
    body_progress_us: Duration = msgspec.field(name="body")
    client_idle_us: Duration = msgspec.field(name="idle")
    client_write_us: Duration = msgspec.field(name="write")
    endpoint_connect_us: Duration = msgspec.field(name="connect")
    endpoint_idle_us: Duration = msgspec.field(name="node_idle")
    non_idempotent_idle_us: Duration = msgspec.field(name="unsafe_idle")
    response_margin_us: Duration = msgspec.field(name="client_margin")
    drain_us: Duration = msgspec.field(name="drain")
    linger_us: Duration = msgspec.field(name="linger")

    @property
    def first_request_us(self) -> int:
        """0: a new client may be silent for as long as a client between two requests."""
        return 0

    @property
    def endpoint_reuse_delay_us(self) -> int:
        """0: endpoints send one response to a request, so a connection can be reused at once."""
        return 0

    @property
    def endpoint_settle_us(self) -> int:
        """0: for the same reason."""
        return 0

    @property
    def error_delay_us(self) -> int:
        """0: an error response is sent at once."""
        return 0

    @property
    def min_client_idle_us(self) -> int:
        """0: any idle client connection may be closed to make room for a new one."""
        return 0

    @property
    def min_silent_client_us(self) -> int:
        """0: the same holds before the first request."""
        return 0


class QuotaSettings(msgspec.Struct, frozen=True):
    """``#Limits``: the quota server, which speaks RESP."""

    passwords: tuple[str, ...]
    token_lifetime_us: Duration = msgspec.field(name="token_life")
    max_tokens: int = msgspec.field(name="tokens")
    max_grants: int = msgspec.field(name="grants")
    grant_lifetime_us: Duration = msgspec.field(name="grant_life")
    credit_lifetime_us: Duration = msgspec.field(name="credit_life")
    max_reservation_us: Duration = msgspec.field(name="reserve_most")
    max_wait_us: Duration = msgspec.field(name="within_most")
    peer_reply_timeout_us: Duration = msgspec.field(name="answer")
    retry_delay_us: Duration = msgspec.field(name="again")
    messages_per_second: float = msgspec.field(name="intake")
    max_connections: int = msgspec.field(name="connections")
    max_bulk_bytes: Size = msgspec.field(name="bulk")
    max_command_words: int = msgspec.field(name="items")


class HotRestartSettings(msgspec.Struct, frozen=True):
    """``#Upgrade``: the hand-over from an old process to a new one."""

    transfer_timeout_us: Duration = msgspec.field(name="warm")
    probation_us: Duration = msgspec.field(name="trial")
    silence_timeout_us: Duration = msgspec.field(name="silence")

    @property
    def total_timeout_us(self) -> int:
        """The longest time of a whole hot restart, with the start of the new process."""
        return int(self.transfer_timeout_us) + int(self.probation_us) + PROCESS_START_TIMEOUT_US


class AccountStoreSettings(msgspec.Struct, frozen=True):
    """``#Restart``: the copy of the accounts on disk; a write interval of 0 disables it."""

    write_interval_us: Duration = msgspec.field(name="every")


class RollingUpgradeSettings(msgspec.Struct, frozen=True):
    """``#Roll``: limits on each batch of a rolling upgrade."""

    max_share: float = msgspec.field(name="share")
    max_replica_set_share: float = msgspec.field(name="set_share")
    max_load_share: float = msgspec.field(name="load")
    max_zones: int = msgspec.field(name="halls")
    soak_us: Duration = msgspec.field(name="soak")
    max_batch_growth: int = msgspec.field(name="growth")


class RolloutSettings(msgspec.Struct, frozen=True):
    """``#Change``: versions of the fleet's configuration, approved by a quorum."""

    voting_members: tuple[str, ...] = msgspec.field(name="voters")
    lease_us: Duration = msgspec.field(name="lease")
    poll_interval_us: Duration = msgspec.field(name="every")
    heartbeat_interval_us: Duration = msgspec.field(name="beat")
    election_timeout_us: Duration = msgspec.field(name="silence")
    decision_timeout_us: Duration = msgspec.field(name="decide")
    max_content_bytes: Size = msgspec.field(name="content")
    messages_per_second: float = msgspec.field(name="intake")
    max_migrating_share: float = msgspec.field(name="move")
    soak_us: Duration = msgspec.field(name="soak")


class FleetSettings(msgspec.Struct, frozen=True):
    """``#Fleet``: the whole of a settings file."""

    description: str
    customers: str
    state_directory: str = msgspec.field(name="state")  # "" where nothing is stored
    gateways: tuple[GatewayEntry, ...]
    plans: dict[str, Plan]
    endpoints: EndpointSettings = msgspec.field(name="nodes")
    peers: PeerSettings
    resource_limits: ResourceLimits = msgspec.field(name="bounds")
    timeouts: Timeouts = msgspec.field(name="times")
    quotas: QuotaSettings = msgspec.field(name="limits")
    hot_restart: HotRestartSettings = msgspec.field(name="upgrade")
    rolling_upgrade: RollingUpgradeSettings = msgspec.field(name="roll")
    account_store: AccountStoreSettings = msgspec.field(name="restart")
    rollout: RolloutSettings = msgspec.field(name="change")
    max_attempts: int
    log_requests: bool
