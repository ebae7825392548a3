"""RESP: strictness and limits of the codec, and Redis client libraries against a real gateway."""

from __future__ import annotations

import asyncio
import hashlib
import json
import socket
from collections.abc import Iterator
from pathlib import Path

import pytest
import redis
import redis.asyncio
from harness.single_gateway import GatewayFiles, SingleGateway
from hypothesis import given, settings
from hypothesis import strategies as st

from orchidlane import resp
from orchidlane.resp import (
    AttributedValue,
    Decoder,
    ErrorReply,
    Push,
    SetReply,
    SimpleString,
    VerbatimString,
    encode,
)

CORPUS = Path(__file__).parent / "corpus" / "resp"
SMALL_LIMITS = resp.Limits(
    max_line_bytes=100, max_bulk_bytes=50, max_items=20, max_total_items=40, max_depth=4
)


def decode_all(data: bytes, step: int | None = None, limits: resp.Limits = SMALL_LIMITS) -> list:
    """Return the values of data fed ``step`` bytes at a time; a ProtocolError ends them with its class."""
    decoder = Decoder(limits)
    decoded: list = []
    for piece in [data] if step is None else [data[i : i + step] for i in range(0, len(data), step)]:
        decoder.receive(piece)
        try:
            while (value := decoder.next_value()) is not None:
                decoded.append(value[0])
        except resp.ProtocolError:
            return [*decoded, resp.ProtocolError]
    return decoded


VALID_VALUES = [
    (b"+OK\r\n", SimpleString("OK")),
    (b"-ERR no\r\n", ErrorReply("ERR no")),
    (b":-5\r\n", -5),
    (b"$3\r\nabc\r\n", b"abc"),
    (b"$0\r\n\r\n", b""),
    (b"$-1\r\n", None),
    (b"*-1\r\n", None),
    (b"*0\r\n", []),
    (b"*2\r\n:1\r\n*1\r\n$1\r\na\r\n", [1, [b"a"]]),
    (b"_\r\n", None),
    (b"#t\r\n", True),
    (b",1.5\r\n", 1.5),
    (b",-inf\r\n", float("-inf")),
    (b"(" + b"9" * 30 + b"\r\n", int("9" * 30)),
    (b"=7\r\ntxt:abc\r\n", VerbatimString("txt", b"abc")),
    (b"!5\r\nERR x\r\n", ErrorReply("ERR x")),
    (b"%1\r\n+a\r\n:1\r\n", {SimpleString("a"): 1}),
    (b"~2\r\n:1\r\n:2\r\n", SetReply([1, 2])),
    (b">1\r\n+m\r\n", Push([SimpleString("m")])),
    (b"|1\r\n+k\r\n:1\r\n:7\r\n", AttributedValue([(SimpleString("k"), 1)], 7)),
]
INVALID_VALUES = [
    b"$2147483648\r\n",
    b"$-2\r\n",
    b"$3\r\nabcd\r\n",
    b"$3\r\nabc\rX",
    b"*21\r\n",
    b"*-2\r\n",
    b"*1\r\n" * 5,
    b"*20\r\n" + b"*19\r\n" * 3,
    b":1.5\r\n",
    b":99999999999999999999\r\n",
    b"#x\r\n",
    b"=2\r\nab\r\n",
    b"$?\r\n",
    b"*?\r\n",
    b"%?\r\n",
    b"+a\rb\r\n",
    b"+a\n",
    b"\r\n",
    b"?\r\n",
    b"+" + b"a" * 200,
]


@pytest.mark.parametrize(("data", "value"), VALID_VALUES)
@pytest.mark.parametrize("step", [None, 1])
def test_each_kind_of_value_is_decoded(data, value, step):
    assert decode_all(data, step) == [value]


@pytest.mark.parametrize("data", INVALID_VALUES)
@pytest.mark.parametrize("step", [None, 1])
def test_invalid_and_oversized_values_are_protocol_errors(data, step):
    assert decode_all(data, step)[-1] is resp.ProtocolError


def test_a_thousand_nested_arrays_are_rejected_without_recursion():
    assert decode_all(b"*1\r\n" * 1_000, limits=resp.Limits())[-1] is resp.ProtocolError


