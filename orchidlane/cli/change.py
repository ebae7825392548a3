"""``orchidlane change``: propose a version for the whole fleet, see how it stands, take it back."""

from __future__ import annotations

import getpass
import sys
import time
from collections.abc import Callable
from typing import Any, NoReturn, TypeVar

import click
import msgspec
import structlog

from orchidlane.cli.errors import clear_errors
from orchidlane.gateway.control.configuration import make_knowledge, read_sources
from orchidlane.gateway.control.settings import Fleet, address, load_fleet, read_secret
from orchidlane.gateway.rollout_agent.admin_client import PATH_PREFIX, AdminCallError, call_admin_api
from orchidlane.gateway.rollout_agent.admin_messages import CommandOutcome, CommandRequest, RolloutStatus
from orchidlane.gateway.rollout_agent.configuration_reader import customer_assignments
from orchidlane.gateway.rollout_agent.settings import check_rollout_settings
from orchidlane.rollout.errors import RollbackConflictError
from orchidlane.rollout.rollback import revert_customers_edit, revert_description_edit
from orchidlane.rollout.shard_migration import migration_files
from orchidlane.rollout.version import ContentHashes, Version, content_hash
from orchidlane.runtime import Loop, RealWorld

CALL_WITHIN = 8_000_000  # microseconds
INSIST = 15.0  # seconds that a command is told again while nobody leads
LOOK_EVERY = 0.1  # seconds between two looks at a change on its way
NO, UNKNOWN = 1, 3
T = TypeVar("T")


class Calls:
    """Sealed calls to the gateways of a fleet."""

    def __init__(self, settings: str) -> None:
        self.fleet: Fleet = load_fleet(settings)
        check_rollout_settings(self.fleet)
        if not self.fleet.change.voters:
            raise ValueError(f"{settings}: change.voters: none are named, so the fleet has no versions")
        self.secret = read_secret(self.fleet.peers.secret_file)
        names = [entry.name for entry in self.fleet.gateways]
        self.voters = [names.index(name) for name in self.fleet.change.voters]

    def call(
        self, rank: int, method: str, what: str, body: bytes = b"", most: int = 1 << 20
    ) -> tuple[int, bytes]:
        """Raises FetchError."""
        loop = Loop(RealWorld())
        at = address(self.fleet.gateways[rank].admin)
        found: list[tuple[int, bytes] | AdminCallError] = []
        target = PATH_PREFIX + what.encode()

        def ask() -> None:
            by = loop.now() + CALL_WITHIN
            try:
                found.append(
                    call_admin_api(
                        loop, at, self.secret, method, target, body, deadline_us=by, max_response_bytes=most
                    )
                )
            except AdminCallError as wrong:
                found.append(wrong)

        loop.run(ask)
        answer = found[0]
        if isinstance(answer, AdminCallError):
            raise answer
        return answer

    def first(self, method: str, what: str, body: bytes = b"", most: int = 1 << 20) -> tuple[int, bytes]:
        """From the first gateway that answers, voters before others. Raises ValueError where none does."""
        others = [rank for rank in range(len(self.fleet.gateways)) if rank not in self.voters]
        why = ""
        for rank in (*self.voters, *others):
            try:
                status, data = self.call(rank, method, what, body, most)
            except AdminCallError as wrong:
                why = why or f"{self.fleet.gateways[rank].name}: {wrong}"
                continue
            if status != 404:
                return status, data
        raise ValueError(f"no gateway answers for this; {why}")

    def status(self) -> RolloutStatus:
        """As whoever leads knows it, or failing that the latest that any voter knows. Raises ValueError."""
        found: list[RolloutStatus] = []
        why = ""
        for rank in self.voters:
            try:
                status, data = self.call(rank, "GET", "status")
            except AdminCallError as wrong:
                why = f"{self.fleet.gateways[rank].name}: {wrong}"
                continue
            if status != 200:
                raise ValueError(f"status {status}: {data.decode(errors='replace').strip()}")
            found.append(msgspec.msgpack.decode(data, type=RolloutStatus))
            if found[-1].is_leader and 0 <= found[-1].confirmed_us_ago <= self.fleet.change.silence:
                return found[-1]
        if not found:
            raise ValueError(f"no voter answers; {why}")
        return max(found, key=lambda one: (one.index, -one.confirmed_us_ago))

    def content(self, name: str) -> bytes:
        """Raises ValueError."""
        status, data = self.first("GET", f"content/{name}", most=int(self.fleet.change.content))
        if status != 200 or content_hash(data) != name:
            raise ValueError(f"content {name[:12]} is not to be had: status {status}")
        return data

    def upload(self, data: bytes) -> str:
        """Leave a content with every voter that answers, at least one. Its name."""
        name, kept, why = content_hash(data), 0, ""
        if len(data) > int(self.fleet.change.content):
            raise ValueError(f"a content of {len(data)} bytes, allowed: {int(self.fleet.change.content)}")
        for rank in self.voters:
            try:
                status, told = self.call(rank, "PUT", f"content/{name}", data)
            except AdminCallError as wrong:
                why = str(wrong)
                continue
            kept += status == 200
            why = why if status == 200 else told.decode(errors="replace").strip()
        if not kept:
            raise ValueError(f"no voter takes the contents: {why}")
        return name

    def order(self, order: CommandRequest) -> CommandOutcome:
        """Told to whoever leads, as far as any voter knows. Raises ValueError."""
        leader = self.status().leader
        if leader < 0:
            return CommandOutcome(False, "nobody leads yet", is_retryable=True)
        try:
            status, data = self.call(leader, "POST", "command", msgspec.msgpack.encode(order))
        except AdminCallError as wrong:
            name = self.fleet.gateways[leader].name
            return CommandOutcome(False, f"{name}, which leads, does not answer: {wrong}", is_retryable=True)
        if status not in (200, 409):
            raise ValueError(f"status {status}: {data.decode(errors='replace').strip()}")
        return msgspec.msgpack.decode(data, type=CommandOutcome)


