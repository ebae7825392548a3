"""A gateway in the simulated backend that is hot restarted under load, also by broken new processes."""

from __future__ import annotations

import contextlib
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import structlog

from harness.constants import MS, SECOND
from harness.gateway_harness import GENERATION, GET, OK, REPORT, SETTINGS, GatewayHarness
from orchidlane import http1
from orchidlane.config import Duration
from orchidlane.gateway.control.configuration import ConfigurationSnapshot
from orchidlane.gateway.control.settings_loader import parse_settings
from orchidlane.gateway.lifecycle.process import GatewayProcess
from orchidlane.hot_restart import old_process
from orchidlane.runtime import EventLoopError, Process, Stream

WARM_UP_REQUESTS = 40
SETTLED_PHASES = (old_process.Phase.SERVING, old_process.Phase.ENDED)

Sabotage = Callable[[GatewayProcess], None]  # makes a new process fail
Handler = Callable[[GatewayHarness, int, Stream], None]  # serves one connection of a fake endpoint


@dataclass
class ClientResponse:
    """The response that a client received; status 0 if its connection closed without one."""

    status: int
    closes_connection: bool


class HotRestartHarness(GatewayHarness):
    """One gateway, its hot restarts, and clients that count their responses by status.

    ``gateways`` holds the gateway processes in the order of their start, ``processes`` the event loop's
    processes that run them. ``statuses`` counts the clients' responses by status, 0 for a missing response.
    """

    def __init__(
        self,
        *handlers: Handler,
        probation: int = SECOND,
        single_gateway: bool = False,
        record_to: str | None = None,
        **changes: Any,
    ) -> None:
        self.record_to = record_to
        if single_gateway:  # so that it owns every token
            changes["gateways"] = parse_settings(SETTINGS, "fleet.cue").gateways[:1]
        hot_restart = {
            "trial": Duration(probation),
            "silence": Duration(600 * MS),
            "warm": Duration(2 * SECOND),
        }
        super().__init__(*handlers, state="/sim", upgrade=hot_restart, **changes)
        self.gateways: list[GatewayProcess] = []
        self.processes: list[Process] = []
        self.statuses: Counter[int] = Counter()
        self.longest_response_us = 0
        self.running_clients = 0

    def _gateway(self, rank: int, is_hot_restart: bool = False, sabotage: Sabotage | None = None) -> None:
        configuration = ConfigurationSnapshot(GENERATION, self.customers, structlog.get_logger(), False)
        secret = b"0123456789abcdef"
        self.program = GatewayProcess(
            self.loop, self.fleet, rank, secret, configuration, self.record_to, is_hot_restart
        )
        self.gateways.append(self.program)
        if sabotage is not None:
            sabotage(self.program)
        try:
            self.program.run()
        except RuntimeError:  # an uncaught error ends the whole process
            self.backend.kill(self.loop.process)

    def start(self, rank: int = 0) -> None:
        """Start the gateway."""
        self.process = self.backend.start("gw-0", self._gateway, rank)
        self.processes.append(self.process)

    def start_hot_restart(self, sabotage: Sabotage | None = None) -> None:
        """Start a new process for a hot restart; ``sabotage`` makes it fail."""
        self.process = self.backend.start("gw-0", self._gateway, 0, True, sabotage)
        self.processes.append(self.process)

    def hot_restart(self) -> GatewayProcess:
        """Start a new process, wait until it serves, and return it."""
        index = len(self.gateways)
        self.start_hot_restart()
        self.wait_until(lambda: len(self.gateways) > index and self.gateways[index] in self.serving())
        return self.gateways[index]

    # -- load

    def start_load(self, duration: int, clients: int = 3) -> None:
        """Send warm-up requests one by one, then start clients, half of which keep their connections."""
        for _ in range(WARM_UP_REQUESTS):
            assert self.ask(GET)[0] == 200
        for number in range(clients):
            self.scope.spawn(self._run_client, self.loop.now() + duration, number % 2 == 0)
            self.running_clients += 1

    def _run_client(self, stop_at_us: int, keeps_connection: bool) -> None:
        stream, parser = None, None
        number = 0
        while self.loop.now() < stop_at_us:
            number += 1
            started_at = self.loop.now()
            response = ClientResponse(0, True)
            with contextlib.suppress(EventLoopError):
                if stream is None:
                    stream, parser = self.connect(), http1.ResponseParser()
                raw = REPORT if number % 4 == 0 else GET
                stream.send(raw)
                response = self._read_response(stream, raw, parser)
            self.statuses[response.status] += 1
            self.longest_response_us = max(self.longest_response_us, self.loop.now() - started_at)
            if response.status and keeps_connection and not response.closes_connection:
                parser.next_message()
            elif stream is not None:
                self._close(stream, response.status)
                stream = None
            self.loop.sleep(self.backend.random.randint(5 * MS, 25 * MS))
        self.running_clients -= 1

    def _read_response(self, stream: Stream, raw: bytes, parser: http1.ResponseParser) -> ClientResponse:
        status, headers, _ = self.answer(stream, raw.split(b" ")[0].decode(), parser=parser)
        return ClientResponse(status, (b"connection", b"close") in headers)

    def _close(self, stream: Stream, status: int) -> None:
        """Close a connection, and check that no bytes follow its last response."""
        if status:
            with contextlib.suppress(EventLoopError):
                data = stream.recv(deadline=self.loop.now() + 20 * MS)
                assert data == b"", "bytes after the response"
        stream.close()

    # -- observations

    def wait_until(self, condition: Callable[[], bool], timeout: int = 30 * SECOND) -> None:
        """Wait until a condition holds, for at most ``timeout`` microseconds."""
        deadline = self.loop.now() + timeout
        while not condition():
            assert self.loop.now() < deadline, "the condition did not hold in time"
            self.loop.sleep(10 * MS)

    def serving(self) -> list[GatewayProcess]:
        """Return the processes that accept requests now."""
        return [
            gateway
            for gateway, process in zip(self.gateways, self.processes, strict=True)
            if not process.is_dead and process.tasks and _accepts_requests(gateway)
        ]

    def await_settled(self) -> GatewayProcess:
        """Wait until the load and the hot restart are over, and return the one process that serves."""
        self.wait_until(lambda: not self.running_clients)
        self.wait_until(self._is_settled)
        self.wait_until(lambda: len(self.serving()) == 1)
        self.loop.sleep(500 * MS)
        (gateway,) = self.serving()
        assert self.ask(GET)[0] == 200
        self.loop.sleep(100 * MS)
        return gateway

    def _is_settled(self) -> bool:
        pairs = zip(self.gateways, self.processes, strict=False)
        alive = [gateway for gateway, process in pairs if not process.is_dead]
        return all(gateway.old_side.machine.phase in SETTLED_PHASES for gateway in alive)

    def forwarded_units(self) -> int:
        """Return the units of the requests that the endpoints read."""
        costs = {operation.path: operation.cost for operation in GENERATION.operations}
        report_cost = next(cost for path, cost in costs.items() if path.endswith("/reports"))
        return sum(report_cost if line.startswith(b"POST") else 1 for _, line in self.seen)


def _accepts_requests(gateway: GatewayProcess) -> bool:
    return gateway.ready and gateway.http_server.hand_over is None and not gateway.stopping


def slow(harness: GatewayHarness, index: int, stream: Stream) -> None:
    """Serve each request after 8 ms."""
    while True:
        harness.read_request(index, stream)
        harness.loop.sleep(8 * MS)
        stream.send(OK)


def counted_units(gateway: GatewayProcess) -> float:
    """Return the units that a gateway has counted for the customer of the tests."""
    account = gateway.policy_driver.gateway.accounts[1]
    return account.replica_counts[0][1]
