"""Client of the gateways' rollout API, for the ``change`` commands."""

from __future__ import annotations

from collections.abc import Callable

import msgspec

from orchidlane.gateway.control.settings import FleetSettings
from orchidlane.gateway.control.settings_loader import load_settings, read_secret
from orchidlane.gateway.rollout_agent.admin_client import AdminCallError, AdminClient, AdminResponse
from orchidlane.gateway.rollout_agent.admin_messages import CommandOutcome, CommandRequest, RolloutStatus
from orchidlane.gateway.rollout_agent.settings import check_rollout_settings, voter_ranks
from orchidlane.rollout.version import content_hash
from orchidlane.runtime import EventLoop, RealBackend

CALL_TIMEOUT_US = 8_000_000
MAX_RESPONSE_BYTES = 1 << 20  # of a response that is not a content


class RolloutClient:
    """Calls to the gateways of a fleet, sealed under its secret; each runs in its own event loop."""

    def __init__(self, settings: str) -> None:
        """Read the settings. Raises ValueError where they name no voters."""
        self.fleet: FleetSettings = load_settings(settings)
        check_rollout_settings(self.fleet)
        if not self.fleet.rollout.voting_members:
            raise ValueError(f"{settings}: change.voters: is empty, so the fleet has no versions")
        self.secret = read_secret(self.fleet.peers.secret_file)
        self.voters = voter_ranks(self.fleet)
        self.max_content_bytes = int(self.fleet.rollout.max_content_bytes)

    def gateway_name(self, rank: int) -> str:
        """Return a gateway's name in the settings."""
        return self.fleet.gateways[rank].name

    def call(
        self,
        rank: int,
        method: str,
        path: str,
        body: bytes = b"",
        max_response_bytes: int = MAX_RESPONSE_BYTES,
    ) -> AdminResponse:
        """Call one gateway. Raises AdminCallError."""
        loop = EventLoop(RealBackend())
        client = AdminClient(loop, self.fleet, self.secret)

        def call() -> AdminResponse:
            return client.call(
                rank,
                method,
                path,
                body,
                timeout_us=CALL_TIMEOUT_US,
                max_response_bytes=max_response_bytes,
            )

        return _run(loop, call)

    def status(self) -> RolloutStatus:
        """Return the leader's status, or else the latest of any voter. Raises ValueError."""
        statuses: list[RolloutStatus] = []
        failure = ""
        for rank in self.voters:
            try:
                response = self.call(rank, "GET", "status")
            except AdminCallError as error:
                failure = f"{self.gateway_name(rank)}: {error}"
                continue
            if response.status != 200:
                raise ValueError(_unexpected_status(response))
            status = msgspec.msgpack.decode(response.body, type=RolloutStatus)
            if status.is_leader and 0 <= status.confirmed_us_ago <= self.fleet.rollout.election_timeout_us:
                return status
            statuses.append(status)
        if not statuses:
            raise ValueError(f"no voter responded; {failure}")
        return max(statuses, key=lambda status: (status.index, -status.confirmed_us_ago))

    def content(self, blob_hash: str) -> bytes:
        """Return a content; voters are tried before other gateways. Raises ValueError."""
        response = self._first_response("GET", f"content/{blob_hash}")
        if response.status != 200 or content_hash(response.body) != blob_hash:
            raise ValueError(f"content {blob_hash[:12]} is not available: status {response.status}")
        return response.body

    def _first_response(self, method: str, path: str) -> AdminResponse:
        """Return the first response that is not 404. Raises ValueError where there is none."""
        others = [rank for rank in range(len(self.fleet.gateways)) if rank not in self.voters]
        failure = ""
        for rank in (*self.voters, *others):
            try:
                response = self.call(rank, method, path, max_response_bytes=self.max_content_bytes)
            except AdminCallError as error:
                failure = failure or f"{self.gateway_name(rank)}: {error}"
                continue
            if response.status != 404:
                return response
        raise ValueError(f"no gateway returned the content; {failure}")

    def upload(self, data: bytes) -> str:
        """Store a content at the voters and return its hash. Raises ValueError if none stored it."""
        if len(data) > self.max_content_bytes:
            raise ValueError(f"the content has {len(data)} bytes, allowed: at most {self.max_content_bytes}")
        blob_hash = content_hash(data)
        stored = 0
        failure = ""
        for rank in self.voters:
            try:
                response = self.call(rank, "PUT", f"content/{blob_hash}", data)
            except AdminCallError as error:
                failure = str(error)
                continue
            if response.status == 200:
                stored += 1
            else:
                failure = _body_text(response)
        if not stored:
            raise ValueError(f"no voter stored the content: {failure}")
        return blob_hash

    def send_command(self, request: CommandRequest) -> CommandOutcome:
        """Send a command to the leader that the voters report. Raises ValueError."""
        leader = self.status().leader
        if leader < 0:
            return CommandOutcome(False, "there is no leader yet", is_retryable=True)
        try:
            response = self.call(leader, "POST", "command", msgspec.msgpack.encode(request))
        except AdminCallError as error:
            reason = f"{self.gateway_name(leader)}, the leader, did not respond: {error}"
            return CommandOutcome(False, reason, is_retryable=True)
        if response.status not in (200, 409):
            raise ValueError(_unexpected_status(response))
        return msgspec.msgpack.decode(response.body, type=CommandOutcome)


def _run(loop: EventLoop, call: Callable[[], AdminResponse]) -> AdminResponse:
    """Run a call in an event loop and return its response. Raises AdminCallError."""
    results: list[AdminResponse | AdminCallError] = []

    def run() -> None:
        try:
            results.append(call())
        except AdminCallError as error:
            results.append(error)

    loop.run(run)
    result = results[0]
    if isinstance(result, AdminCallError):
        raise result
    return result


def _unexpected_status(response: AdminResponse) -> str:
    return f"status {response.status}: {_body_text(response)}"


def _body_text(response: AdminResponse) -> str:
    return response.body.decode(errors="replace").strip()
