"""Header fields: grammar, parsing and lookup (RFC 9110 section 5, RFC 9112 section 5)."""

from __future__ import annotations

import re

from orchidlane.http1.errors import ProtocolError

Headers = tuple[tuple[bytes, bytes], ...]  # (lower-case name, value without surrounding whitespace), in order

TOKEN = rb"[!#$%&'*+\-.^_`|~0-9A-Za-z]+"  # RFC 9110 section 5.6.2
# The value includes the blanks around it. No part gives back what it has matched (possessive quantifiers):
# the time to reject a line is proportional to its length.
_FIELD_LINE = rb"(" + TOKEN + rb"+):([\t\x20-\x7e\x80-\xff]*+)"
_BLANKS = b" \t"
_SINGLE_LINE = re.compile(_FIELD_LINE)
_LINES_OF_BLOCK = re.compile(rb"\r\n" + _FIELD_LINE + rb"(?=\r\n|\Z)")


def header(headers: Headers, name: bytes) -> bytes | None:
    """Return the first value of a header by its lower-case name, or None."""
    for key, value in headers:
        if key == name:
            return value
    return None


def header_tokens(headers: Headers, name: bytes) -> list[bytes]:
    """Return the elements of all lines of a comma-separated header, in lower case."""
    tokens = []
    for key, value in headers:
        if key == name:
            tokens += [part.strip(_BLANKS).lower() for part in value.split(b",") if part.strip(_BLANKS)]
    return tokens


def parse_header_block(block: bytes, max_lines: int) -> Headers:
    """Parse all header lines of a head, each preceded by a CRLF.

    Raises ProtocolError: 431 for too many lines, 400 for an invalid one.
    """
    line_count = block.count(b"\r\n")
    if line_count > max_lines:
        raise ProtocolError(431, "too many header lines")
    fields = _LINES_OF_BLOCK.findall(block)
    if len(fields) != line_count or block.count(b"\r") != line_count or block.count(b"\n") != line_count:
        for line in block.split(b"\r\n")[1:]:
            parse_header_line(line)  # raises ProtocolError with a specific detail
        raise ProtocolError(400, "header lines that can't be told apart")
    return tuple([(name.lower(), value.strip(_BLANKS)) for name, value in fields])


def parse_header_line(line: bytes) -> tuple[bytes, bytes]:
    """Return the lower-case name and the value of one line without its CRLF. Raises ProtocolError (400)."""
    match = _SINGLE_LINE.fullmatch(line)
    if match is None:
        raise ProtocolError(400, _describe_invalid_line(line))
    return match[1].lower(), match[2].strip(_BLANKS)


def _describe_invalid_line(line: bytes) -> str:
    """Return what is wrong with a line, without quoting it: header values may be secrets."""
    if line[:1] in b" \t":
        return "a folded header line"
    if b"\x00" in line or b"\r" in line or b"\n" in line:
        return "a control character in a header"
    if b":" not in line:
        return "a header without a colon"
    name = line.partition(b":")[0]
    if name != name.strip(_BLANKS):
        return "a blank before a header's colon"
    return "a header with a character that is not allowed"
