"""Lines that the ``change`` commands print about versions and their rollout."""

from __future__ import annotations

from collections.abc import Iterator
from typing import NamedTuple

from orchidlane.gateway.rollout_agent.admin_messages import CommandRequest, GatewayStatus, RolloutStatus
from orchidlane.rollout.replicated_state import DONE, HistoryEntry
from orchidlane.rollout.version import Version

MICROSECONDS_PER_SECOND = 1_000_000


class Progress(NamedTuple):
    """A line about a proposal, and whether it was adopted; None while that is undecided."""

    line: str
    is_done: bool | None


def proposal_progress(request: CommandRequest, status: RolloutStatus) -> Progress:
    """Return the progress of a proposal."""
    version = status.rollout_version
    if version is not None and version.proposal_id == request.command_id:
        line = f"version {version.label()}: {status.phase}, {_running_count(version, status)}"
        return Progress(f"{line}{_paused(status)}", None)
    for entry in reversed(status.history):
        is_done = entry.outcome == DONE
        has_next_version = is_done and entry.version.followed_by
        if entry.version.proposal_id == request.command_id and not has_next_version:
            reason = f": {entry.reason}" if entry.reason else ""
            return Progress(f"version {entry.version.label()}: {entry.outcome}{reason}", is_done)
    return Progress("", None)


def _running_count(version: Version, status: RolloutStatus) -> str:
    """Return how many gateways run a version; a lower bound while the leader has not seen all of them."""
    running = sum(gateway.running_number == version.number for gateway in status.gateways)
    count = len(status.gateways)
    unseen = sum(gateway.last_seen_us_ago < 0 for gateway in status.gateways)
    if unseen:
        return f"at least {running} of {count} run it, {unseen} not heard of by whoever leads now"
    return f"{running} of {count} run it"


def status_lines(status: RolloutStatus, names: list[str], is_fresh: bool) -> Iterator[str]:
    """Yield the lines of a status; ``names`` are the gateways' names by rank."""
    yield f"leader     {names[status.leader] if status.leader >= 0 else 'none'}, term {status.term}"
    yield f"voters     {', '.join(names[rank] for rank in status.member_ranks) or 'no replicated state yet'}"
    yield f"confirmed  {_confirmation(status, is_fresh)}"
    if status.current_version is not None:
        yield f"current    {version_line(status.current_version)}"
    if status.rollout_version is not None:
        yield f"rollout    {version_line(status.rollout_version)}: {status.phase}{_paused(status)}"
    if status.halted_version is not None:
        yield f"halted     {version_line(status.halted_version)}"
    for gateway in status.gateways:
        yield f"{names[gateway.rank]:16} {_gateway_line(gateway)}"


def history_line(entry: HistoryEntry) -> str:
    """Return a version with the outcome of its rollout."""
    reason = f" ({entry.reason})" if entry.reason else ""
    return f"{entry.outcome:8} {version_line(entry.version)}{reason}"


def version_line(version: Version) -> str:
    """Return a version with its origin."""
    reverts = f", reverts {version.reverts}" if version.reverts else ""
    return f"{version.label()} from {version.base} by {version.author}{reverts}: {version.reason}"


def _confirmation(status: RolloutStatus, is_fresh: bool) -> str:
    if status.confirmed_us_ago < 0:
        return "never, as far as this gateway knows: no version can be adopted without a quorum"
    late = "" if is_fresh else "; no quorum since: no version can be adopted, and gateways will stop serving"
    return f"{status.confirmed_us_ago / MICROSECONDS_PER_SECOND:.1f} s ago{late}"


def _paused(status: RolloutStatus) -> str:
    return f", paused: {status.pause_reason}" if status.pause_reason else ""


def _gateway_line(gateway: GatewayStatus) -> str:
    if gateway.last_seen_us_ago < 0:
        return "not heard of by whoever leads now"
    line = (
        f"runs {gateway.running_number} for {gateway.running_for_us / MICROSECONDS_PER_SECOND:.1f} s,"
        f" last seen {gateway.last_seen_us_ago / MICROSECONDS_PER_SECOND:.1f} s ago"
    )
    if gateway.running_number == gateway.target_number:
        return line
    return f"{line}, target {gateway.target_number}: {gateway.reason or 'being rolled out'}"
