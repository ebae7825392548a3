"""Runs a test's script in a thread while the clients of a scenario send requests to gateway processes."""

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
    """Runs a script in a separate thread; ``failure`` keeps the exception that it raises."""

    def __init__(self, script: Callable[[], None]) -> None:
        self._script = script
        self._finished = threading.Event()
        self.failure: BaseException | None = None

    @property
    def has_finished(self) -> bool:
        """Whether the script has returned or raised."""
        return self._finished.is_set()

    def start(self) -> None:
        """Start the script."""
        threading.Thread(target=self._run, daemon=True).start()

    def _run(self) -> None:
        try:
            self._script()
        except BaseException as error:  # run_during_load raises it again once the load has stopped
            self.failure = error
        finally:
            self._finished.set()


def run_during_load(
    runner: ScenarioRunner, script: Callable[[], None], warm_up_requests: int = WARM_UP_REQUESTS
) -> Verdict:
    """Run a script once ``warm_up_requests`` were sent; return the verdict on the load.

    The load stops when the script has finished. A process that serves after a hot restart may not be a child
    of this process, so all serving processes are killed by their ids. Raises what the script raises.
    """
    loop = runner.loop
    thread = ScriptThread(script)
    serving_pids: list[int] = []

    def drive() -> None:
        while runner.http_clients is None or runner.http_clients.sent_count < warm_up_requests:
            loop.sleep(WARM_UP_POLL_INTERVAL_US)
        thread.start()
        while not thread.has_finished:
            loop.sleep(SCRIPT_POLL_INTERVAL_US)
        serving_pids.extend(_serving_pids(runner))
        runner.stop_load()

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
    """Return the ids of the processes that serve as gateways, as their status reports them."""
    fleet = runner.plan.fleet
    addresses = [hot_restart_address(fleet, entry) for entry in fleet.gateways]
    statuses = [request_status(runner.loop, address) for address in addresses if address is not None]
    return [status.pid for status in statuses if status is not None]
