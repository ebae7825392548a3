"""The accept loop that the servers share."""

from __future__ import annotations

from collections.abc import Callable

from orchidlane.runtime import ConnectionClosedError, ConnectionFailedError, EventLoop, Listener, Stream

ACCEPT_RETRY_DELAY_US = 20_000  # while the process is out of file descriptors


def accept_clients(
    loop: EventLoop,
    listener: Listener,
    accept_client: Callable[[Stream], None],
    free_descriptor: Callable[[], object] = lambda: None,
) -> None:
    """Pass each client to ``accept_client`` until the listener closes.

    If the process is out of file descriptors, ``free_descriptor`` is called and accepting is retried after a
    delay.
    """
    while True:
        try:
            stream = listener.accept()
        except ConnectionClosedError:
            return
        except ConnectionFailedError:
            free_descriptor()
            loop.sleep(ACCEPT_RETRY_DELAY_US)
            continue
        accept_client(stream)
