"""The error that the parsers raise."""

from __future__ import annotations


class ProtocolError(Exception):
    """Raised for input that violates HTTP/1.1 or a limit of the parser.

    ``status`` is the status code that a server responds with (RFC 9110 section 15). The server also sends
    ``detail``, which quotes nothing of the message, as header values may be secrets.
    """

    def __init__(self, status: int, detail: str) -> None:
        super().__init__(detail)
        self.status = status
        self.detail = detail
