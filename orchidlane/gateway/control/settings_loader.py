"""Reads settings files, and the addresses and the shared secret that they refer to."""

from __future__ import annotations

import os
from functools import cache
from pathlib import Path

import msgspec

from orchidlane import config
from orchidlane.gateway.control.settings import FleetSettings, GatewayEntry
from orchidlane.runtime import Address

SCHEMA_PATH = Path(__file__).with_name("schema.cue")
MIN_SECRET_BYTES = 16
MAX_SECRET_FILE_BYTES = 4096
OTHERS_PERMISSIONS = 0o007
MAX_UNIX_PATH_BYTES = 107  # unix(7): sun_path without the terminating null byte


@cache
def schema_text() -> str:
    """Return the text of the settings schema."""
    return SCHEMA_PATH.read_text()


def load_settings(path: str) -> FleetSettings:
    """Read a settings file; paths in it are relative to its directory.

    Raises ConfigError where the settings are not valid, OSError where the file can't be read.
    """
    fleet = parse_settings(Path(path).read_text(), path)
    base = Path(path).parent
    peers = msgspec.structs.replace(fleet.peers, secret_file=str(base / fleet.peers.secret_file))
    return msgspec.structs.replace(
        fleet,
        description=str(base / fleet.description),
        customers=str(base / fleet.customers),
        state_directory=str(base / fleet.state_directory) if fleet.state_directory else "",
        peers=peers,
    )


def parse_settings(text: str, file: str) -> FleetSettings:
    """Parse the text of a settings file; ``file`` is its path for error texts. Raises ConfigError."""
    return config.load(text, file, schema_text(), "#Fleet", FleetSettings)


def parse_host_port(text: str) -> Address:
    """Parse ``host:port``, whose form the schema has checked."""
    host, _, port = text.rpartition(":")
    return host, int(port)


def hot_restart_address(fleet: FleetSettings, entry: GatewayEntry) -> Address | None:
    """Return the address of a gateway's Unix socket for hot restarts, None without a state directory.

    Raises ValueError where the path is too long for a Unix socket.
    """
    if not fleet.state_directory:
        return None
    path = os.path.abspath(f"{fleet.state_directory}/{entry.name}.upgrade")
    if len(os.fsencode(path)) > MAX_UNIX_PATH_BYTES:
        raise ValueError(
            f"state: {path} is longer than the {MAX_UNIX_PATH_BYTES} bytes that a Unix socket's path may have"
        )
    return path, 0


def read_secret(path: str) -> bytes:
    """Read the secret that authenticates the fleet's datagrams.

    Raises ValueError where it is too short or other users have access to it, OSError where it can't be read.
    """
    with open(path, "rb") as file:
        if os.fstat(file.fileno()).st_mode & OTHERS_PERMISSIONS:
            raise ValueError(f"{path}: other users have access to this secret, allowed: owner and group only")
        secret = file.read(MAX_SECRET_FILE_BYTES).strip()
    if len(secret) < MIN_SECRET_BYTES:
        raise ValueError(f"{path}: the secret is too short, allowed: at least {MIN_SECRET_BYTES} bytes")
    return secret
