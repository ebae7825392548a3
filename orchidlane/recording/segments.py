"""The format of a traffic segment: a header, then frames of entries.

    7 bytes magic, then frames (``recording.frames``) whose bodies are MessagePack

The first frame is the ``Header``: which gateway recorded, with which build and settings, and the policy's
state without its accounts. The accounts follow in pages among the entries, as they were when the header was
written (``Snapshot``), so that each segment can be replayed without those before it. A state alone is a
segment without other entries.

Format 1 had the accounts in the header's state and no pages; it is read as well.
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
FORMAT_VERSION = 2  # written
READABLE_FORMATS = (1, 2)
SEGMENT_SUFFIX = ".olr"
# The kinds of entries.
EVENT_ENTRY = 0
RESPONSE_ENTRY = 1
ACCOUNTS_ENTRY = 2


class Header(msgspec.Struct, frozen=True):
    """What a segment begins with; ``number`` counts the segments of one recorder.

    ``context`` describes the moment: the clock, generations, the endpoint list, requests in flight and the
    like.
    """

    format: int
    build: str
    gateway: str
    started_at_us: int = msgspec.field(name="life")  # of the recorder
    number: int
    settings: dict[str, Any]
    state: StateDump
    class_names: tuple[str, ...] = ()
    plan_names: tuple[str, ...] = ()
    context: dict[str, Any] = msgspec.field(name="about", default_factory=dict)

    def policy_settings(self) -> policy.Settings:
        """Return the settings as the policy takes them. Raises FormatError."""
        try:
            return settings_from_stored(self.settings)
        except msgspec.ValidationError as error:
            raise FormatError(f"settings that this build can't read: {error}") from None

    @property
    def written_at_us(self) -> int:
        """The gateway's clock when the header was written; older files only know the recorder's start."""
        return int(self.context.get("now", self.started_at_us))


def pack_header(header: Header) -> bytes:
    """Return the beginning of a segment."""
    return MAGIC + encode_frame(msgspec.msgpack.encode(header))


def pack_entry(now_us: int, event: policy.Event, actions: list[policy.Action]) -> bytes:
    """Return one event with its actions as a frame."""
    body = (EVENT_ENTRY, now_us, pack_event(event), [pack_action(action) for action in actions])
    return encode_frame(msgspec.msgpack.encode(body))


def pack_account_page(now_us: int, rows: list[list[Any]], last: bool) -> bytes:
    """Return a page of accounts as they were at the header; the state is complete with the ``last`` one."""
    return encode_frame(msgspec.msgpack.encode((ACCOUNTS_ENTRY, now_us, rows, last)))


def pack_response(now_us: int, request: int, status: int, kind: str, duration_us: int) -> bytes:
    """Return what a client was answered as a frame."""
    return encode_frame(msgspec.msgpack.encode((RESPONSE_ENTRY, now_us, request, status, kind, duration_us)))


def list_segments(folder: str) -> list[str]:
    """Return the paths of a record's segments in their order. Raises FormatError where there is none."""
    paths = sorted(str(path) for path in Path(folder).glob(f"*{SEGMENT_SUFFIX}"))
    if not paths:
        raise FormatError(f"{folder}: no segments of a record")
    return paths
