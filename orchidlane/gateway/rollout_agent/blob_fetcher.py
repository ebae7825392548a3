"""Fetches replicated states and content files from other gateways and verifies their hashes."""

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
RANDOM_SOURCES = 2  # random gateways that are tried for a content file before voters and the leader


class ContentUnavailableError(Exception):
    """No gateway that was tried has a content file; a later attempt may succeed."""


class BlobFetcher:
    """Fetches replicated states and content files for one gateway."""

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
        """Call ``use`` with a replicated state: immediately if it is cached, otherwise once it is fetched.

        ``use`` is not called if the hash is invalid, the fetch fails or too many fetches are running. The
        message that named the state then has no effect, as if it were lost.
        """
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
            self.log.error("invalid replicated state received", reason=str(error))
            return
        use(state)

    # -- contents

    def ensure_contents(self, contents: ContentHashes) -> None:
        """Fetch and store the missing content files of a version. Raises ContentUnavailableError, OSError."""
        for blob_hash in contents.hashes():
            data = self.storage.read_blob(blob_hash)
            if data is None:
                data = self._fetch(blob_hash, self._sources())
            if data is None:
                raise ContentUnavailableError(
                    f"content {blob_hash[:12]} is not available from any source yet"
                )
            if blob_hash not in self.storage.contents:
                self.storage.write_content(blob_hash, data)

    def _sources(self) -> list[int]:
        """Return the ranks to fetch content files from, in this order.

        Random gateways come first, so that the load spreads when many gateways fetch at the same time. A
        voter, the leader and another voter follow, as they are likely to have the files.
        """
        state = self.agent_state.replicated
        candidates = [self.random.randrange(len(self.client.fleet.gateways)) for _ in range(RANDOM_SOURCES)]
        voters = [member.rank for member in state.members] if state is not None else self.voters
        leader = state.leader if state is not None else -1
        candidates += [self.random.choice(voters), leader, self.random.choice(voters)]
        return [rank for rank in dict.fromkeys(candidates) if rank >= 0 and rank != self.rank]

    def _fetch(self, blob_hash: str, ranks: Iterable[int]) -> bytes | None:
        """Return a blob from the first of the gateways that has it; None if none of them does."""
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
