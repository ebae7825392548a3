"""The configuration of a gateway of the platform: environment, configuration file, the policy's settings.

The settings go to the policy through the simulator protocol's parser, as they are; what else of them the
platform needs (names, timeouts of connections) is read here. Records have the code's names; ``name=`` gives
the key of the file where it differs.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

import msgspec

from orchidlane import policy
from orchidlane.platform.discovery import DiscoveryEvent
from orchidlane.runtime import Address
from orchidlane.runtime.backend import parse_address
from orchidlane.simulator_protocol import settings_json
from orchidlane.simulator_protocol.errors import ProtocolError

PATH_VARIABLE = "PROXY_CONFIG"
MIN_SOCKETS = 64  # fewer leave too few beside the reserved descriptors, see ``resource_limits``
SOCKETS_LIMIT = 1 << 31


class ConfigurationError(Exception):
    """The configuration is not valid; the message names file or variable, field, and reason."""


class MachineLimits(msgspec.Struct, frozen=True):
    """The resources of the machine; ``sockets`` are file descriptors."""

    cores: float
    memory_mb: float
    sockets: float


class _Named(msgspec.Struct, frozen=True):
    name: str


class _Permissions(msgspec.Struct, frozen=True):
    endpoint_idle_us: float = msgspec.field(name="idleClose", default=0)
    connect_timeout_us: float = msgspec.field(name="connectTimeout", default=0)
    max_requests_in_flight: float = msgspec.field(name="openCap", default=0)
    may_send_retry_after: bool = msgspec.field(name="retryAfter", default=False)


class _Family(msgspec.Struct, frozen=True):
    max_units: float = msgspec.field(name="unitsTop", default=1.0)


class PlatformSettings(msgspec.Struct, frozen=True):
    """What the platform itself needs of the settings."""

    classes: tuple[_Named, ...]
    plans: tuple[_Named, ...] = msgspec.field(name="packages")
    permissions: _Permissions
    zones: tuple[str, ...] = ()
    family_info: _Family = msgspec.field(name="familyInfo", default=_Family())


class ConfigurationFile(msgspec.Struct, frozen=True):
    """The configuration file."""

    name: str
    listen: str
    discovery: str
    seed: str
    limits: MachineLimits
    settings: msgspec.Raw
    peer_listen: str | None = None
    peers: tuple[str, ...] | None = None
    last_known_list: DiscoveryEvent | None = msgspec.field(name="known", default=None)


@dataclass(frozen=True, slots=True)
class Configuration:
    """A checked configuration."""

    name: str
    listen: Address
    discovery: Address
    seed: int
    limits: MachineLimits
    peer_listen: Address | None
    peers: tuple[Address, ...]
    last_known_list: DiscoveryEvent | None
    policy_settings: policy.Settings
    platform_settings: PlatformSettings


def configuration_path(environment: Mapping[str, str]) -> str:
    """Return the path of the configuration file. Raises ConfigurationError."""
    path = environment.get(PATH_VARIABLE)
    if not path:
        raise ConfigurationError(f"environment: {PATH_VARIABLE} is missing, it names the configuration file")
    return path


def parse_configuration(text: bytes, path: str) -> Configuration:
    """Parse and check the text of a configuration file. Raises ConfigurationError."""
    try:
        file = msgspec.json.decode(text, type=ConfigurationFile)
        settings = bytes(file.settings)
        platform_settings = msgspec.json.decode(settings, type=PlatformSettings)
        policy_settings = settings_json.parse_settings(settings)
    except (msgspec.DecodeError, UnicodeDecodeError, ProtocolError) as error:
        raise ConfigurationError(f"{path}: {error}") from None
    _check_sockets(file.limits.sockets, path)
    seed = _parse_seed(file.seed, path)
    peers = tuple(
        _parse_address(peer, path, f"peers[{number}]") for number, peer in enumerate(file.peers or ())
    )
    return Configuration(
        name=file.name,
        listen=_parse_address(file.listen, path, "listen"),
        discovery=_parse_address(file.discovery, path, "discovery"),
        seed=seed,
        limits=file.limits,
        peer_listen=_parse_address(file.peer_listen, path, "peer_listen") if file.peer_listen else None,
        peers=peers,
        last_known_list=file.last_known_list,
        policy_settings=policy_settings,
        platform_settings=platform_settings,
    )


def _check_sockets(sockets: float, path: str) -> None:
    if not MIN_SOCKETS <= sockets < SOCKETS_LIMIT:
        raise ConfigurationError(f"{path}: limits.sockets: found {sockets}, allowed: from {MIN_SOCKETS} on")


def _parse_seed(text: str, path: str) -> int:
    try:
        return int(text, 16)
    except ValueError:
        raise ConfigurationError(f"{path}: seed: found {text!r}, allowed: hexadecimal digits") from None


def _parse_address(text: str, path: str, field: str) -> Address:
    try:
        return parse_address(text)
    except ValueError as error:
        raise ConfigurationError(f"{path}: {field}: {error}") from None
