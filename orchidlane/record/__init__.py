"""What a gateway was told, answered and knew, as bytes for later builds: pure formats and their readers."""

from .audit import Findings, audit_records
from .build import build_name
from .codec import ACTIONS, EVENTS, FormatError, pack_action, pack_event, unpack_action, unpack_event
from .dump import FORMAT as DUMP_FORMAT
from .dump import Dump, dump, load_account, restore
from .index import Index, TimeIndex, customer_of, request_of
from .replay import Difference, Replay, Unchecked, WhatIf, lives_of, replay, what_if
from .segments import (
    FORMAT,
    Broken,
    CutHead,
    Entry,
    Header,
    SegmentReader,
    pack_accounts,
    pack_entry,
    pack_header,
    read_folder,
)
from .snapshot import Accounts, Snapshot, track
from .truestore import TrueStore

__all__ = [
    "ACTIONS",
    "DUMP_FORMAT",
    "EVENTS",
    "FORMAT",
    "Accounts",
    "Broken",
    "CutHead",
    "Difference",
    "Dump",
    "Entry",
    "Findings",
    "FormatError",
    "Header",
    "Index",
    "Replay",
    "SegmentReader",
    "Snapshot",
    "TimeIndex",
    "TrueStore",
    "Unchecked",
    "WhatIf",
    "audit_records",
    "build_name",
    "customer_of",
    "dump",
    "lives_of",
    "load_account",
    "pack_accounts",
    "pack_action",
    "pack_entry",
    "pack_event",
    "pack_header",
    "read_folder",
    "replay",
    "request_of",
    "restore",
    "track",
    "unpack_action",
    "unpack_event",
    "what_if",
]
