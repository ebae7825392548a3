"""The frame of a case: its record, its temporary folder, its exit status, and that no process stays."""

from __future__ import annotations

import asyncio
import os
import signal
import sys
import tempfile
import traceback
from collections.abc import Awaitable, Callable, Iterable
from dataclasses import dataclass, field
from pathlib import Path

from support.gateways import Gateway, GatewayFailedError
from support.hosts import Arrival, Host
from support.record import Record

HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
TIME_LIMIT_S = 110.0
MAX_LAG_S = 0.15
LAG_PROBE_S = 0.01
CLOSING_S = 0.3
SOCKET_SLACK_S = 0.05  # by the protocol page, every time limit is 50 ms longer on sockets


@dataclass
class Case:
    """What a case needs: its record, its folder, whether to make trouble, and its gateways."""

    record: Record
    folder: Path
    trouble: bool
    gateways: list[Gateway] = field(default_factory=list)
    longest_lag_s: float = 0.0

    def conclude(self, violations: list[str], checked: str, max_lag_s: float = MAX_LAG_S) -> int:
        """Write the verdict and return the exit status.

        A broken rule counts only if this process was never held up by more than ``max_lag_s``.
        """
        for violation in violations:
            self.record.write(f"BROKEN: {violation}")
        self.record.write(f"longest hold-up of the stand-ins: {self.longest_lag_s:.3f} s")
        verdict = f"rule broken {len(violations)} times" if violations else "rule held"
        self.record.write(f"{verdict}; {checked}")
        print(f"{verdict}; {checked}")
        if violations and self.longest_lag_s > max_lag_s:
            print("the machine was too busy: the stand-ins were held up")
            return COULD_NOT_RUN
        return BROKEN if violations else HELD


def sends_after(hosts: Iterable[Host], name: str, allowed_until: float) -> list[Arrival]:
    """Return the requests whose first byte reached a host after it might get new ones."""
    return [
        arrival
        for host in hosts
        if host.name == name
        for arrival in host.arrivals
        if arrival.at > allowed_until + SOCKET_SLACK_S
    ]


def run(play: Callable[[Case], Awaitable[int]], script: str) -> None:
    """Play a case and exit with its status."""
    here = Path(script).resolve().parent
    record = Record(here / "record.txt")
    status = COULD_NOT_RUN
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(COULD_NOT_RUN))
    with tempfile.TemporaryDirectory(prefix="case-") as folder:
        case = Case(record, Path(folder), os.environ.get("TROUBLE", "1") != "0")
        record.write("with the trouble" if case.trouble else "without the trouble")
        try:
            status = asyncio.run(_play(case, play))
        except (GatewayFailedError, TimeoutError, OSError) as error:
            traceback.print_exc()
            record.write(f"could not run: {error!r}")
        finally:
            for gateway in case.gateways:
                gateway.kill()
                for line in gateway.log().splitlines():
                    record.write(f"log of {gateway.name}: {line}")
            record.close()
    sys.exit(status)


async def _play(case: Case, play: Callable[[Case], Awaitable[int]]) -> int:
    probe = asyncio.ensure_future(_measure_lag(case))
    try:
        return await asyncio.wait_for(play(case), TIME_LIMIT_S)
    finally:
        probe.cancel()
        for gateway in case.gateways:
            gateway.kill()
        await asyncio.sleep(CLOSING_S)  # the stand-ins read the ends of their connections


async def _measure_lag(case: Case) -> None:
    while True:
        before = case.record.now()
        await asyncio.sleep(LAG_PROBE_S)
        case.longest_lag_s = max(case.longest_lag_s, case.record.now() - before - LAG_PROBE_S)
