"""Read the configuration of a gateway on the platform: environment variable, file and policy settings.

The policy settings in the file have the form of the simulator protocol, whose parser reads them. The fields
that only the platform gateway needs, such as names and connection timeouts, are read here. ``name=`` gives
the key in the file where it differs from the field's name.
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
MIN_SOCKETS = 64  # with fewer, too few are left besides the reserved descriptors, see ``resource_limits``
SOCKETS_LIMIT = 1 << 31  # exclusive


class ConfigurationError(Exception):
    """The configuration is not valid; the message names the file or variable, the field and the reason."""


class MachineLimits(msgspec.Struct, frozen=True):
    """The resources of the machine; ``sockets`` is the maximum number of file descriptors."""

    cores: float
    memory_mb: float
    sockets: float


class _NamedEntry(msgspec.Struct, frozen=True):
    name: str


class _Permissions(msgspec.Struct, frozen=True):
    endpoint_idle_us: float = msgspec.field(name="idleClose", default=0)
    connect_timeout_us: float = msgspec.field(name="connectTimeout", default=0)
    max_requests_in_flight: float = msgspec.field(name="openCap", default=0)
    may_send_retry_after: bool = msgspec.field(name="retryAfter", default=False)


class _FamilyInfo(msgspec.Struct, frozen=True):
    max_units: float = msgspec.field(name="unitsTop", default=1.0)


class PlatformSettings(msgspec.Struct, frozen=True):
    """The part of the settings that the platform gateway reads besides the policy."""

    classes: tuple[_NamedEntry, ...]
    plans: tuple[_NamedEntry, ...] = msgspec.field(name="packages")
    permissions: _Permissions
    zones: tuple[str, ...] = ()
    family_info: _FamilyInfo = msgspec.field(name="familyInfo", default=_FamilyInfo())


class ConfigurationFile(msgspec.Struct, frozen=True):
    """The content of the configuration file before its addresses and settings are parsed."""

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
    """A parsed and validated configuration."""

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
    """Return the path of the configuration file. Raises ConfigurationError if the variable is not set."""
    path = environment.get(PATH_VARIABLE)
    if not path:
        raise ConfigurationError(
            f"environment variable {PATH_VARIABLE} is not set; it names the configuration file"
        )
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
        raise ConfigurationError(
            f"{path}: limits.sockets: found {sockets}, allowed: {MIN_SOCKETS} to 2**31 - 1"
        )


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
