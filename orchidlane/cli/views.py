"""Where tools get what a gateway knows: its admin address, a saved state, or every gateway of a settings
file.
"""

from __future__ import annotations

import contextlib
import os
import socket
import tempfile
from collections.abc import Iterator
from urllib.parse import quote

from orchidlane import http1, recording
from orchidlane.gateway.control.settings_loader import load_settings, parse_host_port
from orchidlane.gateway.telemetry.policy_views import View, ViewError, read_view, saved_view
from orchidlane.http1 import Data, End, Malformed, Response

PATIENCE = 5.0  # seconds for each piece of a gateway's answer
VIEW_MOST = 64 << 20  # bytes of a view; a whole state goes to a file instead
STATE_MOST = 8 << 30  # bytes of a whole state
SETTINGS = ".cue"


def places(where: str) -> list[str]:
    """The admin addresses or the saved state that a word names: ``host:port``, a state, or settings."""
    if not where.endswith(SETTINGS):
        return [where]
    found = [entry.admin for entry in load_settings(where).gateways if entry.admin]
    if not found:
        raise ViewError(f"{where}: no gateway has an admin address")
    return found


def is_saved(where: str) -> bool:
    """Whether a word names a saved state and not an admin address."""
    return os.path.exists(where)


def customer_view(where: str, customer: str) -> View:
    """What one gateway knows of a customer. Raises ViewError, FormatError, OSError."""
    if is_saved(where):
        if not customer.isdigit():
            raise ViewError(f"{where}: a saved state knows customers by their numbers only")
        with contextlib.closing(recording.SegmentReader(where)) as reader:
            return saved_view(reader, int(customer))
    name = quote(os.fsencode(customer), safe="")  # names need not be printable
    return read_view(b"".join(fetch(where, f"/view?customer={name}", VIEW_MOST)))


def node_view(admin: str) -> View:
    """What one gateway knows of its nodes. Raises ViewError, OSError."""
    return read_view(b"".join(fetch(admin, "/view", VIEW_MOST)))


@contextlib.contextmanager
def open_state(where: str) -> Iterator[recording.SegmentReader]:
    """A gateway's whole state, saved or told now; it goes through a file, so memory does not grow with it."""
    with contextlib.ExitStack() as stack:
        path = where
        if not is_saved(where):
            path = stack.enter_context(tempfile.NamedTemporaryFile(suffix=".olr")).name
            save_state(where, path)
        yield stack.enter_context(contextlib.closing(recording.SegmentReader(path)))


def save_state(admin: str, path: str) -> None:
    """Write the state that a gateway tells to a file. Raises ViewError, OSError."""
    with open(path, "wb") as file:
        for part in fetch(admin, "/state", STATE_MOST):
            file.write(part)


def fetch(admin: str, target: str, most: int) -> Iterator[bytes]:
    """The parts of an answer of a gateway's admin address. Raises ViewError, OSError."""
    try:
        at = parse_host_port(admin)
    except ValueError:
        raise ViewError(f"{admin}: no such file, and not an address as host:port") from None
    try:
        with socket.create_connection(at, PATIENCE) as sock:
            sock.sendall(http1.request_head("GET", target.encode(), [(b"host", b"admin")]))
            yield from _body(sock, admin, most)
    except Malformed as wrong:
        raise ViewError(f"{admin} does not answer as a gateway: {wrong}") from None
    except TimeoutError:
        raise ViewError(f"{admin} does not answer within {PATIENCE:g} s") from None
    except OSError as wrong:
        raise ViewError(f"{admin}: {wrong.strerror or wrong}") from None


def _body(sock: socket.socket, admin: str, most: int) -> Iterator[bytes]:
    parser, status, wrong, size = http1.ResponseParser(), 0, b"", 0
    while not isinstance(event := parser.next_event(), End):
        if event is None:
            if parser.ended:
                raise ViewError(f"{admin} ended its answer early")
            parser.receive(sock.recv(65536))
        elif isinstance(event, Response):
            status = event.status
        elif isinstance(event, Data):
            size += len(event.data)
            if size > most:
                raise ViewError(f"{admin}: its answer has more than {most} bytes")
            if status == 200:
                yield event.data
            else:
                wrong += event.data
    if status != 200:
        raise ViewError(wrong.decode("utf-8", "replace").strip() or f"{admin} answers {status}")
