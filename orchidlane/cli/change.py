"""``orchidlane change``: propose a version for the whole fleet, show its rollout, revert a version."""

from __future__ import annotations

import getpass
import sys
import time
from collections.abc import Callable
from functools import wraps
from typing import NamedTuple, NoReturn, ParamSpec, TypeVar

import click
import msgspec
import structlog

from orchidlane.cli.errors import report_input_errors
from orchidlane.cli.rollout_client import RolloutClient
from orchidlane.cli.rollout_text import MICROSECONDS_PER_SECOND, history_line, proposal_progress, status_lines
from orchidlane.gateway.control.configuration import build_snapshot, read_source_files
from orchidlane.gateway.rollout_agent.admin_messages import CommandOutcome, CommandRequest, RolloutStatus
from orchidlane.gateway.rollout_agent.configuration_reader import customer_assignments
from orchidlane.rollout.errors import RollbackConflictError
from orchidlane.rollout.rollback import revert_customers_edit, revert_description_edit
from orchidlane.rollout.shard_migration import migration_files
from orchidlane.rollout.version import ContentHashes, Version
from orchidlane.runtime import RealBackend

RETRY_TIMEOUT_S = 15.0  # for sending a command again while there is no leader
POLL_INTERVAL_S = 0.1
EXTRA_WAIT_S = 5.0  # margin beyond the longest decision and the leases that may have to expire
EXIT_DONE, EXIT_NOT_ADOPTED, EXIT_UNKNOWN = 0, 1, 3
ID_BITS = 128

Parameters = ParamSpec("Parameters")
Result = TypeVar("Result")


class Contents(NamedTuple):
    """The contents of a version, and of the further versions of the same migration."""

    first: ContentHashes
    followed_by: tuple[ContentHashes, ...] = ()


def _latest(status: RolloutStatus) -> Version:
    """Return the version that is being rolled out, else the current one. Raises ValueError if none exists."""
    version = status.rollout_version or status.current_version
    if version is None:
        raise ValueError("there is no replicated state yet: all voters are needed to create it, once")
    return version


def _versions_by_number(status: RolloutStatus) -> dict[int, Version]:
    versions = [entry.version for entry in status.history]
    latest = (status.current_version, status.halted_version, status.rollout_version)
    versions += [version for version in latest if version is not None]
    return {version.number: version for version in versions}


def _new_id() -> str:
    return f"{RealBackend().random.getrandbits(ID_BITS):032x}"


@click.group()
def change() -> None:
    """Versions of the rules that the whole fleet goes by, approved by a quorum of its voters."""


def _with_input_errors_reported(command: Callable[Parameters, Result]) -> Callable[Parameters, Result]:
    @wraps(command)
    def run(*args: Parameters.args, **options: Parameters.kwargs) -> Result:
        with report_input_errors():
            return command(*args, **options)

    return run


SETTINGS = click.argument("settings")
REASON = click.option("--reason", default="", help="Why; others see it.")
AUTHOR = click.option("--author", default=None, help="Who; your user's name if left out.")
WAIT = click.option("--wait/--no-wait", default=True, help="Wait until it is over.")


@change.command()
@SETTINGS
@REASON
@AUTHOR
@WAIT
@_with_input_errors_reported
def propose(settings: str, reason: str, author: str | None, wait: bool) -> None:
    """Have the fleet go by the description and the customers that the settings' files have now.

    Exit 0: every gateway goes by it, or does not serve; 1: it was refused, or taken back; 3: not known yet.
    """
    client = RolloutClient(settings)
    description, customers = read_source_files(RealBackend(), client.fleet)
    build_snapshot(description, customers, client.fleet, 0, structlog.get_logger())
    base = _latest(client.status())
    contents = _migration_contents(client, base, client.upload(description), customers)
    request = CommandRequest(
        command_id=_new_id(),
        action="propose",
        base=base.number,
        author=author or getpass.getuser(),
        reason=reason,
        contents=contents.first,
        followed_by=contents.followed_by,
    )
    _propose_and_exit(client, request, wait)


