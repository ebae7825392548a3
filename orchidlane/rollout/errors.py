"""Errors of the fleet's configuration versions."""

from __future__ import annotations


class RolloutError(Exception):
    """Base of the errors below."""


class CommandRejectedError(RolloutError):
    """The replicated state does not admit a command; the message tells why."""


class StaleTermError(CommandRejectedError):
    """The command's term is over; the present leader may still carry it out."""


class RollbackConflictError(RolloutError):
    """An edit can't be reverted alone, since some of its units were edited again.

    ``paths`` names these units.
    """

    def __init__(self, paths: list[tuple[str, ...]]) -> None:
        self.paths = paths
        names = "; ".join(" ".join(path) for path in paths)
        super().__init__(f"edited again since: {names}")