def _latest(status: RolloutStatus) -> Version:
    """The latest version that there is. Raises ValueError where none is founded."""
    found = status.rollout_version or status.current_version
    if found is None:
        raise ValueError("no ledger is founded yet: all voters are needed for that, once")
    return found


def _versions(status: RolloutStatus) -> dict[int, Version]:
    found = {entry.version.number: entry.version for entry in status.history}
    for one in (status.current_version, status.halted_version, status.rollout_version):
        if one is not None:
            found[one.number] = one
    return found


def _new_id() -> str:
    return f"{RealWorld().random.getrandbits(128):032x}"


@click.group()
def change() -> None:
    """Versions of the rules that the whole fleet goes by, approved by a quorum of its voters."""


def _command(work: Callable[..., T]) -> Callable[..., T]:
    def run(*args: Any, **options: Any) -> T:
        with clear_errors():
            return work(*args, **options)

    run.__doc__, run.__name__ = work.__doc__, work.__name__
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
@_command
def propose(settings: str, reason: str, author: str | None, wait: bool) -> None:
    """Have the fleet go by the description and the customers that the settings' files have now.

    Exit 0: every gateway goes by it, or does not serve; 1: it was refused, or taken back; 3: not known yet.
    """
    calls = Calls(settings)
    sources = read_sources(RealWorld(), calls.fleet)
    make_knowledge(*sources, calls.fleet, 0, structlog.get_logger())
    status = calls.status()
    base = _latest(status)
    rules = calls.upload(sources[0])
    parts, *then = _by_steps(calls, base, rules, sources[1])
    name = author or getpass.getuser()
    order = CommandRequest(_new_id(), "propose", base.number, name, reason, parts, followed_by=tuple(then))
    _carry_through(calls, order, wait)


@change.command()
@SETTINGS
@click.argument("number", type=int, required=False)
@REASON
@AUTHOR
@WAIT
@_command
def undo(settings: str, number: int | None, reason: str, author: str | None, wait: bool) -> None:
    """Take a version's edit back, by a new version; the latest one if no number is given.

    Later edits of other operations and customers stay. Exit codes are those of `propose`.
    """
    calls = Calls(settings)
    status = calls.status()
    latest, known = _latest(status), _versions(status)
    wanted = known.get(latest.number if number is None else number)
    if wanted is None:
        raise ValueError(f"version {number} is not known any more, known: {sorted(known)}")
    if wanted.number == 0:
        raise ValueError("version 0 is the first: there is nothing before it")
    if status.rollout_version is not None and wanted == status.rollout_version:
        assert status.current_version is not None
        parts, then = status.current_version.contents, tuple[ContentHashes, ...]()
    else:
        parts, then = _without(calls, wanted, known, latest)
    why = reason or f"undo of version {wanted.number}"
    name = author or getpass.getuser()
    order = CommandRequest(
        _new_id(), "propose", latest.number, name, why, parts, reverts=wanted.number, followed_by=then
    )
    _carry_through(calls, order, wait)


