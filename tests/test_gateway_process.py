"""One real gateway process: signals, hot restarts, many idle connections, the descriptor limit."""

from __future__ import annotations

import os
import resource
import signal
import subprocess
import sys
from collections.abc import Iterator

import pytest
from harness.single_gateway import GatewayFiles, SingleGateway

MAX_IDLE_CONNECTIONS = 10_000
RESERVED_DESCRIPTORS = 500  # of the test's own process, for all but idle connections


@pytest.fixture
def gateway(gateway_files: GatewayFiles) -> Iterator[SingleGateway]:
    with SingleGateway(gateway_files) as gateway:
        yield gateway


def test_sighup_reloads_a_valid_description_and_sigterm_drains(gateway: SingleGateway):
    assert gateway.get_admin("/health").endswith(b"ready\n")
    assert gateway.get("/v1/extra").startswith(b"HTTP/1.1 404 ")
    description = gateway.files.description
    original = description.read_text()
    description.write_text(original.replace("/sheets/latest:", "/extra:"))
    gateway.process.send_signal(signal.SIGHUP)
    gateway.wait_until_logged("reloaded")
    assert gateway.get("/v1/extra").startswith(b"HTTP/1.1 401 ")
    description.write_text(original.replace("effect: safe", "effect: often"))
    gateway.process.send_signal(signal.SIGHUP)
    assert "found effect 'often'" in gateway.wait_until_logged("reload refused")
    assert gateway.get("/v1/extra").startswith(b"HTTP/1.1 401 ")
    gateway.process.send_signal(signal.SIGTERM)
    assert gateway.wait_until_exited() == 0
    gateway.wait_until_logged("stopped")


def run_hot_restart(files: GatewayFiles) -> tuple[int, str]:
    """Run the command for a hot restart of the gateway; return its exit code and output."""
    log = files.folder / "new.log"
    command = [sys.executable, "-m", "orchidlane", "upgrade", str(files.settings), "--log", str(log)]
    completed = subprocess.run(command, capture_output=True, text=True, timeout=60)
    return completed.returncode, completed.stdout + completed.stderr


def test_a_hot_restart_applies_new_files_and_rejects_invalid_ones(gateway_files: GatewayFiles):
    """With invalid files the command reports the error and the old process keeps running."""
    files = gateway_files
    original = files.description.read_text()
    lines = files.settings.read_text().splitlines()
    one_gateway = [line for line in lines if not any(name in line for name in ('"gw-1"', '"gw-2"'))]
    settings = "\n".join(one_gateway).replace('state:       ""', 'state: "."')
    settings += '\nupgrade: trial: "300ms"\n'
    files.settings.write_text(settings)
    with SingleGateway(files) as old:
        files.settings.write_text(settings.replace("rate: 4,", "rate: -4,"))
        code, output = run_hot_restart(files)
        assert (code, "plans.basico.rate: found -4" in output) == (2, True), output
        files.settings.write_text(settings)
        files.description.write_text(original.replace("effect: safe", "effect: often"))
        code, output = run_hot_restart(files)
        assert (code, "found effect 'often'" in output) == (1, True), output
        assert old.get("/v1/extra").startswith(b"HTTP/1.1 404 ")
        assert old.process.poll() is None
        changed = original.replace("/sheets/latest:", "/extra:")
        files.description.write_text(changed.replace("aim: 400ms", "aim: 410ms"))
        code, output = run_hot_restart(files)
        assert code == 0, output
        assert old.wait_until_exited() == 0
        assert old.get("/v1/extra").startswith(b"HTTP/1.1 401 ")
        new_pid = int(output.split()[2].rstrip(","))
        os.kill(new_pid, signal.SIGTERM)


def test_ten_thousand_idle_connections_leave_capacity_for_a_request(gateway: SingleGateway):
    descriptors = resource.getrlimit(resource.RLIMIT_NOFILE)[0]
    count = min(MAX_IDLE_CONNECTIONS, descriptors - RESERVED_DESCRIPTORS) - 1
    connections = [gateway.connect() for _ in range(count)]
    assert gateway.get("/v1/nothing").startswith(b"HTTP/1.1 404 ")
    page = gateway.get_admin("/metrics").decode()
    assert f"orchidlane_connections {count}.0" in page
    for connection in connections:
        connection.close()


def test_idle_clients_make_room_at_the_descriptor_limit(gateway_files: GatewayFiles):
    with SingleGateway(gateway_files, max_descriptors=100) as gateway:
        connections = [gateway.connect() for _ in range(150)]
        for _ in range(5):
            assert gateway.get("/v1/nothing").startswith(b"HTTP/1.1 404 ")
            assert gateway.get_admin("/health").endswith(b"ready\n")
        for connection in connections:
            connection.close()
        gateway.process.terminate()
        assert gateway.wait_until_exited() == 0
