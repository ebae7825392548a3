"""Replays a traffic record through the policy of this build, and finds the first action that differs."""

from __future__ import annotations

from dataclasses import dataclass, field

from orchidlane import policy
from orchidlane.policy.gateway import Gateway
from orchidlane.recording.errors import TruncatedHeaderError
from orchidlane.recording.frames import count_frames_after
from orchidlane.recording.segment_reader import SegmentReader
from orchidlane.recording.state_restore import restore_gateway


@dataclass(frozen=True)
class Difference:
    """The first event for which this build's actions differ from the recorded ones."""

    segment: str
    offset: int  # in bytes
    at_us: int
    event: policy.Event
    recorded: list[policy.Action]
    replayed: list[policy.Action]

    def format_lines(self) -> list[str]:
        """Return the difference as the lines that the command prints."""
        recorded = [str(action) for action in self.recorded] or ["nothing"]
        replayed = [str(action) for action in self.replayed] or ["nothing"]
        return [
            f"{self.segment}: byte {self.offset}, clock {self.at_us}",
            f"  event     {self.event}",
            *(f"  recorded  {action}" for action in recorded),
            *(f"  acted     {action}" for action in replayed),
        ]


@dataclass(frozen=True)
class UncheckedPart:
    """A part of a record that was not checked; ``torn`` where a killed gateway was just writing it."""

    reason: str
    events: int  # intact entries in that part
    torn: bool


@dataclass
class ReplayResult:
    """The result of replaying one incarnation of a gateway."""

    segments: int = 0
    events: int = 0
    difference: Difference | None = None
    unchecked_parts: list[UncheckedPart] = field(default_factory=list)

    @property
    def complete(self) -> bool:
        """Whether everything was checked except for a last write that a crash interrupted."""
        return all(part.torn for part in self.unchecked_parts)


def group_by_incarnation(paths: list[str]) -> list[list[str]]:
    """Return the segments of each incarnation of each gateway, in the order of ``paths``."""
    incarnations: dict[str, list[str]] = {}
    for path in paths:
        incarnations.setdefault(path.rpartition("-")[0], []).append(path)
    return list(incarnations.values())


def replay(paths: list[str]) -> ReplayResult:
    """Replay the segments of one incarnation in order, up to the first difference. Raises FormatError.

    A segment that directly follows the previous one is replayed by the same policy; after a missing or
    damaged segment, the policy is restored from the state in the next segment's header.
    """
    return _Replay(paths).run()


class _Replay:
    """The replay of one incarnation; ``_gateway`` is None where the next segment's state must be restored."""

    def __init__(self, paths: list[str]) -> None:
        self._paths = paths
        self._result = ReplayResult()
        self._gateway: Gateway | None = None
        self._last_number = -1

    def run(self) -> ReplayResult:
        """Replay all segments, up to the first difference."""
        for path in self._paths:
            try:
                with SegmentReader(path) as reader:
                    self._replay_segment(reader)
            except TruncatedHeaderError as error:
                self._add_unchecked(str(error), events=0, torn=self._is_last(path))
                self._gateway = None
                continue
            if self._result.difference is not None:
                break
        return self._result

    def _replay_segment(self, reader: SegmentReader) -> None:
        number = reader.header.number
        if self._gateway is None or number != self._last_number + 1:
            self._gateway = self._restore(reader)
        self._last_number = number
        if self._gateway is None:
            return
        self._result.segments += 1
        self._result.difference = self._compare(reader, self._gateway)
        if self._result.difference is None and reader.damage is not None:
            self._gateway = None
            intact_frames = count_frames_after(reader.path, reader.damage.offset)
            torn = reader.damage.truncated and not intact_frames and self._is_last(reader.path)
            self._add_unchecked(str(reader.damage), intact_frames, torn)

    def _restore(self, reader: SegmentReader) -> Gateway | None:
        """Return the policy as it was at a segment's header, or None where the state is truncated."""
        try:
            state = reader.read_state()
        except TruncatedHeaderError as error:
            events = sum(entry.event is not None for entry in reader)
            self._add_unchecked(str(error), events, torn=self._is_last(reader.path))
            return None
        return restore_gateway(reader.header.policy_settings(), state)

    def _compare(self, reader: SegmentReader, gateway: Gateway) -> Difference | None:
        for entry in reader:
            if entry.event is None:
                continue
            replayed = gateway.handle(entry.at_us, entry.event)
            self._result.events += 1
            if replayed != entry.actions:
                return Difference(
                    reader.path, entry.offset, entry.at_us, entry.event, entry.actions, replayed
                )
        return None

    def _is_last(self, path: str) -> bool:
        return path == self._paths[-1]

    def _add_unchecked(self, reason: str, events: int, torn: bool) -> None:
        self._result.unchecked_parts.append(UncheckedPart(reason, events, torn))
