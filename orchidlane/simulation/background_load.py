"""Runs a test's script in a thread while the clients of a scenario send requests to processes."""

from __future__ import annotations

import contextlib
import os
import signal
import threading
from collections.abc import Callable

from orchidlane.gateway.control.settings_loader import hot_restart_address
from orchidlane.gateway.lifecycle.status_query import request_status
from orchidlane.simulation.audit import Verdict
from orchidlane.simulation.scenario_runner import ScenarioRunner, run_in_loop

WARM_UP_REQUESTS = 120
WARM_UP_POLL_INTERVAL_US = 20_000
SCRIPT_POLL_INTERVAL_US = 100_000


class ScriptThread:
    """A script in a thread of its own; an exception that it raises is kept."""

    def __init__(self, script: Callable[[], None]) -> None:
        self._script = script
        self._ended = threading.Event()
        self.failure: BaseException | None = None

    @property
    def has_ended(self) -> bool:
        """Whether the script has returned or raised."""
        return self._ended.is_set()

    def start(self) -> None:
        """Start the script."""
        threading.Thread(target=self._run, daemon=True).start()

    def _run(self) -> None:
        try:
            self._script()
        except BaseException as error:  # raised again where the load ends
            self.failure = error
        finally:
            self._ended.set()


def run_during_load(
    runner: ScenarioRunner, script: Callable[[], None], warm_up_requests: int = WARM_UP_REQUESTS
) -> Verdict:
    """Run a script after some requests; return the verdict over the load, which ends with the script.

    A process that an upgrade left serving is no child of this one: it is killed at the end.
    Raises what the script raises.
    """
    loop = runner.loop
    thread = ScriptThread(script)
    serving_pids: list[int] = []

    def drive() -> None:
        while runner.http_clients is None or runner.http_clients.sent_count < warm_up_requests:
            loop.sleep(WARM_UP_POLL_INTERVAL_US)
        thread.start()
        while not thread.has_ended:
            loop.sleep(SCRIPT_POLL_INTERVAL_US)
        serving_pids.extend(_serving_pids(runner))
        runner.end_load()

    try:
        verdict = run_in_loop(runner, drive)
    finally:
        for pid in serving_pids:
            with contextlib.suppress(ProcessLookupError):
                os.kill(pid, signal.SIGKILL)
    if thread.failure is not None:
        raise thread.failure
    return verdict


def _serving_pids(runner: ScenarioRunner) -> list[int]:
    """Return the processes that serve as gateways, as they say themselves."""
    fleet = runner.plan.fleet
    addresses = [hot_restart_address(fleet, entry) for entry in fleet.gateways]
    statuses = [request_status(runner.loop, address) for address in addresses if address is not None]
    return [status.pid for status in statuses if status is not None]
