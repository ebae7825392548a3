"""New processes that `orchidlane upgrade` starts exit with the fleet whose gateways they replaced."""

from __future__ import annotations

import os
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
from collections.abc import Iterator
from pathlib import Path

import pytest
from harness.constants import MATERIALS
from harness.scenarios import make_scenario

from orchidlane.simulation.process_backend import ProcessFleetBackend, loopback_host
from orchidlane.simulation.scenario_plan import make_plan
from orchidlane.simulation.successors import addresses_with_new_process

PROGRAM = (sys.executable, "-m", "orchidlane")
TIMEOUT_S = 60.0
EXIT_TIMEOUT_S = 5.0


def processes_with_argument(folder: Path) -> list[int]:
    """Return the ids of the processes that have the folder in their arguments."""
    pids = []
    for path in Path("/proc").glob("[0-9]*/cmdline"):
        try:
            arguments = path.read_bytes()
        except OSError:
            continue  # the process has exited
        if os.fsencode(folder) in arguments:
            pids.append(int(path.parent.name))
    return pids


def all_exit(folder: Path) -> bool:
    """Return whether all processes with the folder in their arguments exit within ``EXIT_TIMEOUT_S``.

    A killed process takes a moment to disappear.
    """
    deadline = time.monotonic() + EXIT_TIMEOUT_S
    while processes_with_argument(folder):
        if time.monotonic() > deadline:
            return False
        time.sleep(0.02)
    return True


def await_listener(address: tuple[str, int]) -> None:
    """Wait until something listens at an address."""
    deadline = time.monotonic() + TIMEOUT_S
    while True:
        try:
            socket.create_connection(address).close()
        except OSError:
            assert time.monotonic() < deadline, f"no process listens at {address}"
            time.sleep(0.05)
        else:
            return


def upgrade_command(settings: Path) -> list[str]:
    """Return the command that hot restarts gateway 0; its new process has a session of its own."""
    return [*PROGRAM, "upgrade", str(settings), "--rank", "0"]


def upgrade(settings: Path) -> None:
    """Run the hot restart of gateway 0 until it has succeeded."""
    done = subprocess.run(upgrade_command(settings), capture_output=True, text=True, timeout=TIMEOUT_S)
    assert done.returncode == 0, done.stdout + done.stderr


@pytest.fixture
def one_gateway(tmp_path) -> ProcessFleetBackend:
    """Return a fleet of one gateway, which serves."""
    fleet_backend = ProcessFleetBackend(str(tmp_path))
    plan = make_plan(make_scenario(gateway_count=1), str(tmp_path), fleet_backend.free_addresses)
    plan.settings_text = plan.settings_text.replace('trial: "5s"', 'trial: "1s"')
    fleet_backend.prepare(plan)
    fleet_backend.start_gateway(0)
    await_listener(plan.gateways[0])
    return fleet_backend


@pytest.fixture
def short_folder() -> Iterator[Path]:
    """Return a folder whose path is short enough for a Unix socket in it."""
    with tempfile.TemporaryDirectory() as folder:
        yield Path(folder)


# Guards against a clean-up that fails and stops no process, since the path is too long for a Unix socket.
def test_fleet_in_a_folder_with_a_long_path_is_stopped(tmp_path):
    folder = tmp_path / ("long" * 30)
    folder.mkdir()
    fleet_backend = ProcessFleetBackend(str(folder))
    plan = make_plan(make_scenario(gateway_count=1), str(folder), fleet_backend.free_addresses)
    fleet_backend.prepare(plan)
    fleet_backend.start_gateway(0)
    fleet_backend.stop_all()
    assert all_exit(folder)


# Guards against a new process that keeps the port and responds with 503 after its fleet has been stopped.
@pytest.mark.parametrize("upgrades", [1, 2])
def test_new_process_started_by_the_command_exits_with_its_fleet(tmp_path, one_gateway, upgrades):
    for _ in range(upgrades):
        upgrade(tmp_path / "gw-0.cue")
    assert processes_with_argument(tmp_path)
    one_gateway.stop_all()
    assert all_exit(tmp_path)


# Guards against a new process on probation that serves alone once its old process is killed.
def test_new_process_on_probation_exits_with_its_fleet(tmp_path, one_gateway):
    command = upgrade_command(tmp_path / "gw-0.cue")
    with subprocess.Popen(command, stdout=subprocess.DEVNULL, stderr=subprocess.DEVNULL) as upgrading:
        deadline = time.monotonic() + TIMEOUT_S
        while not addresses_with_new_process([(f"{tmp_path}/gw-0.upgrade", 0)]):
            assert time.monotonic() < deadline
        one_gateway.stop_all()
        upgrading.wait(TIMEOUT_S)
    assert all_exit(tmp_path)


# Guards against a new process of gw-0 that keeps running after a signal has stopped `orchidlane up`.
@pytest.mark.parametrize(
    "signal_names", [["SIGTERM"], ["SIGINT"], ["SIGHUP"], ["SIGTERM", "SIGTERM"]], ids=str
)
def test_new_process_exits_with_orchidlane_up_after_any_signal(tmp_path, short_folder, signal_names):
    materials = tmp_path / "materials"
    shutil.copytree(MATERIALS, materials)
    fleet_file = materials / "fleet.cue"
    fleet_file.write_text(fleet_file.read_text().replace("127.0.0.1", loopback_host()))
    command = [*PROGRAM, "up", str(fleet_file)]
    environment = os.environ | {"TMPDIR": str(short_folder)}
    with subprocess.Popen(command, stdout=subprocess.DEVNULL, env=environment) as up:
        await_listener((loopback_host(), 8080))
        folder = next(short_folder.glob("orchidlane-*"))
        upgrade(folder / "gw-0.cue")
        for name in signal_names:
            up.send_signal(signal.Signals[name])
        up.wait(TIMEOUT_S)
    assert all_exit(folder)
    assert not folder.exists()
