"""What a gateway was told, answered and knew, as bytes for later builds: pure formats and their readers."""

from orchidlane.recording.audit import Findings, audit_records
from orchidlane.recording.build_identity import build_name
from orchidlane.recording.codec import (
    ACTIONS,
    EVENTS,
    FormatError,
    pack_action,
    pack_event,
    unpack_action,
    unpack_event,
)
from orchidlane.recording.index import Index, TimeIndex, customer_of, request_of
from orchidlane.recording.reference_quota import TrueStore
from orchidlane.recording.replay import Difference, Replay, Unchecked, WhatIf, lives_of, replay, what_if
from orchidlane.recording.segments import (
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
from orchidlane.recording.settings_codec import settings_from_stored, settings_to_stored
from orchidlane.recording.snapshot import Accounts, Snapshot, track
from orchidlane.recording.state_dump import FORMAT as DUMP_FORMAT
from orchidlane.recording.state_dump import Dump, dump, load_account, restore

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
    "settings_from_stored",
    "settings_to_stored",
    "track",
    "unpack_action",
    "unpack_event",
    "what_if",
]
