"""The complete state of a running policy as a stream of frames."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Any

from orchidlane import recording
from orchidlane.gateway.telemetry.policy_source import PolicyNames, PolicySource


class StateStream:
    """The header of a segment with the state as of now; iterating yields the frames of its accounts.

    Each frame is made on demand. Call ``close`` where not all frames are read.
    """

    def __init__(
        self,
        policy_source: PolicySource,
        gateway_name: str,
        started_at_us: int,
        number: int,
        names: PolicyNames,
        context: dict[str, Any],
    ) -> None:
        self._loop = policy_source.loop
        self._snapshot = recording.Snapshot(policy_source.gateway)
        self._pages = self._snapshot.pages()
        self._done = False
        header = recording.Header(
            format=recording.FORMAT_VERSION,
            build=recording.build_name(),
            gateway=gateway_name,
            started_at_us=started_at_us,
            number=number,
            settings=recording.settings_to_stored(policy_source.settings),
            state=self._snapshot.state,
            class_names=names.classes,
            plan_names=names.plans,
            context=context,
        )
        self.header = recording.pack_header(header)

    def __iter__(self) -> Iterator[bytes]:
        return self

    def __next__(self) -> bytes:
        if self._done:
            raise StopIteration
        rows = next(self._pages, [])
        self._done = not rows
        return recording.pack_account_page(self._loop.now(), rows, last=self._done)

    def close(self) -> None:
        """Drop the remaining frames."""
        self._done = True
        self._snapshot.close()