def _without(
    calls: Calls, wanted: Version, known: dict[int, Version], latest: Version
) -> tuple[ContentHashes, tuple[ContentHashes, ...]]:
    """The latest contents without one version's edit, and the versions that follow on the way there."""
    base = known.get(wanted.base)
    if base is None:
        raise ValueError(f"version {wanted.base}, which {wanted.number} was made from, is not known any more")
    found = {}
    for kind, take_back in (("rules", revert_description_edit), ("customers", revert_customers_edit)):
        names = [getattr(one.contents, kind) for one in (base, wanted, latest)]
        if names[0] == names[1]:
            found[kind] = names[2]
        elif names[1] == names[2]:
            found[kind] = names[0]
        else:
            try:
                found[kind] = calls.upload(take_back(*(calls.content(name) for name in names)))
            except RollbackConflictError as wrong:
                raise ValueError(f"version {wanted.number} can't be taken back alone: {wrong}") from None
    if found["customers"] == latest.contents.customers:
        return msgspec.structs.replace(latest.contents, **found), ()
    parts, *then = _by_steps(calls, latest, found["rules"], calls.content(found["customers"]))
    return parts, tuple(then)


def _by_steps(calls: Calls, base: Version, rules: str, customers: bytes) -> list[ContentHashes]:
    """The versions that lead to a customers' file: one, or those of a move of sets."""
    fleet, log = calls.fleet, structlog.get_logger()
    known = calls.content(base.contents.rules)
    old = customer_assignments(
        make_knowledge(known, calls.content(base.contents.customers), fleet, 0, log), fleet
    )
    new = customer_assignments(make_knowledge(known, customers, fleet, 0, log), fleet)
    files = migration_files(old, new, customers, fleet.change.move)
    return [ContentHashes(rules, calls.upload(data)) for data in files]


@change.command()
@SETTINGS
@REASON
@AUTHOR
@_command
def stop(settings: str, reason: str, author: str | None) -> None:
    """Stop the change on its way: one that is asked about ends, one that is adopted goes no further."""
    _order_on_change(settings, "stop", reason, author)


@change.command()
@SETTINGS
@AUTHOR
@_command
def resume(settings: str, author: str | None) -> None:
    """Let a stopped change go on."""
    _order_on_change(settings, "resume", "", author)


def _order_on_change(settings: str, do: str, reason: str, author: str | None) -> None:
    calls = Calls(settings)
    status = calls.status()
    if status.rollout_version is None:
        raise ValueError("no change is on its way")
    number = status.rollout_version.number
    order = CommandRequest(_new_id(), do, number, author or getpass.getuser(), reason)
    _end(_insist(calls, order), f"{do}: version {number}")


def _end(outcome: CommandOutcome, done: str) -> NoReturn:
    click.echo(done if outcome.is_accepted else f"not taken: {outcome.reason}")
    sys.exit(0 if outcome.is_accepted else NO)


def _insist(calls: Calls, order: CommandRequest) -> CommandOutcome:
    """Tell a command again while nobody leads: by its name it is taken once at most."""
    by = time.monotonic() + INSIST
    while True:
        outcome = calls.order(order)
        if outcome.is_accepted or not outcome.is_retryable or time.monotonic() > by:
            return outcome
        time.sleep(LOOK_EVERY)


