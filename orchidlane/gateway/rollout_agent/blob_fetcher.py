"""Fetches of replicated states and contents from other gateways, verified by their hash."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from random import Random
from typing import Any

import msgspec

from orchidlane.gateway.rollout_agent.admin_client import AdminCallError, AdminClient
from orchidlane.gateway.rollout_agent.agent_state import AgentState
from orchidlane.gateway.rollout_agent.background_tasks import BackgroundTasks
from orchidlane.gateway.rollout_agent.storage import RolloutStorage
from orchidlane.rollout import replicated_state
from orchidlane.rollout.replicated_state import ReplicatedState
from orchidlane.rollout.version import ContentHashes, content_hash, is_content_hash

FETCH_TIMEOUT_US = 2_000_000
MAX_CONCURRENT_FETCHES = 8  # of replicated states
RANDOM_SOURCES = 2  # gateways that are tried for a content before voters and the leader


class ContentUnavailableError(Exception):
    """A content is neither here nor at the gateways that were asked; it may still come."""


class BlobFetcher:
    """Fetches for one gateway."""

    def __init__(
        self,
        rank: int,
        voters: list[int],
        client: AdminClient,
        agent_state: AgentState,
        storage: RolloutStorage,
        background: BackgroundTasks,
        rng: Random,
        log: Any,
    ) -> None:
        self.rank = rank
        self.voters = voters
        self.client = client
        self.agent_state = agent_state
        self.storage = storage
        self.background = background
        self.random = rng
        self.log = log
        self._fetching: set[str] = set()

    # -- replicated states

    def with_state(self, rank: int, state_hash: str, use: Callable[[ReplicatedState], None]) -> None:
        """Call ``use`` with a state, at once or when it came from a gateway; never where it does not come."""
        if not is_content_hash(state_hash):
            return
        if state_hash in self.storage.cached_states:
            self._decode_state(self.storage.cached_states[state_hash], use)
            return
        key = f"{state_hash}/{rank}"
        too_many = len(self._fetching) >= MAX_CONCURRENT_FETCHES
        if key in self._fetching or too_many or not self.background.is_started:
            return
        self._fetching.add(key)

        def fetch() -> None:
            try:
                data = self._fetch(state_hash, [rank])
                if data is not None:
                    self.storage.cache_state(state_hash, data)
                    self._decode_state(data, use)
            finally:
                self._fetching.discard(key)

        self.background.start_fetch(fetch)

    def _decode_state(self, data: bytes, use: Callable[[ReplicatedState], None]) -> None:
        try:
            state = replicated_state.decode(data)
        except msgspec.DecodeError as error:
            self.log.error("not a replicated state", reason=str(error))
            return
        use(state)

    # -- contents

    def ensure_contents(self, contents: ContentHashes) -> None:
        """Fetch and write what is missing of a version. Raises ContentUnavailableError, OSError."""
        for blob_hash in contents.hashes():
            data = self.storage.read_blob(blob_hash)
            if data is None:
                data = self._fetch(blob_hash, self._sources())
            if data is None:
                raise ContentUnavailableError(f"content {blob_hash[:12]} is not to be had yet")
            if blob_hash not in self.storage.contents:
                self.storage.write_content(blob_hash, data)

    def _sources(self) -> list[int]:
        """Return random gateways, so that many who ask at once spread their load, then likely ones."""
        state = self.agent_state.replicated
        candidates = [self.random.randrange(len(self.client.fleet.gateways)) for _ in range(RANDOM_SOURCES)]
        voters = [member.rank for member in state.members] if state is not None else self.voters
        leader = state.leader if state is not None else -1
        candidates += [self.random.choice(voters), leader, self.random.choice(voters)]
        return [rank for rank in dict.fromkeys(candidates) if rank >= 0 and rank != self.rank]

    def _fetch(self, blob_hash: str, ranks: Iterable[int]) -> bytes | None:
        """Return a blob from the first gateway that has it."""
        max_bytes = int(self.client.fleet.rollout.max_content_bytes)
        for rank in ranks:
            try:
                response = self.client.call(
                    rank,
                    "GET",
                    f"content/{blob_hash}",
                    timeout_us=FETCH_TIMEOUT_US,
                    max_response_bytes=max_bytes,
                )
            except AdminCallError:
                continue
            if response.status == 200 and content_hash(response.body) == blob_hash:
                return response.body
        return None
