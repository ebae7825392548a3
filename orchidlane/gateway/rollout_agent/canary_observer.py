"""The leader's observation of a stage: response counts of sampled gateways on both versions."""

from __future__ import annotations

from typing import Any

import msgspec

from orchidlane.gateway.rollout_agent.admin_client import AdminCallError, AdminClient
from orchidlane.gateway.rollout_agent.answer_tally import ResponseTally
from orchidlane.rollout.canary_analysis import CountsByStratum, ResponseCounts, counts_since
from orchidlane.rollout.phases import CanaryObservation
from orchidlane.rollout.replicated_state import Rollout
from orchidlane.rollout.rollout_driver import RolloutDriver

COUNTS_TIMEOUT_US = 500_000

_counts_decoder = msgspec.msgpack.Decoder(dict[str, ResponseCounts])


class CanaryObserver:
    """Requests response counts from gateways and passes the increase since the last round to the analysis."""

    def __init__(self, rank: int, client: AdminClient, response_tally: ResponseTally, log: Any) -> None:
        self.rank = rank
        self.client = client
        self.response_tally = response_tally
        self.log = log
        # Counts at the last round, by rank and by whether the gateway ran the new version.
        self._earlier_counts: dict[tuple[int, bool], CountsByStratum] = {}
        self._round_number = 0
        self._observed_number = 0

    def observe(self, rollout: Rollout, driver: RolloutDriver) -> None:
        """Observe a sample of the gateways on the new version and of those on the old one."""
        self._round_number += 1
        number = rollout.version.number
        if self._observed_number != number:
            self._observed_number = number
            self._earlier_counts.clear()
        sides = driver.sample_sides(rollout, self._round_number)
        silent: list[int] = []
        new = self._counts_of_side(sides.new, True, silent)
        old = self._counts_of_side(sides.old, False, [])
        controller = driver.stage_controller
        if controller is None or controller.number != number:
            return
        controller.observe(self.client.loop.now(), CanaryObservation(new, old, silent))
        if controller.regression:
            self.log.error(
                "canary analysis failed", version=rollout.version.label(), reason=controller.regression
            )

    def _counts_of_side(
        self, ranks: list[int], is_new: bool, silent: list[int]
    ) -> dict[int, CountsByStratum]:
        """Return the counts since the last round by rank; append ranks without a response to ``silent``."""
        increases: dict[int, CountsByStratum] = {}
        for rank in ranks:
            counts = self._request_counts(rank)
            if counts is None:
                silent.append(rank)
                continue
            earlier = self._earlier_counts.get((rank, is_new))
            if earlier is not None:
                increases[rank] = counts_since(counts, earlier)
            self._earlier_counts[rank, is_new] = counts
        return increases

    def _request_counts(self, rank: int) -> CountsByStratum | None:
        if rank == self.rank:
            return self.response_tally.counts()
        try:
            response = self.client.call(rank, "GET", "counts", timeout_us=COUNTS_TIMEOUT_US)
            return _counts_decoder.decode(response.body) if response.status == 200 else None
        except (AdminCallError, msgspec.DecodeError):
            return None
