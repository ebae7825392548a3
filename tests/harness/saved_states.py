"""Writes complete states to files, as a gateway's admin API sends them."""

from __future__ import annotations

from pathlib import Path

from harness.recording_harness import PolicyFuzzer
from orchidlane import recording

NAMES = tuple("abcde"), tuple("pqrs")  # of request classes, of plans


def write_state(fuzzer: PolicyFuzzer, path: Path, events_between_pages: int = 0, build: str = "") -> None:
    """Write a complete state as a gateway sends it, feeding the policy events after each page."""
    gateway = fuzzer.harness.gateway
    recording.track_accounts(gateway)
    snapshot = recording.Snapshot(gateway)
    header = recording.Header(
        format=recording.FORMAT_VERSION,
        build=build or recording.build_name(),
        gateway="gw",
        started_at_us=fuzzer.harness.now,
        number=0,
        settings=recording.settings_to_stored(fuzzer.harness.settings),
        state=snapshot.state,
        class_names=NAMES[0],
        plan_names=NAMES[1],
        context={"now": fuzzer.harness.now},
    )
    data = recording.pack_header(header)
    for rows in snapshot.pages():
        data += recording.pack_account_page(0, rows, last=False)
        for _ in range(events_between_pages):
            fuzzer.step()
    path.write_bytes(data + recording.pack_account_page(0, [], last=True))
