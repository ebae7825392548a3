"""The session of a RESP client: its protocol version, its name, and whether it has authenticated."""

from __future__ import annotations

from orchidlane import resp
from orchidlane.hot_restart.messages import RespSessionState
from orchidlane.runtime import Stream, Task

DEFAULT_VERSION = 2  # of the protocol, until HELLO selects another


class Session:
    """A client's session, from accept to close or hand-over."""

    __slots__ = (
        "decoder",
        "is_authenticated",
        "is_busy",
        "is_detached",
        "name",
        "number",
        "stream",
        "task",
        "version",
    )

    def __init__(self, stream: Stream, number: int, limits: resp.Limits, is_authenticated: bool) -> None:
        self.stream = stream
        self.number = number
        self.decoder = resp.Decoder(limits)
        self.version = DEFAULT_VERSION
        self.name = b""
        self.is_authenticated = is_authenticated
        self.is_busy = False  # a command is being executed
        self.is_detached = False  # closed or handed over
        self.task: Task | None = None

    @property
    def state(self) -> RespSessionState:
        """The state that another process needs to continue the session."""
        return RespSessionState(self.version, self.name, self.is_authenticated)
