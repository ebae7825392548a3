"""The command line and real processes: clear errors, signals, many idle connections."""

from __future__ import annotations

import json
import os
import re
import resource
import shutil
import signal
import socket
import subprocess
import sys
import time
from pathlib import Path

import pytest
from click.testing import CliRunner

from orchidlane.cli.gateway_figures import Figure, parse_figures
from orchidlane.cli.main import main
from orchidlane.simulation.bench_scenario import map_bench_scenario
from orchidlane.simulation.scenario import load_scenario

MATERIALS = Path(__file__).parent.parent / "examples" / "materials"


def run(*arguments: str) -> tuple[int, str]:
    result = CliRunner().invoke(main, arguments)
    assert result.exception is None or isinstance(result.exception, SystemExit), result.exception
    return result.exit_code, result.output


def test_routes_are_listed_and_explained():
    code, text = run("routes", str(MATERIALS / "openapi.yaml"))
    assert code == 0
    assert "test-upload               2 keyed   PUT     /v1/tests/{test}" in text
    code, text = run("routes", str(MATERIALS / "openapi.yaml"), "--match", "PUT /v1/tests/7")
    assert code == 0
    assert "test = 7" in text
    assert run("routes", str(MATERIALS / "openapi.yaml"), "--match", "PUT /v1/reports")[0] == 1


def test_settings_are_checked_and_shown(tmp_path):
    shutil.copytree(MATERIALS, tmp_path / "m")
    file = tmp_path / "m" / "fleet.cue"
    code, text = run("config", "show", str(file))
    assert code == 0
    shown = tmp_path / "m" / "shown.cue"
    shown.write_text(text)
    assert run("config", "check", str(shown)) == (0, f"{shown}: fine\n")
    file.write_text(file.read_text().replace("rate: 4,", "rate: -4,"))
    code, text = run("config", "check", str(file))
    assert code == 2
    assert text.startswith(f"{file}:14:")
    assert "plans.basico.rate: found -4, allowed: number & >=0" in text


@pytest.mark.parametrize(
    "arguments",
    [
        ("gateway", "nowhere.cue"),
        ("day", "nowhere.cue"),
        ("routes", "nowhere.yaml"),
        ("gateway", str(MATERIALS / "fleet.cue"), "--rank", "9"),
        ("gateway", str(MATERIALS / "openapi.yaml")),
        ("day", str(MATERIALS / "quiet.cue"), "--bench-day", str(MATERIALS / "quiet.cue")),
    ],
)
def test_input_that_cannot_be_used_ends_with_2_and_one_line(arguments):
    code, text = run(*arguments)
    assert code == 2
    assert text.strip()
    assert "Traceback" not in text


def test_up_says_whose_address_is_taken(tmp_path):
    shutil.copytree(MATERIALS, tmp_path / "m")
    file = tmp_path / "m" / "fleet.cue"
    with socket.create_server(("127.0.0.1", 0)) as other:
        port = other.getsockname()[1]
        file.write_text(re.sub(r"127\.0\.0\.1:8[0-9]{3}", f"127.0.0.1:{port}", file.read_text()))
        code, text = run("up", str(file))
    assert code == 2
    assert text.startswith(f"{file}: nodes.list: 127.0.0.1:{port}: Address already in use")


def test_a_bench_days_troubles_are_mapped_or_named():
    machine = {"zone": 0}
    troubles = [
        {"kind": "balancer_stall", "at": 10, "len": 9_000_000, "size": 500.0, "extra": 3.0, "on": [0, 2]},
        {"kind": "deploy", "at": 5, "len": 1, "extra": 2.0, "steps": [{"at": 7, "stop": [1]}]},
        {"kind": "scan", "at": 1, "len": 1},
        {"kind": "never seen", "at": 1, "len": 1},
    ]
    text = {"length": 40_000_000, "servers": [machine] * 10, "balancers": [machine] * 3, "troubles": troubles}
    mapped = map_bench_scenario(json.dumps(text).encode(), load_scenario(str(MATERIALS / "random.cue")))
    assert mapped.mapped == ["balancer_stall: 6 steps", "deploy: 1 steps"]
    assert [line.split(":")[0] for line in mapped.unmapped] == ["scan", "never seen"]
    assert {step.fault for step in mapped.scenario.steps} == {"freeze_gateway", "drain_node"}


def test_figures_are_summed_over_the_labels_of_a_metrics_page():
    page = (
        'orchidlane_answers_total{class="a",kind="served"} 3.0\n'
        'orchidlane_answers_total{class="b",kind="served"} 4.0\n'
        'orchidlane_attempts_total{outcome="served"} 7.0\norchidlane_attempts_total{outcome="full"} 2.0\n'
        "orchidlane_open_requests 5.0\n"
    )
    figures = parse_figures(page)
    assert figures[Figure.SERVED] == 7
    assert figures[Figure.FORWARDED] == 9
    assert figures[Figure.NOT_SERVED_ATTEMPTS] == 2
    assert figures[Figure.OPEN_REQUESTS] == 5


# A real process


@pytest.fixture
def folder(tmp_path) -> Path:
    shutil.copytree(MATERIALS, tmp_path / "m")
    secret = tmp_path / "m" / "secret"
    secret.write_bytes(b"0123456789abcdef")
    secret.chmod(0o600)
    held = [socket.socket() for _ in range(5)]
    for sock in held:
        sock.bind(("127.0.0.1", 0))
    ports = [sock.getsockname()[1] for sock in held]
    for sock in held:
        sock.close()
    file = tmp_path / "m" / "fleet.cue"
    text = file.read_text()
    for old, new in zip((8080, 8180, 8280, 8300, 8380), ports, strict=True):
        text = text.replace(f":{old}", f":{new}")
    file.write_text(text)
    digest = "8d" * 32
    (tmp_path / "m" / "customers.json").write_text(
        json.dumps({"customers": [{"id": 1, "plan": "basico", "keys": [digest]}]})
    )
    (tmp_path / "m" / "port").write_text(f"{ports[0]} {ports[2]} {ports[4]}")
    return tmp_path / "m"


