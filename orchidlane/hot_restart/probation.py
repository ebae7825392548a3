"""Whether a successor does well enough in its trial, beside what its predecessor did. Decides without I/O."""

from __future__ import annotations

from math import log
from typing import NamedTuple

ANSWERS_LEAST = 20  # of the trial, before its shares say anything
SHARE_LEAST = 0.5  # of the share that was served before
CHANCE_MOST = 1e-3  # that so few were served by bad luck alone: it is looked at again and again


class Answers(NamedTuple):
    """Answers by kind over some span."""

    served: int = 0
    refused: int = 0
    failed: int = 0

    @property
    def all(self) -> int:
        """How many."""
        return sum(self)

    def since(self, earlier: Answers) -> Answers:
        """Those that came since."""
        return Answers(*(now - then for now, then in zip(self, earlier, strict=True)))


def why_sick(before: Answers, trial: Answers) -> str | None:
    """What is wrong with a successor, or None.

    What the clients ask for goes on as before, so the share that is served should as well. Few answers say
    nothing, and a predecessor that served nobody is no measure. Sick is who would have served so few by bad
    luck once in ``1 / CHANCE_MOST`` cases even at the least share (Chernoff's bound on a binomial's tail).
    """
    if trial.all < ANSWERS_LEAST or not before.served:
        return None
    usual, now = before.served / before.all, trial.served / trial.all
    least = SHARE_LEAST * usual
    if now < least and trial.all * _divergence(now, least) > -log(CHANCE_MOST):
        return f"served {trial.served} of {trial.all} answers, {usual:.0%} before"
    return None


def _divergence(found: float, expected: float) -> float:
    """Of a share from another, Kullback and Leibler's, in nats for each answer."""
    part = found * log(found / expected) if found else 0.0
    return part + (1 - found) * log((1 - found) / (1 - expected))