@change.command()
@SETTINGS
@click.argument("number", type=int, required=False)
@REASON
@AUTHOR
@WAIT
@_with_input_errors_reported
def undo(settings: str, number: int | None, reason: str, author: str | None, wait: bool) -> None:
    """Take a version's edit back, by a new version; the latest one if no number is given.

    Later edits of other operations and customers stay. Exit codes are those of `propose`.
    """
    client = RolloutClient(settings)
    status = client.status()
    latest = _latest(status)
    reverted = _version_to_revert(status, latest.number if number is None else number)
    contents = _reverted_contents(client, status, reverted, latest)
    request = CommandRequest(
        command_id=_new_id(),
        action="propose",
        base=latest.number,
        author=author or getpass.getuser(),
        reason=reason or f"undo of version {reverted.number}",
        contents=contents.first,
        reverts=reverted.number,
        followed_by=contents.followed_by,
    )
    _propose_and_exit(client, request, wait)


def _version_to_revert(status: RolloutStatus, number: int) -> Version:
    """Return a version by its number. Raises ValueError if it is not in the history, or is the first."""
    versions = _versions_by_number(status)
    if number not in versions:
        raise ValueError(f"version {number} is not in the history, allowed: {sorted(versions)}")
    if number == 0:
        raise ValueError("version 0 is the first version, so it can't be reverted")
    return versions[number]


def _reverted_contents(
    client: RolloutClient, status: RolloutStatus, reverted: Version, latest: Version
) -> Contents:
    """Return the latest contents without a version's edit.

    For a version that is being rolled out, these are the current contents. Raises ValueError.
    """
    if reverted == status.rollout_version:
        assert status.current_version is not None
        return Contents(status.current_version.contents)
    base = _versions_by_number(status).get(reverted.base)
    if base is None:
        raise ValueError(
            f"version {reverted.base}, on which {reverted.number} is based, is not in the history"
        )
    versions = (base, reverted, latest)
    try:
        rules = _reverted_content(
            client, [version.contents.rules for version in versions], revert_description_edit
        )
        customers = _reverted_content(
            client, [version.contents.customers for version in versions], revert_customers_edit
        )
    except RollbackConflictError as error:
        raise ValueError(
            f"version {reverted.number} can't be reverted without later versions: {error}"
        ) from None
    if customers == latest.contents.customers:
        return Contents(msgspec.structs.replace(latest.contents, rules=rules))
    return _migration_contents(client, latest, rules, client.content(customers))


def _reverted_content(
    client: RolloutClient, hashes: list[str], revert: Callable[[bytes, bytes, bytes], bytes]
) -> str:
    """Return the hash of the latest content without an edit.

    ``hashes`` are those of the content before the edit, after it, and the latest.
    """
    before, after, latest = hashes
    if before == after:
        return latest
    if after == latest:
        return before
    return client.upload(revert(*(client.content(blob_hash) for blob_hash in hashes)))


def _migration_contents(client: RolloutClient, base: Version, rules: str, customers: bytes) -> Contents:
    """Return the contents of the one version, or of a migration's versions, that lead to a customers file."""
    fleet = client.fleet
    log = structlog.get_logger()
    description = client.content(base.contents.rules)
    old_customers = client.content(base.contents.customers)
    old = customer_assignments(build_snapshot(description, old_customers, fleet, 0, log), fleet)
    new = customer_assignments(build_snapshot(description, customers, fleet, 0, log), fleet)
    files = migration_files(old, new, customers, fleet.rollout.max_migrating_share)
    first, *following = (ContentHashes(rules, client.upload(data)) for data in files)
    return Contents(first, tuple(following))


@change.command()
@SETTINGS
@REASON
@AUTHOR
@_with_input_errors_reported
def stop(settings: str, reason: str, author: str | None) -> None:
    """Stop the change on its way: one that is asked about ends, one that is adopted goes no further."""
    _command_on_rollout(settings, "stop", reason, author)


