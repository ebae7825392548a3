"""Stored traffic records and policy states: their formats, readers, replay and audit."""

from orchidlane.recording.audit import audit_records
from orchidlane.recording.audit_findings import Findings
from orchidlane.recording.build_identity import build_name
from orchidlane.recording.codec import (
    ACTION_TYPES,
    EVENT_TYPES,
    pack_action,
    pack_event,
    unpack_action,
    unpack_event,
)
from orchidlane.recording.errors import FormatError, TruncatedHeaderError
from orchidlane.recording.index import KeyIndex, TimeIndex, customer_number, request_number
from orchidlane.recording.reference_quota import ReferenceQuota
from orchidlane.recording.replay import Difference, ReplayResult, UncheckedPart, group_by_incarnation, replay
from orchidlane.recording.segment_reader import Damage, Entry, RecordedResponse, SegmentReader
from orchidlane.recording.segments import (
    FORMAT_VERSION,
    Header,
    list_segments,
    pack_account_page,
    pack_entry,
    pack_header,
)
from orchidlane.recording.settings_codec import settings_from_stored, settings_to_stored
from orchidlane.recording.snapshot import ObservableAccounts, Snapshot, track_accounts
from orchidlane.recording.state_dump import StateDump, account_to_row, dump_state
from orchidlane.recording.state_restore import account_from_row, listed_endpoints, restore_gateway
from orchidlane.recording.what_if import WhatIfResult, simulate_settings

__all__ = [
    "ACTION_TYPES",
    "EVENT_TYPES",
    "FORMAT_VERSION",
    "Damage",
    "Difference",
    "Entry",
    "Findings",
    "FormatError",
    "Header",
    "KeyIndex",
    "ObservableAccounts",
    "RecordedResponse",
    "ReferenceQuota",
    "ReplayResult",
    "SegmentReader",
    "Snapshot",
    "StateDump",
    "TimeIndex",
    "TruncatedHeaderError",
    "UncheckedPart",
    "WhatIfResult",
    "account_from_row",
    "account_to_row",
    "audit_records",
    "build_name",
    "customer_number",
    "dump_state",
    "group_by_incarnation",
    "list_segments",
    "listed_endpoints",
    "pack_account_page",
    "pack_action",
    "pack_entry",
    "pack_event",
    "pack_header",
    "replay",
    "request_number",
    "restore_gateway",
    "settings_from_stored",
    "settings_to_stored",
    "simulate_settings",
    "track_accounts",
    "unpack_action",
    "unpack_event",
]
