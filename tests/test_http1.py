"""HTTP/1.1 parsers and writers: strictness, limits, input split anywhere, and agreement with h11."""

from __future__ import annotations

import h11
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from orchidlane import http1


def read_events(
    data: bytes, parser: http1.RequestParser | None = None, step: int | None = None
) -> list[http1.Event | int]:
    """Return the events of data fed ``step`` bytes at a time; a ProtocolError ends them with its status."""
    parser = parser or http1.RequestParser(
        http1.ParserLimits(max_line_bytes=200, max_head_bytes=600, max_header_lines=8, max_body_bytes=1000)
    )
    events: list[http1.Event | int] = []
    pieces = [data] if step is None else [data[i : i + step] for i in range(0, len(data), step)]
    for piece in pieces:
        parser.receive(piece)
        try:
            while (event := parser.next_event()) is not None:
                events.append(event)
                if isinstance(event, http1.End):
                    parser.next_message()
        except http1.ProtocolError as error:
            return [*events, error.status]
    return events


def collect_events(parser: http1.RequestParser | http1.ResponseParser, events: list[http1.Event]) -> None:
    """Append the parser's events until there is none; those before a ProtocolError are kept."""
    while (event := parser.next_event()) is not None:
        events.append(event)


def joined_body(events: list[http1.Event | int]) -> bytes:
    """Return the body that the events carry."""
    return b"".join(event.data for event in events if isinstance(event, http1.Data))


HOST = b"Host: a\r\n"
INVALID_REQUESTS = [
    (400, b"GET / HTTP/1.1\r\n\r\n"),
    (400, b"GET / HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n"),
    (400, b"GET / HTTP/1.1\r\nHost: a/b\r\n\r\n"),
    (400, b"GET / HTTP/1.1\nHost: a\n\n"),
    (400, b"GET / HTTP/1.1\r\n" + HOST + b"X: a\rb\r\n\r\n"),
    (400, b"GET / HTTP/1.1\r\n" + HOST + b"X: a\r\n b\r\n\r\n"),
    (400, b"GET / HTTP/1.1\r\n" + HOST + b"X : a\r\n\r\n"),
    (400, b"GET / HTTP/1.1\r\n" + HOST + b"X: a\x00b\r\n\r\n"),
    (400, b"GET  / HTTP/1.1\r\n" + HOST + b"\r\n"),
    (400, b"GET /a b HTTP/1.1\r\n" + HOST + b"\r\n"),
    (400, b"GET a HTTP/1.1\r\n" + HOST + b"\r\n"),
    (400, b"GET * HTTP/1.1\r\n" + HOST + b"\r\n"),
    (400, b"POST / HTTP/1.1\r\n" + HOST + b"Content-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n"),
    (400, b"POST / HTTP/1.1\r\n" + HOST + b"Content-Length: 1\r\nContent-Length: 2\r\n\r\n"),
    (400, b"POST / HTTP/1.1\r\n" + HOST + b"Content-Length: 1, 1\r\n\r\n"),
    (400, b"POST / HTTP/1.1\r\n" + HOST + b"Content-Length: +1\r\n\r\n"),
    (400, b"POST / HTTP/1.1\r\n" + HOST + b"Transfer-Encoding: chunked, gzip\r\n\r\n"),
    (400, b"POST / HTTP/1.1\r\n" + HOST + b"Transfer-Encoding: chunked, chunked\r\n\r\n"),
    (400, b"POST / HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n"),
    (501, b"POST / HTTP/1.1\r\n" + HOST + b"Transfer-Encoding: gzip, chunked\r\n\r\n"),
    (501, b"CONNECT a:1 HTTP/1.1\r\n" + HOST + b"\r\n"),
    (505, b"GET / HTTP/2.0\r\n" + HOST + b"\r\n"),
    (417, b"GET / HTTP/1.1\r\n" + HOST + b"Expect: tea\r\n\r\n"),
    (413, b"POST / HTTP/1.1\r\n" + HOST + b"Content-Length: 1001\r\n\r\n"),
    (414, b"GET /" + b"a" * 250),
    (431, b"GET / HTTP/1.1\r\n" + HOST + b"X: " + b"a" * 700),
    (431, b"GET / HTTP/1.1\r\n" + HOST + b"X: 1\r\n" * 9 + b"\r\n"),
    (400, b"\r\n\r\n\r\nGET"),
]
CHUNKED_HEAD = b"POST / HTTP/1.1\r\n" + HOST + b"Transfer-Encoding: chunked\r\n\r\n"
INVALID_CHUNKS = [
    (400, b"z\r\n"),
    (400, b"-1\r\n"),
    (400, b"0x1\r\n"),
    (400, b"1\nab"),
    (400, b"1\r\nab\r\n"),
    (400, b"1;" + b"x" * 300),
    (400, b"1 ;=\r\n"),
    (413, b"3e9\r\n"),
    (413, b"ffffffffffffffff\r\n"),
    (400, b"0\r\nX : 1\r\n\r\n"),
    (431, b"0\r\n" + b"X: 1\r\n" * 9),
]


