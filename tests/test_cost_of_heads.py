# Guards against heads and trailers that take processor time out of proportion to their length (review/8).
from contextlib import suppress

import pytest
from harness.cost import cost_ratio

from orchidlane import http1

SHORT_BYTES = 1_000
LONG_BYTES = 16_000
# Proportional cost has a ratio of 16, quadratic cost one of 256
MAX_RATIO = 48

REQUEST_LINE = b"GET /a HTTP/1.1\r\nHost: a\r\n"
STATUS_LINE = b"HTTP/1.1 200 OK\r\n"
LAST_CHUNK = b"POST /a HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n"
LIMITS = http1.ParserLimits(max_line_bytes=2 * LONG_BYTES)
PARSERS = {
    "request": (http1.RequestParser, REQUEST_LINE),
    "response": (http1.ResponseParser, STATUS_LINE),
    "trailers": (http1.RequestParser, LAST_CHUNK),
}
# A header line with a unit that is repeated up to the length, and an end that makes the line invalid or not
LINES = [
    (start, unit, end)
    for start in (b"x:", b"x: a", b"", b"connection: ")
    for unit in (b" ", b"\t", b"a", b"a ", b" a", b",", b"a,", b"a, ", b":", b"\xff ", b'"\\', b";=")
    for end in (b"", b"\x01", b" \x7f", b"a")
]


def parse_all(parser_type, data: bytes) -> None:
    parser = parser_type(LIMITS)
    parser.receive(data)
    with suppress(http1.ProtocolError):
        while parser.next_event() is not None:
            pass


@pytest.mark.parametrize("message", PARSERS)
@pytest.mark.parametrize("unit", sorted({unit for _, unit, _ in LINES}))
def test_a_header_line_costs_time_in_proportion_to_its_length(message, unit):
    parser_type, first_part = PARSERS[message]
    for start, line_unit, end in LINES:
        if line_unit != unit:
            continue

        def head(length: int, start=start, end=end) -> bytes:
            return first_part + start + (unit * length)[:length] + end + b"\r\n\r\n"

        ratio = cost_ratio(lambda data: parse_all(parser_type, data), head(SHORT_BYTES), head(LONG_BYTES))
        assert ratio <= MAX_RATIO, (start, unit, end)


@pytest.mark.parametrize("unit", [b"a", b"a/", b"%20", b"?", b"#", b":", b".", b"[", b"http://"])
@pytest.mark.parametrize("end", [b"", b" ", b" HTTP/1.1", b"\x01"])
def test_a_first_line_costs_time_in_proportion_to_its_length(unit, end):
    for start in (b"GET /", b"GET http://", b"", b"HTTP/1.1 200 "):
        parser_type = http1.ResponseParser if start.startswith(b"HTTP") else http1.RequestParser

        def head(length: int, start=start) -> bytes:
            return start + (unit * length)[:length] + end + b"\r\nHost: a\r\n\r\n"

        ratio = cost_ratio(
            lambda data, parser_type=parser_type: parse_all(parser_type, data),
            head(SHORT_BYTES),
            head(LONG_BYTES),
        )
        assert ratio <= MAX_RATIO, (start, unit, end)


def test_connection_options_are_looked_up_at_a_constant_cost():
    def headers(line_count: int) -> http1.Headers:
        options = b",".join(b"x%d" % number for number in range(32 * line_count))
        lines = [(b"y%d" % number, b"") for number in range(line_count)]
        return ((b"connection", options), *lines)

    assert cost_ratio(http1.end_to_end, headers(6), headers(96)) <= MAX_RATIO
