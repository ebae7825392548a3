"""What others ask at the admin address of the fleet's versions: contents, how things stand, commands.

Every call carries a seal under the fleet's key, over method, target and body; whoever merely reaches the
address learns and changes nothing. A call heard again is harmless: contents are told by their hash, a command
has a name of its own and the version that it was made from. A command is carried out where somebody leads;
any other gateway passes it on, once.
"""

from __future__ import annotations

import msgspec

from orchidlane.gateway.rollout_agent.admin_client import (
    PATH_PREFIX,
    SEAL_PURPOSE,
    AdminCallError,
    call_admin_api,
)
from orchidlane.gateway.rollout_agent.agent import COMMAND_TIMEOUT_US, CommandOutcome, RolloutAgent
from orchidlane.rollout.commands import ProposeVersion, ResumeRollout, StopRollout
from orchidlane.rollout.replicated_state import HistoryEntry, ReplicatedState
from orchidlane.rollout.version import (
    MAX_TEXT_CHARACTERS,
    ContentHashes,
    Version,
    content_hash,
    is_content_hash,
    verify_seal,
)

FORWARD_TIMEOUT_US = COMMAND_TIMEOUT_US + 1_000_000  # microseconds
MAX_FOLLOWING_VERSIONS = 14  # versions that follow one proposal
MAX_ID_CHARACTERS = 64  # characters

Response = tuple[int, bytes]


class CommandRequest(msgspec.Struct, frozen=True):
    """A command, as it is sent. ``base`` is the latest version that its author knew of."""

    command_id: str = msgspec.field(name="id")
    action: str = msgspec.field(name="do")  # propose, stop, resume
    base: int
    author: str = ""
    reason: str = ""
    contents: ContentHashes | None = msgspec.field(default=None, name="parts")
    reverts: int = msgspec.field(default=0, name="undoes")
    followed_by: tuple[ContentHashes, ...] = msgspec.field(default=(), name="then")
    is_forwarded: bool = msgspec.field(default=False, name="passed_on")


class GatewayStatus(msgspec.Struct, frozen=True):
    """What whoever leads knows of one gateway; spans in microseconds, -1: never heard of."""

    rank: int
    running_number: int = msgspec.field(default=-1, name="runs")
    target_number: int = msgspec.field(default=-1, name="wanted")
    reason: str = msgspec.field(default="", name="why")
    last_seen_us_ago: int = msgspec.field(default=-1, name="heard")  # ago
    running_for_us: int = msgspec.field(
        default=-1, name="since"
    )  # it runs that for so long, as far as we heard


class RolloutStatus(msgspec.Struct, frozen=True):
    """How things stand, as the gateway that answers knows them."""

    gateway: int
    is_leader: bool = msgspec.field(name="leads")
    term: int
    leader: int
    confirmed_us_ago: int = msgspec.field(
        name="confirmed"
    )  # microseconds ago a quorum confirmed this, -1: never
    rejection_reason: str = msgspec.field(name="serves")  # why not; "" where it does
    running_version: str = msgspec.field(name="running")
    index: int
    current_version: Version | None = msgspec.field(name="current")
    rollout_version: Version | None = msgspec.field(name="change")
    phase: str = msgspec.field(name="stage")
    pause_reason: str = msgspec.field(name="paused")
    halted_version: Version | None = msgspec.field(name="halted")
    history: tuple[HistoryEntry, ...]
    member_ranks: tuple[int, ...] = msgspec.field(name="seats")
    votes: dict[int, str]
    gateways: tuple[GatewayStatus, ...]


def known_versions(agent: RolloutAgent) -> list[Version]:
    """The versions of the latest ledger."""
    return agent.state.versions() if agent.state is not None else []


