"""Parser of requests, for servers (RFC 9112 section 3)."""

from __future__ import annotations

import re

from orchidlane.http1.body_framing import Framing, body_framing
from orchidlane.http1.connection_options import keeps_alive
from orchidlane.http1.errors import ProtocolError
from orchidlane.http1.events import Request
from orchidlane.http1.header_fields import TOKEN, Headers, header_tokens
from orchidlane.http1.message_parser import MessageParser

_REQUEST_LINE = re.compile(rb"(" + TOKEN + rb") ([\x21-\x7e\x80-\xff]+) HTTP/([0-9])\.([0-9])")
_AUTHORITY = re.compile(rb"(?:\[[0-9A-Fa-f:.]+\]|[A-Za-z0-9\-._~%!$&'()*+,;=]*)(?::[0-9]*)?")
_ABSOLUTE_FORM = re.compile(rb"https?://[^/?#@]+(?:[/?]|$)", re.IGNORECASE)


class RequestParser(MessageParser):
    """Parses the requests of a client."""

    too_long_line_status = 414

    def _parse_head(self, first_line: bytes, headers: Headers) -> Request:
        match = _REQUEST_LINE.fullmatch(first_line)
        if match is None:
            raise ProtocolError(400, "no request line of HTTP")
        method, target, minor_version = match[1].decode("ascii"), match[2], int(match[4])
        if match[3] != b"1" or minor_version > 1:
            raise ProtocolError(505, "HTTP/1.0 and HTTP/1.1 are spoken here")
        _check_host(headers, minor_version)
        _check_target(method, target)
        framing = body_framing(headers, minor_version, self.limits.max_body_bytes)
        body_length = self._enter_body(0 if framing is Framing.UNSPECIFIED else framing)
        keep_alive = keeps_alive(headers, minor_version)
        expects_continue = _expects_continue(headers, minor_version)
        return Request(method, target, minor_version, headers, body_length, keep_alive, expects_continue)


def _check_host(headers: Headers, minor_version: int) -> None:
    """Check the Host header (RFC 9112 section 3.2). Raises ProtocolError (400)."""
    hosts = [value for name, value in headers if name == b"host"]
    if len(hosts) > 1 or (not hosts and minor_version == 1):
        raise ProtocolError(400, "not exactly one Host")
    if hosts and not _AUTHORITY.fullmatch(hosts[0]):
        raise ProtocolError(400, "Host is no authority")


def _check_target(method: str, target: bytes) -> None:
    """Check that the target is in origin, absolute or asterisk form (RFC 9112 section 3.2).

    Raises ProtocolError: 501 for CONNECT, 400 for any other form.
    """
    if method == "CONNECT":
        raise ProtocolError(501, "no tunnels here")
    if target == b"*":
        if method != "OPTIONS":
            raise ProtocolError(400, "the target * is for OPTIONS only")
    elif not target.startswith(b"/") and not _ABSOLUTE_FORM.match(target):
        raise ProtocolError(400, "the target is neither a path nor an absolute URI")
    if b"#" in target:
        raise ProtocolError(400, "a fragment in the target")


def _expects_continue(headers: Headers, minor_version: int) -> bool:
    """Return whether the client waits for 100 Continue (RFC 9110 section 10.1.1).

    Raises ProtocolError (417) for any other expectation.
    """
    expectations = header_tokens(headers, b"expect")
    if not expectations or minor_version == 0:
        return False
    if expectations != [b"100-continue"]:
        raise ProtocolError(417, "only 100-continue can be expected")
    return True
