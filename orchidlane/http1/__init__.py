"""HTTP/1.1 without I/O: bytes in, events out, for both sides (RFC 9110, RFC 9112)."""

from orchidlane.http1.events import (
    Data,
    End,
    Event,
    Headers,
    ParserLimits,
    ProtocolError,
    Request,
    Response,
    header,
    header_tokens,
)
from orchidlane.http1.message_parser import RequestParser, ResponseParser
from orchidlane.http1.writer import chunk, end_to_end, last_chunk, request_head, response_head

__all__ = [
    "Data",
    "End",
    "Event",
    "Headers",
    "ParserLimits",
    "ProtocolError",
    "Request",
    "RequestParser",
    "Response",
    "ResponseParser",
    "chunk",
    "end_to_end",
    "header",
    "header_tokens",
    "last_chunk",
    "request_head",
    "response_head",
]
