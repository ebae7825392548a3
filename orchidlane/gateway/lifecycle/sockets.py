"""The sockets of a gateway by name: listeners, and the datagram socket for its peers.

The listener named "upgrade" is the Unix socket on which a gateway accepts hot restarts.
"""

from __future__ import annotations

from typing import Any

from orchidlane.gateway.control.settings import FleetSettings, GatewayEntry
from orchidlane.gateway.control.settings_loader import hot_restart_address, parse_host_port
from orchidlane.runtime import EventLoop
from orchidlane.runtime.backend import Address, Handle

PEER = "peer"  # the datagram socket; all others are listeners


class GatewaySockets:
    """Open sockets, bound to the addresses in the settings or adopted from the old process."""

    def __init__(self, loop: EventLoop, fleet: FleetSettings, entry: GatewayEntry) -> None:
        self.loop = loop
        self.fleet = fleet
        self.entry = entry
        self._sockets: dict[str, Any] = {}

    def __contains__(self, name: str) -> bool:
        return name in self._sockets

    def __getitem__(self, name: str) -> Any:
        return self._sockets[name]

    @property
    def names(self) -> tuple[str, ...]:
        """Names of the open sockets."""
        return tuple(self._sockets)

    def bind(self, name: str) -> None:
        """Bind a socket, if the settings have an address for it and it is not open yet."""
        if name in self._sockets:
            return
        address = self._address(name)
        if address is not None:
            backend = self.loop.backend
            self._sockets[name] = backend.bind_datagrams(address) if name == PEER else backend.listen(address)

    def _address(self, name: str) -> Address | None:
        if name == "upgrade":
            return hot_restart_address(self.fleet, self.entry)
        entry = self.entry
        text = {"http": entry.listen, "resp": entry.resp, "admin": entry.admin, PEER: entry.peer}[name]
        return parse_host_port(text) if text else None

    def adopt(self, handles: dict[str, Handle]) -> None:
        """Adopt the sockets of the old process from their descriptors."""
        backend = self.loop.backend
        for name, handle in handles.items():
            adopt_handle = backend.adopt_datagrams if name == PEER else backend.adopt_listener
            self._sockets[name] = adopt_handle(handle)

    def close(self) -> None:
        """Close all sockets."""
        for socket in self._sockets.values():
            socket.close()
