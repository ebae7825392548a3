"""The format of a traffic segment: a header, then frames of entries.

    7 bytes magic, then frames (``recording.frames``) whose bodies are MessagePack

The first frame is the ``Header``: which gateway recorded, with which build and settings, and the policy's
state without its accounts. The accounts follow in pages among the entries, as they were when the header was
written (``Snapshot``), so that each segment can be replayed without those before it. A saved state is a
segment without other entries.

Format 1, which has the accounts in the header's state and no pages, can still be read.
"""

from __future__ import annotations

from pathlib import Path
from typing import Any

import msgspec

from orchidlane import policy
from orchidlane.recording.codec import pack_action, pack_event
from orchidlane.recording.errors import FormatError
from orchidlane.recording.frames import encode_frame
from orchidlane.recording.settings_codec import settings_from_stored
from orchidlane.recording.state_dump import StateDump

MAGIC = b"OLREC1\n"
FORMAT_VERSION = 2  # of the segments that this build writes
READABLE_FORMATS = (1, 2)
SEGMENT_SUFFIX = ".olr"
# The kinds of entries, as stored.
EVENT_ENTRY = 0
RESPONSE_ENTRY = 1
ACCOUNTS_ENTRY = 2


class Header(msgspec.Struct, frozen=True):
    """The first frame of a segment; ``number`` counts the segments of one recorder, starting at 0.

    ``context`` describes the gateway when the header was written: the clock, generations, the endpoint list,
    requests in flight and the like.
    """

    format: int
    build: str
    gateway: str
    started_at_us: int = msgspec.field(name="life")  # when the recorder started
    number: int
    settings: dict[str, Any]
    state: StateDump
    class_names: tuple[str, ...] = ()
    plan_names: tuple[str, ...] = ()
    context: dict[str, Any] = msgspec.field(name="about", default_factory=dict)

    def policy_settings(self) -> policy.Settings:
        """Return the policy's settings. Raises FormatError."""
        try:
            return settings_from_stored(self.settings)
        except msgspec.ValidationError as error:
            raise FormatError(f"this build can't read the settings: {error}") from None

    @property
    def written_at_us(self) -> int:
        """The gateway's clock when the header was written; older files only have the recorder's start."""
        return int(self.context.get("now", self.started_at_us))


def pack_header(header: Header) -> bytes:
    """Return the start of a segment: the magic bytes and the header's frame."""
    return MAGIC + encode_frame(msgspec.msgpack.encode(header))


def pack_entry(now_us: int, event: policy.Event, actions: list[policy.Action]) -> bytes:
    """Return one event with its actions as a frame."""
    body = (EVENT_ENTRY, now_us, pack_event(event), [pack_action(action) for action in actions])
    return encode_frame(msgspec.msgpack.encode(body))


def pack_account_page(now_us: int, rows: list[list[Any]], last: bool) -> bytes:
    """Return a page of accounts as a frame; the state is complete with the ``last`` page."""
    return encode_frame(msgspec.msgpack.encode((ACCOUNTS_ENTRY, now_us, rows, last)))


def pack_response(now_us: int, request: int, status: int, kind: str, duration_us: int) -> bytes:
    """Return a response to a client as a frame."""
    return encode_frame(msgspec.msgpack.encode((RESPONSE_ENTRY, now_us, request, status, kind, duration_us)))


def list_segments(folder: str) -> list[str]:
    """Return the paths of a record's segments in order. Raises FormatError where there are none."""
    paths = sorted(str(path) for path in Path(folder).glob(f"*{SEGMENT_SUFFIX}"))
    if not paths:
        raise FormatError(f"{folder}: the folder has no traffic segments (*.olr)")
    return paths
