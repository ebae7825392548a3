"""Discovery as an agent that holds the whole list and pushes each change to the open watches."""

from __future__ import annotations

import asyncio
import json
import socket
import struct
import time
from contextlib import suppress
from typing import Any

from support.hosts import Host
from support.messages import parse_head
from support.record import Record

HEARTBEAT_S = 2.0
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class DiscoveryAgent:
    """The agent of one gateway.

    ``answer_delay_s`` is how long each call waits for the start of its answer. While ``is_down``, the agent
    sends nothing; calls that still wait are answered at its return. With ``ends_instead_of_telling``, a
    change ends the open watches and is told in the answer to the next call only.
    """

    def __init__(self, record: Record, name: str, hosts: list[Host], zone: str) -> None:
        self.record = record
        self.name = name
        self.answer_delay_s = 0.0
        self.is_down = False
        self.ends_instead_of_telling = False
        self.generation = 1
        self.address = ""
        self.instances = {host.name: _instance(host, number, zone) for number, host in enumerate(hosts)}
        self.calls = 0
        self.answers = 0
        self._changes: list[tuple[int, dict[str, Any]]] = []
        self._watches: set[asyncio.StreamWriter] = set()
        self._returned = asyncio.Event()
        self._answered_calls: set[int] = set()

    async def start(self) -> None:
        """Listen on a free port."""
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0, backlog=128)
        self.address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
        self._server = server

    def whole_list(self) -> dict[str, Any]:
        """Return the whole list as discovery sends it."""
        return {"generation": self.generation, "reset": True, "instances": list(self.instances.values())}

    def change(self, host: str, **fields: Any) -> None:
        """Change one entry and tell it, or end the open watches."""
        self.generation += 1
        self.instances[host] = {**self.instances[host], **fields}
        self._changes.append((self.generation, self.instances[host]))
        self.record.write(f"discovery {self.name} generation {self.generation}: {host} {fields}")
        if self.is_down:
            return
        for writer in list(self._watches):
            if self.ends_instead_of_telling:
                self.record.write(f"discovery {self.name} ends a watch")
                self._watches.discard(writer)
                writer.write(b"0\r\n\r\n")
                writer.close()
            else:
                self._send(writer, self._changes_after(self.generation - 1))

    def add(self, host: Host, zone: str) -> None:
        """Add a host that has just started."""
        entry = _instance(host, len(self.instances), zone)
        self.instances[host.name] = {**entry, "startedAtMs": int(time.time() * 1_000)}
        self.change(host.name)

    def go_down(self) -> None:
        """Fall silent, on the open watches too."""
        self.record.write(f"discovery {self.name} is down")
        self.is_down = True
        self._returned.clear()

    def reset_watches(self) -> None:
        """Reset the open watches."""
        self.record.write(f"discovery {self.name} resets {len(self._watches)} watches")
        for writer in self._watches:
            writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
            writer.close()
        self._watches.clear()

    def _changes_after(self, generation: int) -> dict[str, Any]:
        changed = {entry["instanceId"]: entry for number, entry in self._changes if number > generation}
        return {"generation": self.generation, "reset": False, "instances": list(changed.values())}

    def _send(self, writer: asyncio.StreamWriter, line: dict[str, Any] | None) -> None:
        text = b"\n" if line is None else json.dumps(line).encode() + b"\n"
        writer.write(b"%x\r\n%s\r\n" % (len(text), text))
        if line is not None:
            self.record.write(f"discovery {self.name} tells {text.decode().strip()}")

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with suppress(asyncio.IncompleteReadError, ConnectionError):
            head = parse_head(await reader.readuntil(b"\r\n\r\n"))
            self.calls += 1
            number = self.calls
            self.record.write(f"discovery {self.name} call {number}: {head.first_line}")
            answer = asyncio.ensure_future(self._answer(head.first_line, number, writer))
            closed = asyncio.ensure_future(reader.read())
            await asyncio.wait({answer, closed}, return_when=asyncio.FIRST_COMPLETED)
            if closed.done() and number not in self._answered_calls:
                self.record.write(f"discovery {self.name} call {number} was given up by the gateway")
            answer.cancel()
            closed.cancel()
        self._watches.discard(writer)
        writer.close()

    async def _answer(self, request_line: str, number: int, writer: asyncio.StreamWriter) -> None:
        await asyncio.sleep(self.answer_delay_s)
        if self.is_down:
            await self._returned.wait()
        target = request_line.split(" ")[1]
        parameters = dict(part.split("=") for part in target.partition("?")[2].split("&") if part)
        self._answered_calls.add(number)
        self.answers += 1
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        generation = int(parameters.get("from", -1))
        self._send(writer, self._changes_after(generation) if generation >= 0 else self.whole_list())
        self._watches.add(writer)
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            if not self.is_down and writer in self._watches:
                self._send(writer, None)


def _instance(host: Host, number: int, zone: str) -> dict[str, Any]:
    return {
        "instanceId": host.name,
        "hostPort": host.address,
        "zone": zone,
        "machineType": "std",
        "cell": number // 3,
        "lifecycle": "active",
        "weight": 1.0,
        "startedAtMs": 0,
    }