def test_commands_are_decoded_from_arrays_and_inline_lines():
    decoder = Decoder()
    decoder.receive(b'*2\r\n$4\r\nECHO\r\n$1\r\na\r\nPING "a b" c\r\n\r\n*-1\r\n*0\r\nQUIT\n')
    commands = [decoder.next_command() for _ in range(6)]
    assert commands == [[b"ECHO", b"a"], [b"PING", b"a b", b"c"], [], [], [], [b"QUIT"]]
    assert decoder.next_command() is None


@pytest.mark.parametrize("data", [b"*1\r\n:1\r\n", b"*1\r\n*0\r\n", b"*1\r\n$-1\r\n"])
def test_a_command_with_items_other_than_bulk_strings_is_rejected(data):
    decoder = Decoder()
    decoder.receive(data)
    with pytest.raises(resp.ProtocolError):
        decoder.next_command()


plain_values = st.recursive(
    st.none() | st.integers(-(2**63), 2**63 - 1) | st.binary(max_size=20) | st.booleans(),
    lambda inner: st.lists(inner, max_size=4) | st.dictionaries(st.binary(max_size=4), inner, max_size=3),
    max_leaves=12,
)


@given(plain_values, st.integers(1, 7))
def test_values_encoded_as_resp3_are_decoded_to_themselves(value, step):
    assert decode_all(encode(value, 3), step, resp.Limits()) == [value]


@settings(max_examples=500)
@given(
    st.lists(st.sampled_from([*(data for data, _ in VALID_VALUES), *INVALID_VALUES]), max_size=4),
    st.binary(max_size=8),
)
def test_any_bytes_give_values_or_a_protocol_error(parts, noise):
    data = b"".join(parts) + noise
    decoded = decode_all(data)
    assert (
        decode_all(data, 1) == decoded
        or resp.ProtocolError in decoded
        or resp.ProtocolError in decode_all(data, 1)
    )
    decoder = Decoder(SMALL_LIMITS)
    decoder.receive(data)
    try:
        while (command := decoder.next_command()) is not None:
            assert all(isinstance(word, bytes) for word in command)
    except resp.ProtocolError:
        pass


@pytest.mark.parametrize("step", [None, 1, 3])
@pytest.mark.parametrize("file", sorted(CORPUS.iterdir()), ids=lambda file: file.name)
def test_only_corpus_files_named_bad_are_protocol_errors(file, step):
    decoded = decode_all(file.read_bytes(), step)
    assert (resp.ProtocolError in decoded) == file.name.startswith("bad")


# Redis client libraries against a gateway


@pytest.fixture
def resp_port(gateway_files: GatewayFiles) -> Iterator[int]:
    """A single gateway with a RESP server; its only customer acero has plan basico (4 units/s, burst 12)."""
    settings_file = gateway_files.settings
    lines = settings_file.read_text().splitlines()
    remaining = [line for line in lines if 'name: "gw-1"' not in line and 'name: "gw-2"' not in line]
    password = hashlib.sha256(b"secret").hexdigest()
    limits = f'limits: {{passwords: ["{password}"], token_life: "300ms"}}'
    settings_file.write_text("\n".join(remaining).replace('limits: token_life: "3s"', limits))
    customers = {"customers": [{"id": 1, "name": "acero", "plan": "basico", "keys": ["8d" * 32]}]}
    gateway_files.customers.write_text(json.dumps(customers))
    with SingleGateway(gateway_files):
        yield gateway_files.resp_port


def client(port: int, protocol: int, **options) -> redis.Redis:
    return redis.Redis("127.0.0.1", port, password="secret", protocol=protocol, socket_timeout=5, **options)


@pytest.mark.parametrize("protocol", [2, 3])
@pytest.mark.parametrize("pure_python", [True, False])
def test_redis_clients_connect_and_take_units(resp_port, protocol, pure_python):
    from redis._parsers import _HiredisParser, _RESP2Parser, _RESP3Parser

    parser = (_RESP2Parser if protocol == 2 else _RESP3Parser) if pure_python else _HiredisParser
    pool = redis.ConnectionPool(
        host="127.0.0.1", port=resp_port, password="secret", protocol=protocol, parser_class=parser
    )
    with redis.Redis(connection_pool=pool) as connection:
        assert connection.ping() is True
        assert connection.echo("a") == b"a"
        assert connection.client_setname("x")
        assert connection.execute_command("CL.THROTTLE", "acero", 11, 4, 1) == [0, 12, 11, -1, 0]
        assert connection.execute_command("LIMIT.TAKE", "acero", 5)[0] == 1
        with pytest.raises(redis.ResponseError, match="basico decides: max_burst 11, count/period 4"):
            connection.execute_command("CL.THROTTLE", "acero", 10, 4, 1)
        with pytest.raises(redis.ResponseError, match="no customer"):
            connection.execute_command("LIMIT.PEEK", "nobody")
        with connection.pipeline(transaction=False) as pipe:
            for _ in range(20):
                pipe.execute_command("LIMIT.TAKE", "acero", 1)
            replies = pipe.execute()
    assert sum(granted for granted, _, _ in replies) in range(2, 9)
    rejected = next(reply for reply in replies if not reply[0])
    assert rejected[2] >= 1


