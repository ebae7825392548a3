"""Accepts clients from a listener: the loop of both servers."""

from __future__ import annotations

from collections.abc import Callable

from orchidlane.runtime import ConnectionClosedError, ConnectionFailedError, EventLoop, Listener, Stream

ACCEPT_RETRY_DELAY_US = 20_000  # while no descriptor is free


def accept_clients(
    loop: EventLoop,
    listener: Listener,
    accept_client: Callable[[Stream], None],
    free_descriptor: Callable[[], object] = lambda: None,
) -> None:
    """Pass each client to ``accept_client`` until the listener closes.

    Where the process is out of descriptors, ``free_descriptor`` is called and accepting retried.
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
