"""The command's verbs, flags and output match the golden files."""

from __future__ import annotations

import hashlib
import json
import re
import shutil
import sys
from pathlib import Path
from typing import Any

import click
import pytest
from harness.constants import MATERIALS
from harness.gateway_harness import (
    GET,
    REPORT,
    UPLOAD,
    GatewayHarness,
    good,
    resets_after,
)
from harness.golden_admin import request_admin
from harness.golden_files import check_golden
from harness.recording_harness import run_command

from orchidlane.cli.main import main


def describe_command(command: click.Command) -> dict[str, Any]:
    """Return verbs, arguments and options of a command and its sub-commands, without help texts."""
    description: dict[str, Any] = {
        "hidden": command.hidden,
        "parameters": [describe_parameter(parameter) for parameter in command.params],
    }
    if isinstance(command, click.Group):
        description["verbs"] = {name: describe_command(child) for name, child in command.commands.items()}
    return description


def describe_parameter(parameter: click.Parameter) -> dict[str, Any]:
    """Return one argument or option."""
    parameter_type = parameter.type.to_info_dict()
    description: dict[str, Any] = {
        "kind": parameter.param_type_name,
        "words": [],  # an argument's name is only shown in help texts
        "count": parameter.nargs,
        "type": parameter_type["param_type"],
        "required": parameter.required,
        "many": parameter.multiple,
        "choices": list(parameter_type.get("choices", ())),
    }
    if isinstance(parameter, click.Option):
        # Without a default, click has a marker of its own here.
        has_default = isinstance(parameter.default, (str, int, float))
        default = str(parameter.default).replace(sys.executable, "python") if has_default else ""
        description["words"] = [*parameter.opts, *parameter.secondary_opts]
        description |= {"flag": parameter.is_flag, "default": default}
    return description


def command_words(command: click.Command, words: tuple[str, ...] = ()) -> list[tuple[str, ...]]:
    """Return the words that call a command and each of its sub-commands."""
    children = command.commands.items() if isinstance(command, click.Group) else ()
    return [words, *(call for name, child in children for call in command_words(child, (*words, name)))]


def test_the_command_has_the_golden_verbs_and_flags():
    check_golden("command", describe_command(main))


@pytest.mark.parametrize("words", command_words(main), ids=" ".join)
def test_the_help_of_each_command_names_its_flags(words):
    code, text = run_command(*words, "--help")
    command = main
    for word in words:
        command = command.commands[word]
    assert code == 0
    for parameter in command.params:
        assert parameter.param_type_name == "argument" or any(word in text for word in parameter.opts)


def test_settings_and_routes_are_printed_as_in_the_golden_file():
    outputs = {
        "config show": run_command("config", "show", str(MATERIALS / "fleet.cue")),
        "routes": run_command("routes", str(MATERIALS / "openapi.yaml")),
        "routes --match": run_command(
            "routes", str(MATERIALS / "openapi.yaml"), "--match", "PUT /v1/tests/7"
        ),
    }
    check_golden("command-output", {name: list(pair) for name, pair in outputs.items()})


@pytest.mark.parametrize("script", ["bad", "quiet"])
def test_a_simulated_day_gives_the_golden_verdict(script, tmp_path):
    report = tmp_path / "verdict.json"
    source = str(MATERIALS / f"{script}.cue")
    code, _ = run_command("day", source, "--world", "simulated", "--seed", "3", "--json", str(report))
    digest = hashlib.sha256(report.read_bytes()).hexdigest()
    verdict = json.loads(report.read_bytes())
    check_golden(f"day-{script}", {"exit": code, "sha256": digest, "verdict": verdict})


def without_folder(text: str, folder: Path) -> str:
    """Return an output without the folder and the name of the build, which differ between runs."""
    return re.sub(r'"build": ".*?"', '"build": ""', text.replace(str(folder), "FOLDER"))


def test_tools_print_the_golden_json_of_a_saved_state(tmp_path):
    path = tmp_path / "state.olr"

    def test(harness):
        for raw in (GET, REPORT, UPLOAD, GET, GET):
            harness.ask(raw)
        path.write_bytes(request_admin(harness, "/state")[2])

    GatewayHarness(good, resets_after, good, seed=5).run(test)
    calls = {
        "state": ("state", str(path), "--json"),
        "counts of a customer": ("counts", str(path), "1", "--json"),
        "counts beyond": ("counts", str(path), "1", "--units", "100000", "--json"),
        "counts of a plan": ("counts", str(path), "--plan", "basico", "--json"),
        "diff": ("diff", str(path), str(path), "1", "--json"),
    }
    outputs = {name: run_command(*words) for name, words in calls.items()}
    check_golden(
        "tools-of-a-state",
        {name: [code, without_folder(text, tmp_path)] for name, (code, text) in outputs.items()},
    )


def test_tools_print_the_golden_json_of_a_record(tmp_path):
    """Reads a record of a released format, so that the output does not depend on what this build writes."""
    shutil.copy(Path(__file__).parent / "corpus/record/format-2.olr", tmp_path / "gw-1-0.olr")
    folder = str(tmp_path)
    calls = {
        "replay": ("replay", folder, "--json"),
        "audit": ("audit", folder, "--json"),
    }
    outputs = {name: run_command(*words) for name, words in calls.items()}
    check_golden(
        "tools-of-a-record",
        {name: [code, without_folder(text, tmp_path)] for name, (code, text) in outputs.items()},
    )


@pytest.mark.parametrize("words", [("38",), ("--customer", "3")], ids=["request", "customer"])
def test_explain_prints_the_golden_json(words, tmp_path):
    """Events and actions are printed as text, with the recorded names of their types and fields."""
    shutil.copy(Path(__file__).parent / "corpus/record/format-2.olr", tmp_path / "gw-1-0.olr")
    code, text = run_command("explain", str(tmp_path), *words, "--json")
    check_golden(f"explain-{words[0].lstrip('-')}", [code, json.loads(text)])
