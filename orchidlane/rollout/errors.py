"""Errors that concern the fleet's configuration versions."""

from __future__ import annotations


class RolloutError(Exception):
    """Base class of all errors of this package."""


class CommandRejectedError(RolloutError):
    """The replicated state does not allow a command; the message says why."""


class StaleTermError(CommandRejectedError):
    """The term of the command is over; the leader of the present term may still carry it out."""


class RollbackConflictError(RolloutError):
    """An edit can't be reverted, since some of the units that it changed were edited again.

    ``paths`` are the paths of these units.
    """

    def __init__(self, paths: list[tuple[str, ...]]) -> None:
        self.paths = paths
        names = "; ".join(" ".join(path) for path in paths)
        super().__init__(f"edited again since: {names}")
