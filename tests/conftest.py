"""Groups of tests that run one after another, and fixtures."""

from __future__ import annotations

import logging
from collections.abc import Iterator
from pathlib import Path

import pytest
import structlog
from harness.known_red import (  # noqa: F401  hooks of the tests that are known to fail
    mark,
    pytest_collection_finish,
    pytest_configure,
    pytest_sessionfinish,
    pytest_terminal_summary,
    pytest_xdist_node_collection_finished,
)
from harness.policy_harness import PolicyHarness
from harness.single_gateway import GatewayFiles, write_gateway_files

from orchidlane.runtime import EventLoop, RealBackend
from orchidlane.runtime.simulated_backend import NetworkFaults, SimulatedBackend

WHOLE_MACHINE = (
    "cli",
    "gateway_process",
    "day",
    "event_loop",
    "sockets_and_files",
    "live_tools",
    "resp",
    "tools",
    "hot_restart_real",
    "simulator_protocol",
)  # real sockets, all cores


EACH_BY_ITSELF = ("consensus_model", "fleet_totals")  # long, and they share nothing
# Each starts up to ten processes: two at a time would compete for cores, and a leader that is delayed is
# replaced
PROCESSES = (
    "rollout_processes",
    "rollout_stages",
    "platform_processes",
    "platform_reload",
    "platform_shutdown",
)


def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    """Tests that need real time or all cores follow each other; one file's others stay together."""
    mark(config, items)
    for item in items:
        name = item.path.stem.removeprefix("test_")
        if name in EACH_BY_ITSELF:
            continue
        group = "machine" if name in WHOLE_MACHINE else "processes" if name in PROCESSES else name
        item.add_marker(pytest.mark.xdist_group(group))


@pytest.fixture
def harness() -> PolicyHarness:
    """A gateway with four warm endpoints."""
    return PolicyHarness()


@pytest.fixture
def quiet_log() -> Iterator[None]:
    """Log critical errors only."""
    structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(logging.CRITICAL))
    yield
    structlog.reset_defaults()


@pytest.fixture
def gateway_files(tmp_path: Path) -> GatewayFiles:
    """The example's files for one gateway process."""
    return write_gateway_files(tmp_path / "m")


@pytest.fixture(params=["real", "simulated"])
def loop(request: pytest.FixtureRequest) -> EventLoop:
    """An event loop on each of the two backends; the simulated one loses no datagrams."""
    if request.param == "real":
        return EventLoop(RealBackend(1))
    return EventLoop(SimulatedBackend(1, NetworkFaults(datagram_loss_probability=0)))
