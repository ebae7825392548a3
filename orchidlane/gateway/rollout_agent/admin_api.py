"""The rollout API at a gateway's admin address: content files, response counts, status and commands.

Every call carries a seal: a MAC under the fleet's key over method, target and body. Without the key, a client
can neither read nor change anything. Replaying a recorded call has no effect: content files are named by
their hash, and a command carries an id and the number of the version that it is based on. The leader carries
out commands; any other gateway forwards a command to the leader, at most once.
"""

from __future__ import annotations

import msgspec

from orchidlane.gateway.rollout_agent.admin_client import (
    PATH_PREFIX,
    SEAL_PURPOSE,
    AdminCallError,
    AdminResponse,
)
from orchidlane.gateway.rollout_agent.admin_messages import (
    CommandOutcome,
    CommandRequest,
    GatewayStatus,
    RolloutStatus,
)
from orchidlane.gateway.rollout_agent.agent import RolloutAgent
from orchidlane.gateway.rollout_agent.voter_runner import COMMAND_TIMEOUT_US
from orchidlane.rollout.commands import ProposeVersion, ResumeRollout, StopRollout
from orchidlane.rollout.leader import Leadership
from orchidlane.rollout.replicated_state import ReplicatedState
from orchidlane.rollout.version import MAX_TEXT_CHARACTERS, content_hash, is_content_hash, verify_seal

FORWARD_TIMEOUT_US = COMMAND_TIMEOUT_US + 1_000_000
MAX_FOLLOWING_VERSIONS = 14
MAX_ID_CHARACTERS = 64

NO_STATE = "there is no replicated state yet: it is created once all voters run"


class InvalidCommandError(Exception):
    """A request does not contain a valid command; the message says why."""


class RolloutAdminApi:
    """Serves the rollout API of one gateway."""

    def __init__(self, agent: RolloutAgent) -> None:
        self.agent = agent
        self.max_body_bytes = int(agent.fleet.rollout.max_content_bytes)

    def answer(self, method: str, target: bytes, seal: bytes | None, body: bytes) -> AdminResponse:
        """Verify the seal of a call, carry the call out and return the response."""
        if not verify_seal(self.agent.secret, _parse_seal(seal), SEAL_PURPOSE, method, target, body):
            return AdminResponse(403, b"not sealed under the fleet's key\n")
        resource, _, name = target.removeprefix(PATH_PREFIX).decode("latin-1").partition("/")
        match method, resource:
            case "GET", "content" if is_content_hash(name):
                return self._get_content(name)
            case "PUT", "content" if is_content_hash(name):
                return self._put_content(name, body)
            case "GET", "counts":
                return AdminResponse(200, msgspec.msgpack.encode(self.agent.response_tally.counts()))
            case "GET", "status":
                return AdminResponse(200, msgspec.msgpack.encode(self.status()))
            case "POST", "command":
                return self._post_command(body)
        return AdminResponse(404, b"no such call\n")

    def _get_content(self, blob_hash: str) -> AdminResponse:
        data = self.agent.storage.read_blob(blob_hash)
        return AdminResponse(200, data) if data is not None else AdminResponse(404, b"not here\n")

    def _put_content(self, blob_hash: str, data: bytes) -> AdminResponse:
        """Store a content file that a later proposal will name."""
        if content_hash(data) != blob_hash:
            return AdminResponse(400, b"not the content of this name\n")
        try:
            self.agent.storage.write_upload(blob_hash, data)
        except OSError as error:
            return AdminResponse(507, f"not written: {error.strerror}\n".encode())
        return AdminResponse(200, b"kept\n")

    # -- commands

    def _post_command(self, body: bytes) -> AdminResponse:
        try:
            request = msgspec.msgpack.decode(body, type=CommandRequest)
        except msgspec.DecodeError as error:
            return AdminResponse(400, f"{error}\n".encode())
        state = self.agent.state
        if state is None:
            return _outcome_response(CommandOutcome(False, NO_STATE))
        try:
            command = _to_command(request)
        except InvalidCommandError as error:
            return _outcome_response(CommandOutcome(False, str(error)))
        outcome = self.agent.run_command(command, request.command_id)
        if outcome is None:
            return self._forward(request, state)
        if self._is_known_proposal(request.command_id):
            outcome = CommandOutcome(True)  # an earlier copy of this request was accepted
        return _outcome_response(outcome)

    def _is_known_proposal(self, command_id: str) -> bool:
        state = self.agent.state
        return state is not None and any(version.proposal_id == command_id for version in state.versions())

    def _forward(self, request: CommandRequest, state: ReplicatedState) -> AdminResponse:
        """Forward a command to the leader, unless another gateway forwarded it already."""
        if request.is_forwarded or state.leader in (-1, self.agent.rank):
            reason = (
                f"there is no leader: the last one was gateway {state.leader} in term {state.term}; without a"
                " quorum of voters no version can change, and gateways serve only until their leases expire"
            )
            return _outcome_response(CommandOutcome(False, reason, is_retryable=True))
        body = msgspec.msgpack.encode(msgspec.structs.replace(request, is_forwarded=True))
        try:
            return self.agent.client.call(
                state.leader, "POST", "command", body, timeout_us=FORWARD_TIMEOUT_US
            )
        except AdminCallError as error:
            reason = f"gateway {state.leader}, the leader, does not respond: {error}"
            return _outcome_response(CommandOutcome(False, reason, is_retryable=True))

    # -- status

    def status(self) -> RolloutStatus:
        """Return the state of the fleet's versions as this gateway knows it."""
        agent = self.agent
        state = agent.state
        leadership = agent.leadership
        rollout = state.rollout if state is not None else None
        is_leader = leadership is not None and leadership.is_leader
        now = agent.loop.now()
        confirmed_at = agent.dissemination.confirmed_at
        return RolloutStatus(
            gateway=agent.rank,
            is_leader=is_leader,
            term=state.term if state else 0,
            leader=state.leader if state else -1,
            confirmed_us_ago=-1 if confirmed_at is None else now - confirmed_at,
            rejection_reason=agent.rejection_reason(),
            running_version=agent.agent_state.running_label,
            index=state.index if state else 0,
            current_version=state.current.version if state else None,
            rollout_version=rollout.version if rollout else None,
            phase=rollout.phase.value if rollout else "",
            pause_reason=rollout.pause_reason if rollout else "",
            halted_version=state.halted_rollout.version if state and state.halted_rollout else None,
            history=state.history if state else (),
            member_ranks=tuple(member.rank for member in state.members) if state else (),
            votes=_vote_texts(leadership),
            gateways=_gateway_statuses(leadership, now) if leadership and is_leader else (),
        )


