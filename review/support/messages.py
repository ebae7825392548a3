"""Reads the HTTP/1.1 messages that the stand-ins exchange with a gateway."""

from __future__ import annotations

import asyncio
from typing import NamedTuple


class Head(NamedTuple):
    """The first line of a message and its headers, with names in lower case."""

    first_line: str
    headers: dict[str, str]


def parse_head(block: bytes) -> Head:
    """Return the head whose bytes, up to the empty line, are given."""
    first_line, *lines = block.decode("latin-1").rstrip("\r\n").split("\r\n")
    pairs = (line.partition(":") for line in lines)
    return Head(first_line, {name.lower(): value.strip() for name, _, value in pairs})


async def read_body(reader: asyncio.StreamReader, head: Head) -> bytes:
    """Return the body that follows a head. Raises asyncio.IncompleteReadError."""
    if head.headers.get("transfer-encoding") == "chunked":
        body = b""
        while size := int((await reader.readuntil(b"\r\n")).split(b";")[0], 16):
            body += await reader.readexactly(size)
            await reader.readexactly(2)
        await reader.readuntil(b"\r\n")
        return body
    return await reader.readexactly(int(head.headers.get("content-length", 0)))