class RolloutAdminApi:
    """Answers for one gateway."""

    def __init__(self, agent: RolloutAgent) -> None:
        self.agent = agent
        self.body_most = int(agent.fleet.change.content)

    def answer(self, method: str, target: bytes, seal: bytes | None, body: bytes) -> Response:
        """Status and body."""
        try:
            sealed = bytes.fromhex((seal or b"").decode("latin-1"))
        except ValueError:
            sealed = b""
        if not verify_seal(self.agent.secret, sealed, SEAL_PURPOSE, method, target, body):
            return 403, b"not sealed under the fleet's key\n"
        what, _, name = target.removeprefix(PATH_PREFIX).decode("latin-1").partition("/")
        match method, what:
            case "GET", "content" if is_content_hash(name):
                return self._get_content(name)
            case "PUT", "content" if is_content_hash(name):
                return self._put_content(name, body)
            case "GET", "counts":
                return 200, msgspec.msgpack.encode(self.agent.answer_tally.counts())
            case "GET", "status":
                return 200, msgspec.msgpack.encode(self.status())
            case "POST", "command":
                return self._post_command(body)
        return 404, b"no such call\n"

    def _get_content(self, name: str) -> Response:
        data = self.agent.storage.read_blob(name)
        return (200, data) if data is not None else (404, b"not here\n")

    def _put_content(self, name: str, data: bytes) -> Response:
        """Contents of a proposal to come; those that nothing came of go first."""
        files = self.agent.storage
        if content_hash(data) != name:
            return 400, b"not the content of this name\n"
        try:
            files.write_upload(name, data)
        except OSError as wrong:
            return 507, f"not written: {wrong.strerror}\n".encode()
        return 200, b"kept\n"

    # -- commands

    def _post_command(self, body: bytes) -> Response:
        try:
            order = msgspec.msgpack.decode(body, type=CommandRequest)
        except msgspec.DecodeError as wrong:
            return 400, f"{wrong}\n".encode()
        latest = self.agent.state
        if latest is None:
            return self._outcome_response(
                CommandOutcome(False, "no ledger is founded: all voters are needed for that, once")
            )
        step = self._to_command(order)
        if isinstance(step, str):
            return self._outcome_response(CommandOutcome(False, step))
        outcome = self.agent.run_command(step, order.command_id)
        if outcome is None:
            return self._forward(order, latest)
        if any(one.proposal_id == order.command_id for one in known_versions(self.agent)):
            outcome = CommandOutcome(True)  # told again
        return self._outcome_response(outcome)

    def _to_command(self, request: CommandRequest) -> ProposeVersion | StopRollout | ResumeRollout | str:
        if not 0 < len(request.command_id) <= MAX_ID_CHARACTERS:
            return "a command has a name"
        author, reason = request.author[:MAX_TEXT_CHARACTERS], request.reason[:MAX_TEXT_CHARACTERS]
        match request.action:
            case "propose" if request.contents is not None:
                if len(request.followed_by) > MAX_FOLLOWING_VERSIONS:
                    return (
                        f"{len(request.followed_by)} versions that follow, allowed: {MAX_FOLLOWING_VERSIONS}"
                    )
                return ProposeVersion(
                    0,
                    request.command_id,
                    request.contents,
                    request.base,
                    author,
                    reason,
                    request.reverts,
                    request.followed_by,
                )
            case "stop":
                return StopRollout(
                    0,
                    request.base,
                    f"by {author}: {reason}" if reason else f"by {author}",
                    request.command_id,
                )
            case "resume":
                return ResumeRollout(0, request.base, request.command_id)
        return f"no such command: {request.action!r}"

    def _forward(self, request: CommandRequest, state: ReplicatedState) -> Response:
        if request.is_forwarded or state.leader in (-1, self.agent.rank):
            gone = (
                f"nobody leads: gateway {state.leader} did in term {state.term}; without a quorum of voters"
                " nothing changes, and what runs is served for a lease after their last word"
            )
            return self._outcome_response(CommandOutcome(False, gone, is_retryable=True))
        body = msgspec.msgpack.encode(msgspec.structs.replace(request, is_forwarded=True))
        return self._call_leader("POST", PATH_PREFIX + b"command", body, state.leader)

    def _call_leader(self, method: str, target: bytes, body: bytes, rank: int) -> Response:
        versions = self.agent
        by = versions.loop.now() + FORWARD_TIMEOUT_US
        try:
            return call_admin_api(
                versions.loop, versions.admin_of(rank), versions.secret, method, target, body, deadline_us=by
            )
        except AdminCallError as wrong:
            gone = f"gateway {rank}, which leads, does not answer: {wrong}"
            return self._outcome_response(CommandOutcome(False, gone, is_retryable=True))

    def _outcome_response(self, outcome: CommandOutcome) -> Response:
        return 200 if outcome.is_accepted else 409, msgspec.msgpack.encode(outcome)

    # -- how things stand

    def status(self) -> RolloutStatus:
        """As this gateway knows it."""
        versions, latest = self.agent, self.agent.state
        conductor, now = versions.leadership, versions.loop.now()
        change = latest.rollout if latest is not None else None
        leads = conductor is not None and conductor.is_leader
        fresh = versions.dissemination.confirmed_at
        return RolloutStatus(
            gateway=versions.rank,
            is_leader=leads,
            term=latest.term if latest else 0,
            leader=latest.leader if latest else -1,
            confirmed_us_ago=-1 if fresh is None else now - fresh,
            rejection_reason=versions.rejection_reason(),
            running_version=versions.running_label(),
            index=latest.index if latest else 0,
            current_version=latest.current.version if latest else None,
            rollout_version=change.version if change else None,
            phase=change.phase.value if change else "",
            pause_reason=change.pause_reason if change else "",
            halted_version=latest.halted_rollout.version if latest and latest.halted_rollout else None,
            history=latest.history if latest else (),
            member_ranks=tuple(seat.rank for seat in latest.members) if latest else (),
            votes={rank: vote.reason or "yes" for rank, vote in conductor.driver.votes.items()}
            if conductor
            else {},
            gateways=self._gateways(now) if leads else (),
        )

    def _gateways(self, now: int) -> tuple[GatewayStatus, ...]:
        conductor = self.agent.leadership
        assert conductor is not None
        found = []
        for rank in range(conductor.driver.gateway_count):
            known = conductor.driver.reports.get(rank)
            if known is None:
                found.append(GatewayStatus(rank))
            else:
                heard, since = now - known.received_at, now - known.running_since
                found.append(
                    GatewayStatus(rank, known.running_number, known.target_number, known.reason, heard, since)
                )
        return tuple(found)
