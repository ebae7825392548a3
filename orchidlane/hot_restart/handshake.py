"""Decides whether a process that sends ``Hello`` may become the new process of a gateway. No I/O."""

from __future__ import annotations

from dataclasses import dataclass

from orchidlane.hot_restart.messages import PROTOCOL_VERSION, Hello


@dataclass
class GatewayIdentity:
    """Settings that the new process must share with the old one."""

    gateway: str
    rank: int
    gateway_count: int
    plan_names: tuple[str, ...]


def rejection_reason(hello: Hello, identity: GatewayIdentity, phase_in_progress: str | None) -> str | None:
    """Return why a process is rejected, None if it is accepted.

    ``phase_in_progress`` is the phase of another hot restart of the gateway, None if there is none.
    """
    if hello.protocol_version != PROTOCOL_VERSION:
        return f"protocol version {hello.protocol_version} is not supported, only version {PROTOCOL_VERSION}"
    if phase_in_progress is not None:
        return f"another hot restart is in progress: {phase_in_progress}"
    if (hello.gateway, hello.rank) != (identity.gateway, identity.rank):
        return f"wrong gateway: the old process is {identity.gateway}, rank {identity.rank}"
    if hello.gateway_count != identity.gateway_count or hello.plan_names != identity.plan_names:
        return "the settings have another number of gateways or other plans: such changes need a restart"
    return None
