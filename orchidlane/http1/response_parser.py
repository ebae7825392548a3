"""Parser of responses, for clients (RFC 9112 section 4)."""

from __future__ import annotations

import re

from orchidlane.http1.body_framing import Framing, body_framing
from orchidlane.http1.connection_options import keeps_alive
from orchidlane.http1.errors import ProtocolError
from orchidlane.http1.events import Response
from orchidlane.http1.header_fields import Headers
from orchidlane.http1.limits import ParserLimits
from orchidlane.http1.message_parser import MessageParser

_STATUS_LINE = re.compile(rb"HTTP/([0-9])\.([0-9]) ([1-9][0-9]{2})(?: ([\t\x20-\x7e\x80-\xff]*))?")
_SWITCHING_PROTOCOLS = 101
_STATUSES_WITHOUT_BODY = (204, 304)  # RFC 9110 section 6.4.1


class ResponseParser(MessageParser):
    """Parses the responses of a server; call ``expect_response_to`` before each one."""

    def __init__(self, limits: ParserLimits | None = None) -> None:
        super().__init__(limits)
        self._request_method = "GET"

    def expect_response_to(self, method: str) -> None:
        """Set the method of the next response's request: a response to HEAD has no body."""
        self._request_method = method

    def _parse_head(self, first_line: bytes, headers: Headers) -> Response:
        match = _STATUS_LINE.fullmatch(first_line)
        if match is None or match[1] != b"1" or int(match[2]) > 1:
            raise ProtocolError(502, "the first line is not a status line of HTTP/1.0 or HTTP/1.1")
        minor_version, status, reason = int(match[2]), int(match[3]), match[4] or b""
        if status == _SWITCHING_PROTOCOLS:
            raise ProtocolError(502, "status 101 is not allowed: no request asks for an upgrade")
        keep_alive = keeps_alive(headers, minor_version)
        if status < 200:  # interim: another head follows
            return Response(status, reason, minor_version, headers, 0, keep_alive)
        framing = body_framing(headers, minor_version, self.limits.max_body_bytes)
        if self._request_method == "HEAD" or status in _STATUSES_WITHOUT_BODY:
            framing = 0
        body_length = self._enter_body(framing)
        keep_alive = keep_alive and framing is not Framing.UNSPECIFIED
        return Response(status, reason, minor_version, headers, body_length, keep_alive)
