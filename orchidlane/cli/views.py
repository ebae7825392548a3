"""Sources of a gateway's state for commands: an admin address, a saved state, or a settings file."""

from __future__ import annotations

import contextlib
import os
import tempfile
from collections.abc import Iterator
from urllib.parse import quote

from orchidlane import recording
from orchidlane.cli.admin_client import fetch
from orchidlane.gateway.control.settings_loader import load_settings
from orchidlane.gateway.telemetry.policy_views import PolicyView, ViewError, decode_view, view_from_state
from orchidlane.recording.segments import SEGMENT_SUFFIX

MAX_VIEW_BYTES = 64 << 20  # a complete state goes to a file instead
MAX_STATE_BYTES = 8 << 30
SETTINGS_SUFFIX = ".cue"


def find_sources(where: str) -> list[str]:
    """Return the sources that an argument names: itself, or the admin addresses in a settings file."""
    if not where.endswith(SETTINGS_SUFFIX):
        return [where]
    admins = [entry.admin for entry in load_settings(where).gateways if entry.admin]
    if not admins:
        raise ViewError(f"{where}: no gateway has an admin address")
    return admins


def is_saved_state(source: str) -> bool:
    """Return whether an argument names a saved state and not an admin address."""
    return os.path.exists(source)


def load_customer_view(source: str, customer: str) -> PolicyView:
    """Return what one gateway knows of a customer. Raises ViewError, FormatError, OSError."""
    if is_saved_state(source):
        if not customer.isdigit():
            raise ViewError(
                f"{source}: a saved state holds customers by number, allowed: a customer's number"
            )
        with recording.SegmentReader(source) as reader:
            return view_from_state(reader, int(customer))
    name = quote(os.fsencode(customer), safe="")  # a name may hold bytes that are not valid UTF-8
    return decode_view(b"".join(fetch(source, f"/view?customer={name}", MAX_VIEW_BYTES)))


def load_endpoint_view(admin: str) -> PolicyView:
    """Return what one gateway knows of its endpoints. Raises ViewError."""
    return decode_view(b"".join(fetch(admin, "/view", MAX_VIEW_BYTES)))


def request_class_number(view: PolicyView, name: str) -> int:
    """Return the number of a request class; the first class where the name is empty. Raises ViewError."""
    if not name:
        return 0
    if name not in view.class_names:
        raise ViewError(f"no class {name!r}, allowed: {', '.join(view.class_names)}")
    return view.class_names.index(name)


@contextlib.contextmanager
def open_state(source: str) -> Iterator[recording.SegmentReader]:
    """Open a gateway's complete state, saved or fetched now.

    It goes through a file, so memory does not grow with it. Raises ViewError, FormatError, OSError.
    """
    with contextlib.ExitStack() as stack:
        path = source
        if not is_saved_state(source):
            path = stack.enter_context(tempfile.NamedTemporaryFile(suffix=SEGMENT_SUFFIX)).name
            save_state(source, path)
        yield stack.enter_context(recording.SegmentReader(path))


def save_state(admin: str, path: str) -> None:
    """Write a gateway's complete state to a file. Raises ViewError, OSError."""
    with open(path, "wb") as file:
        for part in fetch(admin, "/state", MAX_STATE_BYTES):
            file.write(part)
