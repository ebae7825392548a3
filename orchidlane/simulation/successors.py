"""Kills gateways that a fleet did not start itself: the new processes that ``orchidlane upgrade`` starts.

Such a process is not a child of the process that controls the fleet. It is found by the Unix socket of the
gateway's hot restart, on which it responds to status queries as the old process did.
"""

from __future__ import annotations

import os
import signal
import time
from collections.abc import Iterable

from orchidlane.gateway.lifecycle.status_query import request_status_in_own_loop
from orchidlane.hot_restart.old_process import Phase
from orchidlane.runtime.backend import Address

STATUS_TIMEOUT_US = 300_000
HOT_RESTART_TIMEOUT_S = 3.0  # until a new process listens at the address of an old one that was killed
POLL_INTERVAL_S = 0.02
EXIT_TIMEOUT_S = 15.0


def addresses_with_new_process(addresses: Iterable[Address]) -> list[Address]:
    """Return the hot restart addresses of the gateways whose hot restart is in progress."""
    statuses = {address: request_status_in_own_loop(address, STATUS_TIMEOUT_US) for address in addresses}
    return [
        address
        for address, status in statuses.items()
        if status is not None and status.phase != Phase.SERVING.value
    ]


def kill_serving_process(address: Address, hot_restart_timeout_s: float = 0.0) -> None:
    """Kill each process that responds at a hot restart address, until none does and the timeout is over.

    Raises TimeoutError if a process still responds after ``EXIT_TIMEOUT_S``, PermissionError if a process
    belongs to another user.
    """
    give_up_at = time.monotonic() + EXIT_TIMEOUT_S
    silent_until = time.monotonic() + hot_restart_timeout_s
    while True:
        status = request_status_in_own_loop(address, STATUS_TIMEOUT_US)
        if status is not None:
            _kill(status.pid)
        elif time.monotonic() >= silent_until:
            return
        if time.monotonic() >= give_up_at:
            raise TimeoutError(f"{address}: a process still responds after SIGKILL")
        time.sleep(POLL_INTERVAL_S)


def _kill(pid: int) -> None:
    try:
        os.kill(pid, signal.SIGKILL)
    except ProcessLookupError:
        return  # it has exited since it responded
