"""Requests the hot restart status of a gateway, over the Unix socket where it accepts new processes."""

from __future__ import annotations

from orchidlane.hot_restart import messages
from orchidlane.runtime import (
    ConnectionClosedError,
    ConnectionFailedError,
    DeadlineExceededError,
    EventLoop,
    RealBackend,
    Stream,
)
from orchidlane.runtime.backend import Address

STATUS_TIMEOUT_US = 1_000_000


def request_status(
    loop: EventLoop, address: Address, timeout_us: int = STATUS_TIMEOUT_US
) -> messages.Status | None:
    """Return the status, or None if there is no valid response within the timeout (microseconds)."""
    deadline = loop.now() + timeout_us
    try:
        stream = loop.backend.connect(address, deadline)
    except (ConnectionFailedError, DeadlineExceededError):
        return None
    try:
        stream.send(messages.encode(messages.StatusRequest()), deadline)
        return _receive_status(stream, deadline)
    except (ConnectionClosedError, DeadlineExceededError, messages.ProtocolError):
        return None
    finally:
        stream.close()


def request_status_in_own_loop(
    address: Address, timeout_us: int = STATUS_TIMEOUT_US
) -> messages.Status | None:
    """Return the status as ``request_status`` does, for a caller that has no event loop."""
    loop = EventLoop(RealBackend())
    statuses: list[messages.Status | None] = []
    loop.run(lambda: statuses.append(request_status(loop, address, timeout_us)))
    return statuses[0]


def _receive_status(stream: Stream, deadline: int) -> messages.Status | None:
    parser = messages.Parser()
    while (message := parser.next_message()) is None:
        data = stream.recv(deadline=deadline)
        if not data:
            return None
        parser.receive(data)
    return message if isinstance(message, messages.Status) else None