def _carry_through(calls: Calls, order: CommandRequest, wait: bool) -> NoReturn:
    """Propose, and follow it to its end."""
    outcome = _insist(calls, order)
    if not outcome.is_accepted:
        _end(outcome, "")
    if not wait:
        click.echo("taken")
        sys.exit(0)
    by = time.monotonic() + (int(calls.fleet.change.decide) + 3 * int(calls.fleet.change.lease)) / 1e6 + 5
    told = ""
    while time.monotonic() < by:
        try:
            status = calls.status()
        except ValueError:
            time.sleep(LOOK_EVERY)
            continue
        line, code = _how_it_stands(order, status)
        if line != told and line:
            click.echo(line)
            told = line
        if code is not None:
            sys.exit(code)
        time.sleep(LOOK_EVERY)
    click.echo("it is not over; see `orchidlane change status`")
    sys.exit(UNKNOWN)


def _how_it_stands(order: CommandRequest, status: RolloutStatus) -> tuple[str, int | None]:
    """A line about a proposal, and the exit code once it is over."""
    change = status.rollout_version
    if change is not None and change.proposal_id == order.command_id:
        done = sum(one.running_number == change.number for one in status.gateways)
        paused = f", stopped: {status.pause_reason}" if status.pause_reason else ""
        return (
            f"version {change.label()}: {status.phase}, {done} of {len(status.gateways)} run it{paused}",
            None,
        )
    for entry in reversed(status.history):
        if entry.version.proposal_id == order.command_id and not (
            entry.outcome == "done" and entry.version.followed_by
        ):
            why = f": {entry.reason}" if entry.reason else ""
            return (
                f"version {entry.version.label()}: {entry.outcome}{why}",
                0 if entry.outcome == "done" else NO,
            )
    return "", None


@change.command("status")
@SETTINGS
@click.option("--json", "as_json", is_flag=True)
@_command
def status_command(settings: str, as_json: bool) -> None:
    """How the fleet's versions stand: who leads, what is on its way, which gateways run what.

    Exit 0: a quorum confirmed this lately; 3: none did, and what is shown may be old.
    """
    calls = Calls(settings)
    status = calls.status()
    fresh = 0 <= status.confirmed_us_ago <= int(calls.fleet.change.lease)
    if as_json:
        click.echo(msgspec.json.encode(status).decode())
        sys.exit(0 if fresh else UNKNOWN)
    names = [entry.name for entry in calls.fleet.gateways]
    click.echo(f"leader     {names[status.leader] if status.leader >= 0 else 'none'}, term {status.term}")
    click.echo(f"voters     {', '.join(names[rank] for rank in status.member_ranks) or 'not founded yet'}")
    if status.confirmed_us_ago < 0:
        click.echo("confirmed  never, as far as is known here: no change can be made without a quorum")
    else:
        late = "" if fresh else "; no quorum since: no change can be made, and gateways stop to serve"
        click.echo(f"confirmed  {status.confirmed_us_ago / 1e6:.1f} s ago{late}")
    if status.current_version is not None:
        click.echo(f"current    {_line(status.current_version)}")
    if status.rollout_version is not None:
        paused = f", stopped: {status.pause_reason}" if status.pause_reason else ""
        click.echo(f"on its way {_line(status.rollout_version)}: {status.phase}{paused}")
    if status.halted_version is not None:
        click.echo(f"taken back {_line(status.halted_version)}")
    for one in status.gateways:
        click.echo(f"{names[one.rank]:16} {_gateway_line(one)}")
    sys.exit(0 if fresh else UNKNOWN)


def _gateway_line(one: Any) -> str:
    if one.last_seen_us_ago < 0:
        return "not heard of by whoever leads now"
    behind = (
        f", wanted {one.target_number}: {one.reason or 'on its way'}"
        if one.running_number != one.target_number
        else ""
    )
    return f"runs {one.running_number} for {one.running_for_us / 1e6:.1f} s, heard {one.last_seen_us_ago / 1e6:.1f} s ago{behind}"


def _line(version: Version) -> str:
    undoes = f", undoes {version.reverts}" if version.reverts else ""
    return f"{version.label()} from {version.base} by {version.author}{undoes}: {version.reason}"


@change.command()
@SETTINGS
@click.option("--json", "as_json", is_flag=True)
@_command
def history(settings: str, as_json: bool) -> None:
    """The versions that are remembered, the latest last."""
    status = Calls(settings).status()
    if as_json:
        click.echo(msgspec.json.encode(status.history).decode())
        return
    for entry in status.history:
        click.echo(
            f"{entry.outcome:8} {_line(entry.version)}" + (f" ({entry.reason})" if entry.reason else "")
        )
