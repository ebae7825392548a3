"""What a gateway of the platform is told: environment, configuration file, the module's settings.

The settings go to the module through the adapter's own parser, as they are; what else of them the platform
needs (names, spans of connections) is read here. Nothing here decides on a request.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

import msgspec

from orchidlane import policy
from orchidlane.platform.discovery import ListLine
from orchidlane.runtime import Address
from orchidlane.runtime.backend import parse_address
from orchidlane.simulator_protocol import settings_json
from orchidlane.simulator_protocol.errors import ProtocolError

SOCKETS_LEAST = 64  # descriptors: less leaves too few beside those that are kept free (``terms.py``)


class ConfigError(Exception):
    """The configuration can't be used; says which file or variable, which field, and why."""


class Limits(msgspec.Struct, frozen=True):
    """What the machine gives."""

    cores: float
    memory_mb: float
    sockets: float


class _Named(msgspec.Struct, frozen=True):
    name: str


class _Permissions(msgspec.Struct, frozen=True, rename="camel"):
    idle_close: float = 0
    connect_timeout: float = 0
    open_cap: float = 0
    retry_after: bool = False


class _Family(msgspec.Struct, frozen=True, rename="camel"):
    units_top: float = 1.0


class Names(msgspec.Struct, frozen=True, rename="camel"):
    """What the platform itself reads of the settings; spans in microseconds."""

    classes: tuple[_Named, ...]
    packages: tuple[_Named, ...]
    permissions: _Permissions
    zones: tuple[str, ...] = ()
    family_info: _Family = _Family()


class File(msgspec.Struct, frozen=True):
    """The configuration file."""

    name: str
    listen: str
    discovery: str
    seed: str
    limits: Limits
    settings: msgspec.Raw
    peer_listen: str | None = None
    peers: tuple[str, ...] | None = None
    known: ListLine | None = None


@dataclass(frozen=True, slots=True)
class Config:
    """One checked configuration."""

    name: str
    listen: Address
    discovery: Address
    seed: int
    limits: Limits
    peer_listen: Address | None
    peers: tuple[Address, ...]
    known: ListLine | None
    settings: policy.Settings
    names: Names


def parse(text: bytes, file: str) -> Config:
    """A configuration file's text, checked whole. Raises ConfigError."""
    try:
        found = msgspec.json.decode(text, type=File)
        settings = bytes(found.settings)
        names = msgspec.json.decode(settings, type=Names)
        module = settings_json.parse_settings(settings)
    except (msgspec.DecodeError, UnicodeDecodeError, ProtocolError) as wrong:
        raise ConfigError(f"{file}: {wrong}") from None
    if not SOCKETS_LEAST <= found.limits.sockets < 1 << 31:
        raise ConfigError(
            f"{file}: limits.sockets: found {found.limits.sockets}, allowed: from {SOCKETS_LEAST} on"
        )
    try:
        seed = int(found.seed, 16)
    except ValueError:
        raise ConfigError(f"{file}: seed: found {found.seed!r}, allowed: hexadecimal digits") from None
    peers = tuple(_address(peer, file, f"peers[{number}]") for number, peer in enumerate(found.peers or ()))
    return Config(
        name=found.name,
        listen=_address(found.listen, file, "listen"),
        discovery=_address(found.discovery, file, "discovery"),
        seed=seed,
        limits=found.limits,
        peer_listen=_address(found.peer_listen, file, "peer_listen") if found.peer_listen else None,
        peers=peers,
        known=found.known,
        settings=module,
        names=names,
    )


def _address(text: str, file: str, field: str) -> Address:
    try:
        return parse_address(text)
    except ValueError as wrong:
        raise ConfigError(f"{file}: {field}: {wrong}") from None


def path_of(environment: Mapping[str, str]) -> str:
    """Where the configuration is. Raises ConfigError."""
    path = environment.get("PROXY_CONFIG")
    if not path:
        raise ConfigError("environment: PROXY_CONFIG is missing, it names the configuration file")
    return path
