"""Takes clients from a listener: the one loop of every front."""

from __future__ import annotations

from collections.abc import Callable

from orchidlane.runtime import ConnectionClosedError, ConnectionFailedError, EventLoop, Listener, Stream

NO_DESCRIPTOR_WAIT = 20_000  # microseconds between two tries to accept without descriptors


def accept_clients(
    loop: EventLoop,
    listener: Listener,
    take: Callable[[Stream], None],
    make_room: Callable[[], object] = lambda: None,
) -> None:
    """Give each client to ``take`` until the listener closes; out of descriptors, make room and try again."""
    while True:
        try:
            stream = listener.accept()
        except ConnectionClosedError:
            return
        except ConnectionFailedError:
            make_room()
            loop.sleep(NO_DESCRIPTOR_WAIT)
            continue
        take(stream)
