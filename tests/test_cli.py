"""The command line: its output, and its error messages for unusable input."""

from __future__ import annotations

import json
import re
import shutil
import socket

import pytest
from harness.constants import MATERIALS
from harness.recording_harness import run_command

from orchidlane.cli.gateway_figures import Figure, Reading, parse_figures, rates_between
from orchidlane.simulation.bench_scenario import map_bench_scenario
from orchidlane.simulation.scenario import load_scenario


def test_routes_are_listed_and_explained():
    code, text = run_command("routes", str(MATERIALS / "openapi.yaml"))
    assert code == 0
    assert "test-upload               2 keyed   PUT     /v1/tests/{test}" in text
    code, text = run_command("routes", str(MATERIALS / "openapi.yaml"), "--match", "PUT /v1/tests/7")
    assert code == 0
    assert "test = 7" in text
    assert run_command("routes", str(MATERIALS / "openapi.yaml"), "--match", "PUT /v1/reports")[0] == 1


def test_settings_are_checked_and_shown_with_defaults(tmp_path):
    shutil.copytree(MATERIALS, tmp_path / "m")
    file = tmp_path / "m" / "fleet.cue"
    code, text = run_command("config", "show", str(file))
    assert code == 0
    shown = tmp_path / "m" / "shown.cue"
    shown.write_text(text)
    assert run_command("config", "check", str(shown)) == (0, f"{shown}: fine\n")
    file.write_text(file.read_text().replace("rate: 4,", "rate: -4,"))
    code, text = run_command("config", "check", str(file))
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
def test_unusable_input_is_reported_with_exit_code_2(arguments):
    code, text = run_command(*arguments)
    assert code == 2
    assert text.strip()
    assert "Traceback" not in text


def test_up_names_the_address_that_is_in_use(tmp_path):
    shutil.copytree(MATERIALS, tmp_path / "m")
    file = tmp_path / "m" / "fleet.cue"
    with socket.create_server(("127.0.0.1", 0)) as other:
        port = other.getsockname()[1]
        file.write_text(re.sub(r"127\.0\.0\.1:8[0-9]{3}", f"127.0.0.1:{port}", file.read_text()))
        code, text = run_command("up", str(file))
    assert code == 2
    assert text.startswith(f"{file}: nodes.list: 127.0.0.1:{port}: Address already in use")


def test_bench_faults_are_mapped_or_reported_as_unmapped():
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


def reading(at_seconds: float, served: float, open_requests: float) -> Reading:
    figures = dict.fromkeys(Figure, 0.0)
    figures |= {Figure.SERVED: served, Figure.OPEN_REQUESTS: open_requests}
    return Reading(at_seconds, figures)


@pytest.mark.parametrize(
    ("before", "served_per_second"),
    [(None, 0.0), (reading(8.0, 10.0, 1.0), 15.0), (reading(8.0, 50.0, 1.0), 0.0)],
    ids=["first reading", "two seconds later", "after a restart"],
)
def test_counters_are_shown_as_rates_and_gauges_as_they_are(before, served_per_second):
    rates = rates_between(before, reading(10.0, 40.0, 3.0))
    assert rates[Figure.SERVED] == served_per_second
    assert rates[Figure.OPEN_REQUESTS] == 3.0
