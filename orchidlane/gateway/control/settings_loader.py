"""Reads settings files and what they refer to: addresses, the hot restart's socket, the shared secret."""

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
MAX_UNIX_PATH_BYTES = 107  # unix(7): sun_path less its final zero


@cache
def schema_text() -> str:
    """Return the text of the schema."""
    return SCHEMA_PATH.read_text()


def load_settings(path: str) -> FleetSettings:
    """Read a settings file; its relative paths are taken from its own directory.

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
    """Parse the text of a settings file; ``file`` is for messages. Raises ConfigError."""
    return config.load(text, file, schema_text(), "#Fleet", FleetSettings)


def parse_host_port(text: str) -> Address:
    """Split ``host:port``, which the schema has checked."""
    host, _, port = text.rpartition(":")
    return host, int(port)


def hot_restart_address(fleet: FleetSettings, entry: GatewayEntry) -> Address | None:
    """Return the Unix socket of a gateway's hot restart, None without a state directory.

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
    """Read the fleet's key for datagrams.

    Raises ValueError where it is too short or other users may read it, OSError where it can't be read.
    """
    with open(path, "rb") as file:
        if os.fstat(file.fileno()).st_mode & OTHERS_PERMISSIONS:
            raise ValueError(f"{path}: others may read this secret; take their rights off it")
        secret = file.read(MAX_SECRET_FILE_BYTES).strip()
    if len(secret) < MIN_SECRET_BYTES:
        raise ValueError(f"{path}: a secret has at least {MIN_SECRET_BYTES} bytes")
    return secret
