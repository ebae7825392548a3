"""What the ``change`` commands print about versions."""

from __future__ import annotations

from collections.abc import Iterator
from typing import NamedTuple

from orchidlane.gateway.rollout_agent.admin_messages import CommandRequest, GatewayStatus, RolloutStatus
from orchidlane.rollout.replicated_state import DONE, HistoryEntry
from orchidlane.rollout.version import Version

MICROSECONDS = 1_000_000  # in a second


class Progress(NamedTuple):
    """A line about a proposal, and whether it is done or refused; None while it goes on."""

    line: str
    is_done: bool | None


def proposal_progress(request: CommandRequest, status: RolloutStatus) -> Progress:
    """Return how far a proposal has come."""
    version = status.rollout_version
    if version is not None and version.proposal_id == request.command_id:
        line = f"version {version.label()}: {status.phase}, {_running_count(version, status)}"
        return Progress(f"{line}{_paused(status)}", None)
    for entry in reversed(status.history):
        is_done = entry.outcome == DONE
        goes_on = is_done and entry.version.followed_by
        if entry.version.proposal_id == request.command_id and not goes_on:
            reason = f": {entry.reason}" if entry.reason else ""
            return Progress(f"version {entry.version.label()}: {entry.outcome}{reason}", is_done)
    return Progress("", None)


def _running_count(version: Version, status: RolloutStatus) -> str:
    """Return how many gateways run a version; a leader that has not heard of all of them knows no more."""
    done = sum(gateway.running_number == version.number for gateway in status.gateways)
    count = len(status.gateways)
    unknown = sum(gateway.last_seen_us_ago < 0 for gateway in status.gateways)
    if unknown:
        return f"at least {done} of {count} run it, {unknown} not heard of by whoever leads now"
    return f"{done} of {count} run it"


def status_lines(status: RolloutStatus, names: list[str], is_fresh: bool) -> Iterator[str]:
    """Yield the lines of a status; ``names`` are the gateways'."""
    yield f"leader     {names[status.leader] if status.leader >= 0 else 'none'}, term {status.term}"
    yield f"voters     {', '.join(names[rank] for rank in status.member_ranks) or 'not founded yet'}"
    yield f"confirmed  {_confirmation(status, is_fresh)}"
    if status.current_version is not None:
        yield f"current    {version_line(status.current_version)}"
    if status.rollout_version is not None:
        yield f"on its way {version_line(status.rollout_version)}: {status.phase}{_paused(status)}"
    if status.halted_version is not None:
        yield f"taken back {version_line(status.halted_version)}"
    for gateway in status.gateways:
        yield f"{names[gateway.rank]:16} {_gateway_line(gateway)}"


def history_line(entry: HistoryEntry) -> str:
    """Return what became of a version."""
    reason = f" ({entry.reason})" if entry.reason else ""
    return f"{entry.outcome:8} {version_line(entry.version)}{reason}"


def version_line(version: Version) -> str:
    """Return a version with its origin."""
    reverts = f", undoes {version.reverts}" if version.reverts else ""
    return f"{version.label()} from {version.base} by {version.author}{reverts}: {version.reason}"


def _confirmation(status: RolloutStatus, is_fresh: bool) -> str:
    if status.confirmed_us_ago < 0:
        return "never, as far as is known here: no change can be made without a quorum"
    late = "" if is_fresh else "; no quorum since: no change can be made, and gateways stop to serve"
    return f"{status.confirmed_us_ago / MICROSECONDS:.1f} s ago{late}"


def _paused(status: RolloutStatus) -> str:
    return f", stopped: {status.pause_reason}" if status.pause_reason else ""


def _gateway_line(gateway: GatewayStatus) -> str:
    if gateway.last_seen_us_ago < 0:
        return "not heard of by whoever leads now"
    line = (
        f"runs {gateway.running_number} for {gateway.running_for_us / MICROSECONDS:.1f} s,"
        f" heard {gateway.last_seen_us_ago / MICROSECONDS:.1f} s ago"
    )
    if gateway.running_number == gateway.target_number:
        return line
    return f"{line}, wanted {gateway.target_number}: {gateway.reason or 'on its way'}"
