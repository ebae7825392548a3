"""Whether a process that says hello may take a gateway over. No I/O."""

from __future__ import annotations

from dataclasses import dataclass

from orchidlane.hot_restart.messages import PROTOCOL_VERSION, Hello


@dataclass
class GatewayIdentity:
    """What the new process must share with the old one."""

    gateway: str
    rank: int
    gateway_count: int
    plan_names: tuple[str, ...]


def rejection_reason(hello: Hello, identity: GatewayIdentity, phase_in_progress: str | None) -> str | None:
    """Return why a process is rejected, None if it is accepted.

    ``phase_in_progress`` is that of another upgrade of the gateway, if there is one.
    """
    if hello.protocol_version != PROTOCOL_VERSION:
        return f"format {hello.protocol_version} of the protocol, this build speaks {PROTOCOL_VERSION}"
    if phase_in_progress is not None:
        return f"another upgrade is under way: {phase_in_progress}"
    if (hello.gateway, hello.rank) != (identity.gateway, identity.rank):
        return f"this is {identity.gateway}, rank {identity.rank}"
    if hello.gateway_count != identity.gateway_count or hello.plan_names != identity.plan_names:
        return "other gateways or plans in its settings: these need a restart"
    return None
