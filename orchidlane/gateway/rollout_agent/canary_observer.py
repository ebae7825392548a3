"""The leader's observation of a stage: answer counts of a sample of the gateways on both versions."""

from __future__ import annotations

from typing import Any

import msgspec

from orchidlane.gateway.rollout_agent.admin_client import AdminCallError, AdminClient
from orchidlane.gateway.rollout_agent.answer_tally import AnswerTally
from orchidlane.rollout.canary_analysis import CountsByStratum, ResponseCounts, counts_since
from orchidlane.rollout.phases import CanaryObservation
from orchidlane.rollout.replicated_state import Rollout
from orchidlane.rollout.rollout_driver import RolloutDriver

COUNTS_TIMEOUT_US = 500_000

_counts_decoder = msgspec.msgpack.Decoder(dict[str, ResponseCounts])


class CanaryObserver:
    """Asks gateways for their counts, and has what came since the last observation judged."""

    def __init__(self, rank: int, client: AdminClient, answer_tally: AnswerTally, log: Any) -> None:
        self.rank = rank
        self.client = client
        self.answer_tally = answer_tally
        self.log = log
        self._earlier_counts: dict[tuple[int, bool], CountsByStratum] = {}  # by rank, and whether it is new
        self._round = 0
        self._observed_number = 0

    def observe(self, rollout: Rollout, driver: RolloutDriver) -> None:
        """Observe a sample of both sides."""
        self._round += 1
        number = rollout.version.number
        if self._observed_number != number:
            self._observed_number = number
            self._earlier_counts.clear()
        sides = driver.sample_sides(rollout, self._round)
        silent: list[int] = []
        new = self._counts_of_side(sides.new, True, silent)
        old = self._counts_of_side(sides.old, False, [])
        controller = driver.stage_controller
        if controller is None or controller.number != number:
            return
        controller.observe(self.client.loop.now(), CanaryObservation(new, old, silent))
        if controller.regression:
            self.log.error("a stage does harm", version=rollout.version.label(), reason=controller.regression)

    def _counts_of_side(
        self, ranks: list[int], is_new: bool, silent: list[int]
    ) -> dict[int, CountsByStratum]:
        """Return the counts since the last observation by rank; add to ``silent`` who does not answer."""
        found: dict[int, CountsByStratum] = {}
        for rank in ranks:
            counts = self._request_counts(rank)
            if counts is None:
                silent.append(rank)
                continue
            earlier = self._earlier_counts.get((rank, is_new))
            if earlier is not None:
                found[rank] = counts_since(counts, earlier)
            self._earlier_counts[rank, is_new] = counts
        return found

    def _request_counts(self, rank: int) -> CountsByStratum | None:
        if rank == self.rank:
            return self.answer_tally.counts()
        try:
            response = self.client.call(rank, "GET", "counts", timeout_us=COUNTS_TIMEOUT_US)
            return _counts_decoder.decode(response.body) if response.status == 200 else None
        except (AdminCallError, msgspec.DecodeError):
            return None
