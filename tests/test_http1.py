"""HTTP/1.1 parsing: strictness, bounds, any splitting, and agreement with another implementation."""

from __future__ import annotations

import h11
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from orchidlane import http1


def read(data: bytes, parser=None, step: int | None = None):
    """All events of some bytes, fed in steps; a ProtocolError one ends them."""
    parser = parser or http1.RequestParser(
        http1.ParserLimits(max_line_bytes=200, max_head_bytes=600, max_header_lines=8, max_body_bytes=1000)
    )
    events = []
    pieces = [data] if step is None else [data[i : i + step] for i in range(0, len(data), step)]
    for piece in pieces:
        parser.receive(piece)
        try:
            while (event := parser.next_event()) is not None:
                events.append(event)
                if isinstance(event, http1.End):
                    parser.next_message()
        except http1.ProtocolError as wrong:
            return [*events, wrong.status]
    return events


def body(events) -> bytes:
    return b"".join(e.data for e in events if isinstance(e, http1.Data))


HOST = b"Host: a\r\n"
BAD = [
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
CHUNKED = b"POST / HTTP/1.1\r\n" + HOST + b"Transfer-Encoding: chunked\r\n\r\n"
BAD_CHUNKS = [
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


@pytest.mark.parametrize(("status", "data"), BAD)
@pytest.mark.parametrize("step", [None, 1, 7])
def test_what_smuggles_or_exceeds_bounds_is_refused(status, data, step):
    assert read(data, step=step)[-1] == status


@pytest.mark.parametrize(("status", "data"), BAD_CHUNKS)
@pytest.mark.parametrize("step", [None, 1])
def test_bad_chunks_are_refused(status, data, step):
    assert read(CHUNKED + data, step=step)[-1] == status


def test_pipelined_requests_with_bodies_keep_apart():
    data = CHUNKED + b"3;a=b\r\nabc\r\n2\r\nde\r\n0\r\nT: x\r\n\r\n" + b"GET /2 HTTP/1.1\r\n" + HOST + b"\r\n"
    for step in (None, 1, 5):
        events = read(data, step=step)
        heads = [e for e in events if isinstance(e, http1.Request)]
        assert [h.target for h in heads] == [b"/", b"/2"]
        assert body(events) == b"abcde"
        assert [e.trailers for e in events if isinstance(e, http1.End)] == [((b"t", b"x"),), ()]


def test_after_a_breach_nothing_more_is_read():
    parser = http1.RequestParser()
    with pytest.raises(http1.ProtocolError):
        parser.receive(b"nonsense\r\n\r\n")
        parser.next_event()
    parser.receive(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
    with pytest.raises(http1.ProtocolError):
        parser.next_event()


@pytest.mark.parametrize("cut", range(1, 60))
def test_an_input_that_ends_early_is_never_a_whole_message(cut):
    data = b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\nX: y\r\n\r\nabcde"
    parser = http1.ResponseParser()
    parser.receive(data[: min(cut, len(data) - 1)])
    parser.receive(b"")
    events = []
    with pytest.raises(http1.ProtocolError):
        while (event := parser.next_event()) is not None:
            events.append(event)
    assert not any(isinstance(e, http1.End) for e in events)


def test_interim_answers_come_before_the_final_one():
    parser = http1.ResponseParser()
    parser.receive(b"HTTP/1.1 103 Hints\r\nLink: a\r\n\r\nHTTP/1.1 204 No Content\r\n\r\n")
    assert [parser.next_event().status for _ in range(2)] == [103, 204]
    assert parser.next_event() == http1.End()


def test_an_answer_to_head_has_no_body_whatever_its_length_says():
    parser = http1.ResponseParser()
    parser.expect_response_to("HEAD")
    parser.receive(b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n")
    assert parser.next_event().status == 200
    assert parser.next_event() == http1.End()


def test_hop_by_hop_headers_stay_behind():
    headers = ((b"connection", b"X-A, close"), (b"x-a", b"1"), (b"x-b", b"2"), (b"te", b"trailers"))
    assert http1.end_to_end(headers) == [(b"x-b", b"2")]


def test_nothing_that_breaks_the_framing_is_written():
    with pytest.raises(ValueError, match="control"):
        http1.response_head(200, [(b"x", b"a\r\nb: c")])
    with pytest.raises(ValueError, match="blank"):
        http1.request_head("GET", b"/a b", [])


names = st.sampled_from([b"X-A", b"x-b", b"Accept", b"Content-Length", b"Transfer-Encoding", b"Connection"])
values = st.one_of(
    st.sampled_from([b"chunked", b"5", b"0", b"close", b"a, b", b"", b" a ", b"5, 5", b"\x80"]),
    st.binary(max_size=6),
)
lines = st.lists(st.tuples(names, st.sampled_from([b": ", b":", b" :", b":\t"]), values), max_size=4)


@settings(max_examples=400, deadline=None)
@given(lines, st.binary(max_size=30), st.integers(1, 40))
def test_what_is_accepted_means_the_same_to_h11(fields, rest, step):
    head = b"POST /x HTTP/1.1\r\nHost: a\r\n" + b"".join(n + c + v + b"\r\n" for n, c, v in fields) + b"\r\n"
    parser = http1.RequestParser()
    ours = read(head + rest, parser, step=step)
    first = ours[0] if ours and isinstance(ours[0], http1.Request) else None
    if first is None:
        return  # we may be stricter
    other = h11.Connection(h11.SERVER)
    other.receive_data(head + rest)
    request = other.next_event()
    assert isinstance(request, h11.Request)
    assert (request.method, request.target) == (first.method.encode(), first.target)
    assert list(first.headers) == [(n, v) for n, v in request.headers]
    theirs = b""
    try:
        while isinstance(event := other.next_event(), h11.Data):
            theirs += bytes(event.data)
    except h11.RemoteProtocolError:
        return
    second = next((i for i, e in enumerate(ours) if isinstance(e, http1.End)), len(ours))
    assert body(ours[:second]) == theirs