def test_the_asyncio_redis_client_takes_units_through_its_pool(resp_port):
    async def take_units() -> list:
        connection = redis.asyncio.Redis(host="127.0.0.1", port=resp_port, password="secret", protocol=3)
        async with connection:
            return await asyncio.gather(
                *(connection.execute_command("LIMIT.TAKE", "acero", 1) for _ in range(30))
            )

    replies = asyncio.run(take_units())
    assert 9 <= sum(granted for granted, _, _ in replies) <= 13


def test_tokens_refunds_and_reservations_are_each_applied_once(resp_port):
    with client(resp_port, 3) as connection:
        try_again_replies = 0
        while True:  # a token owner replies TRYAGAIN for the token lifetime after its start
            try:
                connection.execute_command("LIMIT.TAKE", "acero", 1, "IDEMPOTENT", "t")
                break
            except redis.exceptions.TryAgainError:
                try_again_replies += 1
                assert try_again_replies < 100_000
        info = connection.execute_command("LIMIT.INFO")
        repeated = connection.execute_command("LIMIT.TAKE", "acero", 1, "IDEMPOTENT", "t")
        assert repeated[0] == 1
        assert connection.execute_command("LIMIT.INFO")[b"granted"] == info[b"granted"]
        assert connection.execute_command("LIMIT.GIVEBACK", "acero", "t") == 1
        assert connection.execute_command("LIMIT.GIVEBACK", "acero", "t") == 0
        name = connection.execute_command("LIMIT.RESERVE", "acero", 2, "FOR", 5_000)
        assert connection.execute_command("LIMIT.COMMIT", "acero", name) == 1
        assert connection.execute_command("LIMIT.RELEASE", "acero", name) == 0
        short_lived = connection.execute_command("LIMIT.RESERVE", "acero", 2, "FOR", 1)
        for _ in range(1_000):  # until it has expired
            connection.execute_command("LIMIT.PEEK", "acero")
        with pytest.raises(redis.ResponseError, match="EXPIRED"):
            connection.execute_command("LIMIT.COMMIT", "acero", short_lived)
        with pytest.raises(redis.ResponseError, match="NOGRANT"):
            connection.execute_command("LIMIT.COMMIT", "acero", "0-0-0")


def exchange_bytes(port: int, data: bytes) -> bytes:
    with socket.create_connection(("127.0.0.1", port), 5) as sock:
        sock.sendall(data)
        sock.shutdown(socket.SHUT_WR)
        received = b""
        while piece := sock.recv(65536):
            received += piece
        return received


def test_commands_need_a_password_and_errors_name_their_cause(resp_port):
    assert exchange_bytes(resp_port, b"PING\r\n") == b"-NOAUTH Authentication required.\r\n"
    assert exchange_bytes(resp_port, b"AUTH wrong\r\n").startswith(b"-WRONGPASS")
    assert exchange_bytes(resp_port, b"HELLO 4\r\n").startswith(b"-NOPROTO")
    assert (
        exchange_bytes(resp_port, b"AUTH secret\r\nFLUSHALL now\r\n")
        == b"+OK\r\n-ERR unknown command 'FLUSHALL'\r\n"
    )
    assert exchange_bytes(resp_port, b"AUTH secret\r\nLIMIT.TAKE acero\r\n").endswith(
        b"'limit.take' command\r\n"
    )
    assert exchange_bytes(resp_port, b"*1\r\n$2147483648\r\n").startswith(
        b"-ERR Protocol error: a length beyond"
    )
    assert exchange_bytes(resp_port, b"*1\r\n" * 1_000).startswith(b"-ERR Protocol error: nested deeper")
    assert exchange_bytes(resp_port, b"AUTH secret\r\nLIMIT.TAKE acero 0\r\n").endswith(
        b"allowed: 1 to 1000000\r\n"
    )
