"""What the settings have to say where a fleet has versions."""

from __future__ import annotations

from orchidlane.gateway.control.settings import Fleet


def check_rollout_settings(fleet: Fleet) -> None:
    """Raises ValueError where the settings name voters and lack what voting needs."""
    voters, names = fleet.change.voters, [entry.name for entry in fleet.gateways]
    if not voters:
        return
    if len(voters) not in (3, 5, 7) or len(set(voters)) != len(voters):
        raise ValueError(f"change.voters: found {len(voters)}, allowed: 3, 5 or 7, each once")
    unknown = [name for name in voters if name not in names]
    if unknown:
        raise ValueError(f"change.voters: {', '.join(unknown)}: no such gateway")
    without = [entry.name for entry in fleet.gateways if not entry.admin]
    if without:
        raise ValueError(f"change.voters: gateways without an admin address: {', '.join(without)}")
    if not fleet.state:
        raise ValueError("state: a folder is wanted, where votes and versions are kept")