class Process:
    """One gateway process and what it wrote."""

    def __init__(self, folder: Path, descriptors: int | None = None) -> None:
        self.log = folder / "log"
        self.port, self.admin, self.resp = map(int, (folder / "port").read_text().split())
        command = [sys.executable, "-m", "orchidlane", "gateway", str(folder / "fleet.cue")]

        def limit() -> None:
            if descriptors:
                resource.setrlimit(resource.RLIMIT_NOFILE, (descriptors, descriptors))

        with open(self.log, "wb") as log:
            self.process = subprocess.Popen(command, stderr=log, stdout=log, preexec_fn=limit)

    def until(self, event: str) -> str:
        for _ in range(600):
            if f'"event": "{event}"' in self.log.read_text():
                return self.log.read_text()
            if self.process.poll() is not None:
                break
            time.sleep(0.02)
        raise AssertionError(self.log.read_text())

    def get(self, port: int, path: str) -> bytes:
        with socket.create_connection(("127.0.0.1", port), 5) as sock:
            sock.sendall(f"GET {path} HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n".encode())
            data = b""
            while piece := sock.recv(65536):
                data += piece
            return data


@pytest.fixture
def gateway(folder):
    process = Process(folder)
    process.until("started")
    yield process
    process.process.kill()
    process.process.wait()


def test_signals_reload_and_drain(gateway, folder):
    assert gateway.get(gateway.admin, "/health").endswith(b"ready\n")
    assert gateway.get(gateway.port, "/v1/extra").startswith(b"HTTP/1.1 404 ")
    description = folder / "openapi.yaml"
    good = description.read_text()
    description.write_text(good.replace("/sheets/latest:", "/extra:"))
    gateway.process.send_signal(signal.SIGHUP)
    gateway.until("reloaded")
    assert gateway.get(gateway.port, "/v1/extra").startswith(b"HTTP/1.1 401 ")
    description.write_text(good.replace("effect: safe", "effect: often"))
    gateway.process.send_signal(signal.SIGHUP)
    assert "found effect 'often'" in gateway.until("reload refused")
    assert gateway.get(gateway.port, "/v1/extra").startswith(b"HTTP/1.1 401 ")
    gateway.process.send_signal(signal.SIGTERM)
    assert gateway.process.wait(10) == 0
    gateway.until("ended")


def test_settings_and_classes_change_by_an_upgrade_and_bad_ones_are_refused(folder):
    """The way to other classes and settings; what can't be used is told, and the old process stays."""
    file, description = folder / "fleet.cue", folder / "openapi.yaml"
    settings, good = file.read_text(), description.read_text()
    lines = settings.splitlines()
    kept = [line for line in lines if not any(name in line for name in ('"gw-1"', '"gw-2"'))]
    settings = "\n".join(kept).replace('state:       ""', 'state: "."') + '\nupgrade: trial: "300ms"\n'
    file.write_text(settings)
    old = Process(folder)
    old.until("started")
    command = [sys.executable, "-m", "orchidlane", "upgrade", str(file), "--log", str(folder / "new.log")]

    def upgrade() -> tuple[int, str]:
        done = subprocess.run(command, capture_output=True, text=True, timeout=60)
        return done.returncode, done.stdout + done.stderr

    try:
        file.write_text(settings.replace("rate: 4,", "rate: -4,"))
        code, told = upgrade()
        assert (code, "plans.basico.rate: found -4" in told) == (2, True), told
        file.write_text(settings)
        description.write_text(good.replace("effect: safe", "effect: often"))
        code, told = upgrade()
        assert (code, "found effect 'often'" in told) == (1, True), told
        assert old.get(old.port, "/v1/extra").startswith(b"HTTP/1.1 404 ")
        assert old.process.poll() is None
        changed = good.replace("/sheets/latest:", "/extra:")
        description.write_text(changed.replace("aim: 400ms", "aim: 410ms"))
        code, told = upgrade()
        assert code == 0, told
        assert old.process.wait(10) == 0
        assert old.get(old.port, "/v1/extra").startswith(b"HTTP/1.1 401 ")
        os.kill(int(told.split()[2].rstrip(",")), signal.SIGTERM)
    finally:
        old.process.kill()
        old.process.wait()


def test_ten_thousand_idle_connections_leave_room_for_a_request(gateway):
    count = min(10_000, resource.getrlimit(resource.RLIMIT_NOFILE)[0] - 500) - 1
    held = [socket.create_connection(("127.0.0.1", gateway.port)) for _ in range(count)]
    assert gateway.get(gateway.port, "/v1/nothing").startswith(b"HTTP/1.1 404 ")
    page = gateway.get(gateway.admin, "/metrics").decode()
    assert f"orchidlane_connections {count}.0" in page
    for sock in held:
        sock.close()


def test_at_the_limit_of_descriptors_idle_clients_make_room(folder):
    gateway = Process(folder, descriptors=100)
    gateway.until("started")
    held = [socket.create_connection(("127.0.0.1", gateway.port)) for _ in range(150)]
    for _ in range(5):
        assert gateway.get(gateway.port, "/v1/nothing").startswith(b"HTTP/1.1 404 ")
        assert gateway.get(gateway.admin, "/health").endswith(b"ready\n")
    for sock in held:
        sock.close()
    gateway.process.terminate()
    assert gateway.process.wait(10) == 0
