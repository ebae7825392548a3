"""Parsers and writers of HTTP/1.1 for clients and servers, without I/O (RFC 9110, RFC 9112)."""

from orchidlane.http1.connection_options import end_to_end
from orchidlane.http1.errors import ProtocolError
from orchidlane.http1.events import Data, End, Event, Request, Response
from orchidlane.http1.header_fields import Headers, header, header_tokens
from orchidlane.http1.limits import ParserLimits
from orchidlane.http1.request_parser import RequestParser
from orchidlane.http1.response_parser import ResponseParser
from orchidlane.http1.writer import chunk, last_chunk, request_head, response_head

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
