"""One RESP client: its protocol version, its name, and whether it has authenticated."""

from __future__ import annotations

from orchidlane import resp
from orchidlane.runtime import Stream, Task

DEFAULT_VERSION = 2  # of the protocol, until HELLO asks for another


class Session:
    """One client between accept and close."""

    __slots__ = ("authorized", "busy", "decoder", "name", "number", "over", "stream", "task", "version")

    def __init__(self, stream: Stream, number: int, limits: resp.Limits, authorized: bool) -> None:
        self.stream = stream
        self.number = number
        self.decoder = resp.Decoder(limits)
        self.version = DEFAULT_VERSION
        self.name = b""
        self.authorized = authorized
        self.busy = False  # a command is being carried out
        self.over = False  # ended, or another process's now
        self.task: Task | None = None

    @property
    def facts(self) -> tuple[int, bytes, bool]:
        """What another process has to know of it: version, name, whether it has authenticated."""
        return self.version, self.name, self.authorized