@change.command()
@SETTINGS
@AUTHOR
@_with_input_errors_reported
def resume(settings: str, author: str | None) -> None:
    """Let a stopped change go on."""
    _command_on_rollout(settings, "resume", "", author)


def _command_on_rollout(settings: str, action: str, reason: str, author: str | None) -> None:
    client = RolloutClient(settings)
    version = client.status().rollout_version
    if version is None:
        raise ValueError("no version is being rolled out")
    request = CommandRequest(_new_id(), action, version.number, author or getpass.getuser(), reason)
    outcome = _send_with_retries(client, request)
    if not outcome.is_accepted:
        _exit_rejected(outcome)
    click.echo(f"{action}: version {version.number}")
    sys.exit(EXIT_DONE)


def _exit_rejected(outcome: CommandOutcome) -> NoReturn:
    click.echo(f"not taken: {outcome.reason}")
    sys.exit(EXIT_NOT_ADOPTED)


def _send_with_retries(client: RolloutClient, request: CommandRequest) -> CommandOutcome:
    """Send a command, and again while there is no leader; its id makes it take effect at most once."""
    deadline = time.monotonic() + RETRY_TIMEOUT_S
    while True:
        outcome = client.send_command(request)
        if outcome.is_accepted or not outcome.is_retryable or time.monotonic() > deadline:
            return outcome
        time.sleep(POLL_INTERVAL_S)


def _propose_and_exit(client: RolloutClient, request: CommandRequest, wait: bool) -> NoReturn:
    """Propose a version, show its progress until it is adopted, rejected or reverted, and exit."""
    outcome = _send_with_retries(client, request)
    if not outcome.is_accepted:
        _exit_rejected(outcome)
    if not wait:
        click.echo("taken")
        sys.exit(EXIT_DONE)
    rollout_settings = client.fleet.rollout
    longest_us = int(rollout_settings.decision_timeout_us) + 3 * int(rollout_settings.lease_us)
    deadline = time.monotonic() + longest_us / MICROSECONDS_PER_SECOND + EXTRA_WAIT_S
    last_line = ""
    while time.monotonic() < deadline:
        try:
            progress = proposal_progress(request, client.status())
        except ValueError:
            time.sleep(POLL_INTERVAL_S)
            continue
        if progress.line and progress.line != last_line:
            last_line = progress.line
            click.echo(last_line)
        if progress.is_done is not None:
            sys.exit(EXIT_DONE if progress.is_done else EXIT_NOT_ADOPTED)
        time.sleep(POLL_INTERVAL_S)
    click.echo("it is not over; see `orchidlane change status`")
    sys.exit(EXIT_UNKNOWN)


@change.command("status")
@SETTINGS
@click.option("--json", "as_json", is_flag=True)
@_with_input_errors_reported
def status_command(settings: str, as_json: bool) -> None:
    """How the fleet's versions stand: who leads, what is on its way, which gateways run what.

    Exit 0: a quorum confirmed this lately; 3: none did, and what is shown may be old.
    """
    client = RolloutClient(settings)
    status = client.status()
    is_fresh = 0 <= status.confirmed_us_ago <= int(client.fleet.rollout.lease_us)
    if as_json:
        click.echo(msgspec.json.encode(status).decode())
    else:
        names = [entry.name for entry in client.fleet.gateways]
        for line in status_lines(status, names, is_fresh):
            click.echo(line)
    sys.exit(EXIT_DONE if is_fresh else EXIT_UNKNOWN)


@change.command()
@SETTINGS
@click.option("--json", "as_json", is_flag=True)
@_with_input_errors_reported
def history(settings: str, as_json: bool) -> None:
    """The versions that are remembered, the latest last."""
    entries = RolloutClient(settings).status().history
    if as_json:
        click.echo(msgspec.json.encode(entries).decode())
        return
    for entry in entries:
        click.echo(history_line(entry))