@pytest.mark.parametrize(("status", "data"), INVALID_REQUESTS)
@pytest.mark.parametrize("step", [None, 1, 7])
def test_ambiguous_or_oversized_request_is_rejected(status, data, step):
    assert read_events(data, step=step)[-1] == status


@pytest.mark.parametrize(("status", "data"), INVALID_CHUNKS)
@pytest.mark.parametrize("step", [None, 1])
def test_invalid_chunk_is_rejected(status, data, step):
    assert read_events(CHUNKED_HEAD + data, step=step)[-1] == status


@pytest.mark.parametrize("step", [None, 1, 5])
def test_pipelined_requests_with_bodies_are_separated(step):
    chunks = b"3;a=b\r\nabc\r\n2\r\nde\r\n0\r\nT: x\r\n\r\n"
    second_request = b"GET /2 HTTP/1.1\r\n" + HOST + b"\r\n"
    events = read_events(CHUNKED_HEAD + chunks + second_request, step=step)
    assert [event.target for event in events if isinstance(event, http1.Request)] == [b"/", b"/2"]
    assert joined_body(events) == b"abcde"
    assert [event.trailers for event in events if isinstance(event, http1.End)] == [((b"t", b"x"),), ()]


def test_parser_reads_nothing_after_a_protocol_error():
    parser = http1.RequestParser()
    parser.receive(b"nonsense\r\n\r\n")
    with pytest.raises(http1.ProtocolError):
        parser.next_event()
    parser.receive(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
    with pytest.raises(http1.ProtocolError):
        parser.next_event()


@pytest.mark.parametrize("cut", range(1, 60))
def test_truncated_response_is_never_complete(cut):
    data = b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\nX: y\r\n\r\nabcde"
    parser = http1.ResponseParser()
    parser.receive(data[: min(cut, len(data) - 1)])
    parser.receive(b"")
    events: list[http1.Event] = []
    with pytest.raises(http1.ProtocolError):
        collect_events(parser, events)
    assert not any(isinstance(event, http1.End) for event in events)


def test_interim_responses_come_before_the_final_one():
    parser = http1.ResponseParser()
    parser.receive(b"HTTP/1.1 103 Hints\r\nLink: a\r\n\r\nHTTP/1.1 204 No Content\r\n\r\n")
    assert [parser.next_event().status for _ in range(2)] == [103, 204]
    assert parser.next_event() == http1.End()


def test_response_to_head_has_no_body_whatever_its_content_length():
    parser = http1.ResponseParser()
    parser.expect_response_to("HEAD")
    parser.receive(b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n")
    assert parser.next_event().status == 200
    assert parser.next_event() == http1.End()


def test_hop_by_hop_headers_are_not_forwarded():
    headers = ((b"connection", b"X-A, close"), (b"x-a", b"1"), (b"x-b", b"2"), (b"te", b"trailers"))
    assert http1.end_to_end(headers) == [(b"x-b", b"2")]


def test_head_that_would_break_the_framing_is_not_written():
    with pytest.raises(ValueError, match="control"):
        http1.response_head(200, [(b"x", b"a\r\nb: c")])
    with pytest.raises(ValueError, match="space"):
        http1.request_head("GET", b"/a b", [])


header_names = st.sampled_from(
    [b"X-A", b"x-b", b"Accept", b"Content-Length", b"Transfer-Encoding", b"Connection"]
)
header_values = st.one_of(
    st.sampled_from([b"chunked", b"5", b"0", b"close", b"a, b", b"", b" a ", b"5, 5", b"\x80"]),
    st.binary(max_size=6),
)
colons = st.sampled_from([b": ", b":", b" :", b":\t"])
header_lines = st.lists(st.tuples(header_names, colons, header_values), max_size=4)


@settings(max_examples=400, deadline=None)
@given(header_lines, st.binary(max_size=30), st.integers(1, 40))
def test_h11_reads_accepted_requests_the_same_way(
    fields: list[tuple[bytes, bytes, bytes]], rest: bytes, step: int
) -> None:
    field_lines = b"".join(name + colon + value + b"\r\n" for name, colon, value in fields)
    data = b"POST /x HTTP/1.1\r\nHost: a\r\n" + field_lines + b"\r\n" + rest
    events = read_events(data, http1.RequestParser(), step=step)
    if not events or not isinstance(events[0], http1.Request):
        return  # this parser may reject what h11 accepts
    head = events[0]
    reference = h11.Connection(h11.SERVER)
    reference.receive_data(data)
    reference_head = reference.next_event()
    assert isinstance(reference_head, h11.Request)
    assert (reference_head.method, reference_head.target) == (head.method.encode(), head.target)
    assert list(reference_head.headers) == list(head.headers)
    reference_body = b""
    try:
        while isinstance(event := reference.next_event(), h11.Data):
            reference_body += bytes(event.data)
    except h11.RemoteProtocolError:
        return
    end = next((i for i, event in enumerate(events) if isinstance(event, http1.End)), len(events))
    assert joined_body(events[:end]) == reference_body
