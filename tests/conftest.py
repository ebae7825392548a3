"""Groups of tests for pytest-xdist, each run one test after another by one worker, and fixtures."""

from __future__ import annotations

import logging
from collections.abc import Iterator
from pathlib import Path

import pytest
import structlog
from harness.known_red import (  # noqa: F401  pytest calls these hooks
    mark_known_failures,
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

# These use real sockets and all cores, so they run one after another.
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
)


# The tests of these files take long and share nothing, so they need no group.
WITHOUT_GROUP = ("consensus_model", "fleet_totals")
# Each starts up to ten processes. Two at a time would compete for cores, and a leader that is delayed is
# replaced, so they run one after another.
PROCESSES = (
    "rollout_processes",
    "rollout_stages",
    "platform_processes",
    "platform_reload",
    "platform_shutdown",
)


def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    """Assign tests to groups: those that need all cores share one, other files have one each."""
    mark_known_failures(config, items)
    for item in items:
        name = item.path.stem.removeprefix("test_")
        if name in WITHOUT_GROUP:
            continue
        group = "machine" if name in WHOLE_MACHINE else "processes" if name in PROCESSES else name
        item.add_marker(pytest.mark.xdist_group(group))


@pytest.fixture
def harness() -> PolicyHarness:
    """Return a gateway with four endpoints that are past their slow start."""
    return PolicyHarness()


@pytest.fixture
def quiet_log() -> Iterator[None]:
    """Log critical errors only."""
    structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(logging.CRITICAL))
    yield
    structlog.reset_defaults()


@pytest.fixture
def gateway_files(tmp_path: Path) -> GatewayFiles:
    """Return the files of the example service for one gateway process."""
    return write_gateway_files(tmp_path / "m")


@pytest.fixture(params=["real", "simulated"])
def loop(request: pytest.FixtureRequest) -> EventLoop:
    """Return an event loop on each of the two backends; the simulated one loses no datagrams."""
    if request.param == "real":
        return EventLoop(RealBackend(1))
    return EventLoop(SimulatedBackend(1, NetworkFaults(datagram_loss_probability=0)))
