"""The simulator's protocol at a site where discovery must be asked; the subscription breaks once.

The stand-in plays the simulator on the real clock: one instance, four hosts that serve, and discovery.
"""

from __future__ import annotations

import json
import os
import struct
import subprocess
import time
import tomllib
from pathlib import Path
from typing import Any

from stand_ins import ROOT, CaseCannotRunError, Record, run_case, settings

INSTANCE = 3
HOSTS = [bytes((10, 0, 0, number)) + struct.pack("<H", 9000) for number in range(1, 5)]
DRAINED = 1
CACHED, FULL, DELTA, FAILED = 2, 1, 0, 3
READY, DRAINING = 1, 2
KIND_NAMES = ("delta", "full", "cached")
PHASE_NAMES = ("gone", "ready", "draining")
TICK_S = 0.005
REQUEST_EVERY_S = 0.05
WORK_S = 0.03
BREAKS_AT_S = 3.0
DRAINS_AT_S = 4.0
NOTICE_S = 1.0  # until a subscribed instance is told of a change
ASK_WITHIN_S = 10.0
AFTER_FAILED_CALL = 4  # an instance counts as told after so many times as long
GRACE_S = 1.0
SLACK_S = 0.05
AFTER_LIMIT_S = 6.0
OK = 100


class Simulator:
    """The other side of ``sim``: writes batches of events, reads the replies and carries them out."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.events: list[bytes] = []  # of the next batch
        self.tail = bytearray()
        self.later: list[tuple[float, Any, tuple[Any, ...]]] = []  # time, function, arguments
        self.sends: list[tuple[float, int]] = []  # time and number of the host
        self.observed = 0  # how often the instance has asked: OBSERVE or RESOLVE
        self.is_subscribed = False
        self.phases = [READY] * len(HOSTS)
        self.version = 41
        self._lists = 0
        self._process = self._start()

    def _start(self) -> subprocess.Popen[bytes]:
        deploy = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())
        return subprocess.Popen(
            ["/bin/sh", "-c", deploy["sim"]],
            cwd=ROOT,
            env=dict(os.environ),
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
        )

    def close(self) -> None:
        """End the process: it ends with its input."""
        assert self._process.stdin is not None
        self._process.stdin.close()
        try:
            self._process.wait(5)
        except subprocess.TimeoutExpired:
            self._process.kill()
            self._process.wait()

    # -- events

    def add(self, code: int, layout: str, *values: Any) -> None:
        """Add an event to the next batch."""
        self.events.append(struct.pack("<B" + layout, code, *values).ljust(48, b"\0"))

    def add_tail(self, data: bytes) -> int:
        """Add data to the tail of the next batch; return its offset."""
        offset = len(self.tail)
        self.tail += data
        return offset

    def start_instance(self, instance_settings: dict[str, Any]) -> None:
        """Start the instance with its saved list."""
        text = json.dumps(instance_settings).encode()
        self.add(7, "HQII", INSTANCE, 0x8C1F30D27A5BE964, self.add_tail(text), len(text))
        self.tell_list(CACHED, range(len(HOSTS)))

    def tell_list(self, kind: int, numbers: Any) -> None:
        """Tell the instance of these hosts."""
        numbers = list(numbers)
        entries = b"".join(
            struct.pack("<fB6sBQBH", 1.0, 0, HOSTS[number], 0, 0, self.phases[number], 1)
            for number in numbers
        )
        self._lists = (self._lists + 1) % 16
        self.add(12, "HII", self._lists, self.add_tail(entries), len(numbers))
        self.add(9, "HBHQ", INSTANCE, kind, self._lists, self.version)
        told = ", ".join(f"host {number} {PHASE_NAMES[self.phases[number]]}" for number in numbers)
        self.record.note(f"the instance is told ({KIND_NAMES[kind]}): {told}")

    def break_subscription(self) -> None:
        """Break the subscription."""
        self.is_subscribed = False
        self.add(9, "HBHQ", INSTANCE, FAILED, 0, 0)
        self.record.note("the subscription breaks, and the instance is told so (kind 3)")

    def drain(self) -> None:
        """Let a host drain; a subscribed instance is told after a second."""
        self.phases[DRAINED] = DRAINING
        self.version += 1
        self.record.note(f"host {DRAINED} drains: discovery lists it as draining")
        self.after(NOTICE_S, self.notify)

    def notify(self) -> None:
        """Tell a subscribed instance of the drain."""
        if self.is_subscribed:
            self.tell_list(DELTA, [DRAINED])

    def request(self, number: int) -> None:
        """Let a client's request arrive, and the next one after it."""
        values = (INSTANCE, number, 0, 0, 1 + number, 2_000_000, 1.0, 1.0, float(INSTANCE), 0)
        self.add(5, "HIBHQIfffH", *values)
        self.after(REQUEST_EVERY_S, self.request, number + 1)

    def answer(self, request: int, attempt: int, host: bytes) -> None:
        """Answer an attempt: served."""
        took_us = int(WORK_S * 1_000_000)
        values = (INSTANCE, request, attempt, host, OK, took_us, 1, 0, 0, 0, 0.0, 0.0, 0.0, 0.0)
        self.add(6, "HIH6sHIBHHB4f", *values)

    def answer_call(self) -> None:
        """Answer OBSERVE or RESOLVE with the whole list."""
        self.tell_list(FULL, range(len(HOSTS)))

    # -- running

    def after(self, seconds: float, work: Any, *arguments: Any) -> None:
        """Call a function after some time."""
        self.later.append((self.record.now() + seconds, work, arguments))

    def run_until(self, end: float) -> None:
        """Exchange batches until a time of the record."""
        while self.record.now() < end:
            now = self.record.now()
            due = [entry for entry in self.later if entry[0] <= now]
            self.later = [entry for entry in self.later if entry[0] > now]
            for _, work, arguments in sorted(due, key=lambda entry: entry[0]):
                work(*arguments)
            self._exchange()
            time.sleep(TICK_S)

    def _exchange(self) -> None:
        body = b"".join(self.events) + bytes(self.tail)
        frame = struct.pack("<IIQ", len(self.events), len(body), int(self.record.now() * 1e6) + 8_400_000)
        self.events, self.tail = [], bytearray()
        process = self._process
        assert process.stdin is not None
        assert process.stdout is not None
        process.stdin.write(frame + body)
        process.stdin.flush()
        header = process.stdout.read(8)
        if len(header) < 8:
            raise CaseCannotRunError("sim ended")
        count, length = struct.unpack("<II", header)
        reply = process.stdout.read(length)
        for offset in range(0, 24 * count, 24):
            self._carry_out(reply[offset : offset + 24])

    def _carry_out(self, action: bytes) -> None:
        code = action[0]
        if code == 65:
            _, _, request, host, _ = struct.unpack_from("<BHI6sQ", action)
            at = self.record.note(f"SEND request {request} to host {HOSTS.index(host)}")
            self.sends.append((at, HOSTS.index(host)))
            self.after(WORK_S, self.answer, request, 0, host)
        elif code == 69:
            _, _, delay_us, token = struct.unpack_from("<BHIQ", action)
            self.after(delay_us / 1e6, self.add, 1, "HQ", INSTANCE, token)
        elif code in (75, 76):
            self.observed += 1
            self.is_subscribed = self.is_subscribed or code == 75
            self.record.note(f"the instance asks ({'OBSERVE' if code == 75 else 'RESOLVE'})")
            self.after(0.05, self.answer_call)
        elif code == 74:
            raise CaseCannotRunError("sim reports a failure of the decisions")


def case(record: Record, trouble: bool) -> bool:
    """Return whether nothing went to the draining host after the instance counted as told and the grace."""
    instance_settings = settings(discovery="on_request", balancers=INSTANCE + 1, rank=INSTANCE)
    instance_settings["rules"]["askWithin"] = int(ASK_WITHIN_S * 1_000_000)
    simulator = Simulator(record)
    try:
        simulator.start_instance(instance_settings)
        simulator.after(0.5, simulator.request, 1)
        if trouble:
            simulator.after(BREAKS_AT_S, simulator.break_subscription)
        simulator.after(DRAINS_AT_S, simulator.drain)
        limit = DRAINS_AT_S + AFTER_FAILED_CALL * ASK_WITHIN_S + GRACE_S + SLACK_S
        simulator.run_until(limit + AFTER_LIMIT_S)
    finally:
        simulator.close()
    late = [at for at, host in simulator.sends if host == DRAINED and at > limit]
    record.note(f"the instance has asked {simulator.observed} times")
    record.note(f"nothing new may go to host {DRAINED} after {limit:.3f}: {len(late)} sends did")
    return not late


if __name__ == "__main__":
    run_case(Path(__file__).parent, case)
