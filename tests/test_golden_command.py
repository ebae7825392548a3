"""The command's verbs, flags and output are the golden ones."""

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
from click.testing import CliRunner
from harness.gateway_harness import (
    GET,
    REPORT,
    UPLOAD,
    GatewayHarness,
    good,
    resets_after,
)
from harness.golden_admin import request_admin
from harness.golden_events import MATERIALS
from harness.golden_files import check_golden

from orchidlane.cli.main import main


def flags(command: click.Command) -> dict[str, Any]:
    """Verbs, arguments and options of a command and of all below it; prose may change."""
    found: dict[str, Any] = {"hidden": command.hidden, "parameters": []}
    for one in command.params:
        kind = one.type.to_info_dict()
        row = {"kind": one.param_type_name, "words": [*one.opts, *one.secondary_opts], "count": one.nargs}
        row |= {"type": kind["param_type"], "required": one.required, "many": one.multiple}
        row |= {"choices": list(kind.get("choices", ()))}
        if isinstance(one, click.Option):
            given = isinstance(one.default, (str, int, float))  # else click's own mark for no default
            default = str(one.default).replace(sys.executable, "python") if given else ""
            row |= {"flag": one.is_flag, "default": default}
        else:
            row["words"] = []  # an argument's name is prose
        found["parameters"].append(row)
    if isinstance(command, click.Group):
        found["verbs"] = {name: flags(one) for name, one in command.commands.items()}
    return found


def verbs(command: click.Command, words: tuple[str, ...] = ()) -> list[tuple[str, ...]]:
    """Each command by its words."""
    below = command.commands.items() if isinstance(command, click.Group) else ()
    return [words] + [found for name, one in below for found in verbs(one, (*words, name))]


def run(*arguments: str) -> tuple[int, str]:
    """Exit code and output of the command."""
    result = CliRunner().invoke(main, arguments)
    assert result.exception is None or isinstance(result.exception, SystemExit), result.exception
    return result.exit_code, result.output


def test_the_command_has_the_golden_verbs_and_flags():
    check_golden("command", flags(main))


@pytest.mark.parametrize("words", verbs(main), ids=" ".join)
def test_the_help_of_each_command_names_its_flags(words):
    code, text = run(*words, "--help")
    command = main
    for word in words:
        command = command.commands[word]
    assert code == 0
    for one in command.params:
        assert one.param_type_name == "argument" or any(word in text for word in one.opts)


def test_settings_and_routes_are_shown_as_golden():
    found = {
        "config show": run("config", "show", str(MATERIALS / "fleet.cue")),
        "routes": run("routes", str(MATERIALS / "openapi.yaml")),
        "routes --match": run("routes", str(MATERIALS / "openapi.yaml"), "--match", "PUT /v1/tests/7"),
    }
    check_golden("command-output", {what: list(pair) for what, pair in found.items()})


@pytest.mark.parametrize("script", ["bad", "quiet"])
def test_a_simulated_day_gives_the_golden_verdict(script, tmp_path):
    report = tmp_path / "verdict.json"
    source = str(MATERIALS / f"{script}.cue")
    code, _ = run("day", source, "--world", "simulated", "--seed", "3", "--json", str(report))
    digest = hashlib.sha256(report.read_bytes()).hexdigest()
    verdict = json.loads(report.read_bytes())
    check_golden(f"day-{script}", {"exit": code, "sha256": digest, "verdict": verdict})


def without_place(text: str, folder: Path) -> str:
    """An output without what differs by machine and build: the folder, and the build's name."""
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
    found = {what: run(*words) for what, words in calls.items()}
    check_golden(
        "tools-of-a-state",
        {what: [code, without_place(text, tmp_path)] for what, (code, text) in found.items()},
    )


def test_tools_print_the_golden_json_of_a_record(tmp_path):
    """A record of a released format, so that none of it depends on what this build writes."""
    shutil.copy(Path(__file__).parent / "corpus/record/format-2.olr", tmp_path / "gw-1-0.olr")
    folder = str(tmp_path)
    calls = {
        "replay": ("replay", folder, "--json"),
        "audit": ("audit", folder, "--json"),
    }
    found = {what: run(*words) for what, words in calls.items()}
    check_golden(
        "tools-of-a-record",
        {what: [code, without_place(text, tmp_path)] for what, (code, text) in found.items()},
    )


@pytest.mark.parametrize("words", [("38",), ("--customer", "3")], ids=["request", "customer"])
def test_explain_prints_the_golden_json(words, tmp_path):
    """Its events and actions are told as text with the names of their types and fields."""
    shutil.copy(Path(__file__).parent / "corpus/record/format-2.olr", tmp_path / "gw-1-0.olr")
    code, text = run("explain", str(tmp_path), *words, "--json")
    check_golden(f"explain-{words[0].lstrip('-')}", [code, json.loads(text)])
