"""Events that the parsers return: the parts of a message, in order."""

from __future__ import annotations

import msgspec

from orchidlane.http1.header_fields import Headers


class Request(msgspec.Struct, frozen=True, gc=False):
    """A request's head (RFC 9112 section 3).

    ``minor_version`` is 0 or 1, the version being HTTP/1.minor. ``body_length`` is in bytes: None for a
    chunked body, 0 if there is no body.
    """

    method: str
    target: bytes
    minor_version: int
    headers: Headers
    body_length: int | None
    keep_alive: bool
    expects_continue: bool


class Response(msgspec.Struct, frozen=True, gc=False):
    """A response's head (RFC 9112 section 4); interim responses (1xx) come before the final one.

    ``body_length`` is in bytes: None for a body that is chunked or ends with the connection.
    """

    status: int
    reason: bytes
    minor_version: int
    headers: Headers
    body_length: int | None
    keep_alive: bool


class Data(msgspec.Struct, frozen=True, gc=False):
    """A piece of a body, without its framing."""

    data: bytes


class End(msgspec.Struct, frozen=True, gc=False):
    """The end of a message, with the trailers of a chunked body."""

    trailers: Headers = ()


Event = Request | Response | Data | End
