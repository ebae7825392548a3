"""What a gateway was told, answered and knew, as bytes for later builds: pure formats and their readers."""

from .codec import ACTIONS, EVENTS, FormatError, pack_action, pack_event, unpack_action, unpack_event
from .dump import FORMAT as DUMP_FORMAT
from .dump import Dump, dump, restore
from .index import RequestIndex
from .replay import Difference, Replay, WhatIf, replay, what_if
from .segments import FORMAT, Broken, Entry, Header, SegmentReader, pack_entry, pack_header, read_folder

__all__ = [
    "ACTIONS",
    "DUMP_FORMAT",
    "EVENTS",
    "FORMAT",
    "Broken",
    "Difference",
    "Dump",
    "Entry",
    "FormatError",
    "Header",
    "Replay",
    "RequestIndex",
    "SegmentReader",
    "WhatIf",
    "dump",
    "pack_action",
    "pack_entry",
    "pack_event",
    "pack_header",
    "read_folder",
    "replay",
    "restore",
    "unpack_action",
    "unpack_event",
    "what_if",
]