def _parse_seal(seal: bytes | None) -> bytes:
    """Return the seal in a header field; b"" if the field is missing or not hexadecimal."""
    try:
        return bytes.fromhex((seal or b"").decode("latin-1"))
    except ValueError:
        return b""


def _to_command(request: CommandRequest) -> ProposeVersion | StopRollout | ResumeRollout:
    """Return the requested command; its term is 0 until the leader sets it. Raises InvalidCommandError."""
    if not 0 < len(request.command_id) <= MAX_ID_CHARACTERS:
        raise InvalidCommandError("the command's id must have 1 to 64 characters")
    author = request.author[:MAX_TEXT_CHARACTERS]
    reason = request.reason[:MAX_TEXT_CHARACTERS]
    match request.action:
        case "propose" if request.contents is not None:
            following = len(request.followed_by)
            if following > MAX_FOLLOWING_VERSIONS:
                raise InvalidCommandError(
                    f"{following} versions are to follow the proposed one, maximum: {MAX_FOLLOWING_VERSIONS}"
                )
            return ProposeVersion(
                term=0,
                proposal_id=request.command_id,
                contents=request.contents,
                base=request.base,
                author=author,
                reason=reason,
                reverts=request.reverts,
                followed_by=request.followed_by,
            )
        case "stop":
            stop_reason = f"by {author}: {reason}" if reason else f"by {author}"
            return StopRollout(0, request.base, stop_reason, request.command_id)
        case "resume":
            return ResumeRollout(0, request.base, request.command_id)
    raise InvalidCommandError(
        f"unknown action, allowed are propose (with contents), stop and resume: {request.action!r}"
    )


def _outcome_response(outcome: CommandOutcome) -> AdminResponse:
    return AdminResponse(200 if outcome.is_accepted else 409, msgspec.msgpack.encode(outcome))


def _vote_texts(leadership: Leadership | None) -> dict[int, str]:
    if leadership is None:
        return {}
    return {rank: vote.reason or "yes" for rank, vote in leadership.driver.votes.items()}


def _gateway_statuses(leadership: Leadership, now: int) -> tuple[GatewayStatus, ...]:
    return tuple(_gateway_status(leadership, rank, now) for rank in range(leadership.driver.gateway_count))


def _gateway_status(leadership: Leadership, rank: int, now: int) -> GatewayStatus:
    report = leadership.driver.reports.get(rank)
    if report is None:
        return GatewayStatus(rank)
    return GatewayStatus(
        rank,
        report.running_number,
        report.target_number,
        report.reason,
        last_seen_us_ago=now - report.received_at,
        running_for_us=now - report.running_since,
    )
