"""Commands for operators: states of other builds, unusable input, the live table and shell completion."""

from __future__ import annotations

import os
import shutil
import subprocess
import sys
from pathlib import Path

import pytest
from harness.constants import SECOND
from harness.gateway_harness import GET, GatewayHarness, good
from harness.recording_harness import PolicyFuzzer, run_command, write_segment
from harness.saved_states import write_state

import orchidlane
from orchidlane import recording


@pytest.fixture(scope="module")
def other_build(tmp_path_factory) -> Path:
    """Return a folder for PYTHONPATH with this program, in which two constants of the policy are changed."""
    folder = tmp_path_factory.mktemp("other")
    source = Path(orchidlane.__file__).parent
    shutil.copytree(source, folder / "orchidlane", ignore=shutil.ignore_patterns("__pycache__"))
    quota_source = folder / "orchidlane" / "policy" / "quota.py"
    text = quota_source.read_text()
    for assignment, value in {
        "EXHAUSTED_BELOW_SHARE = 0.25": "0.9",
        "READMISSION_SHARE = 0.6": "0.95",
    }.items():
        assert text.count(assignment) == 1
        text = text.replace(assignment, assignment.rpartition(" ")[0] + " " + value)
    quota_source.write_text(text)
    return folder


def run_other_build(folder: Path, *arguments: str) -> tuple[int, str]:
    completed = subprocess.run(
        [sys.executable, "-m", "orchidlane", *arguments],
        cwd=folder,
        env={**os.environ, "PYTHONPATH": str(folder)},
        capture_output=True,
        text=True,
        timeout=60,
    )
    return completed.returncode, completed.stdout + completed.stderr


def test_another_build_rejects_a_state_and_replays_with_a_difference(tmp_path, other_build):
    fuzzer = PolicyFuzzer(12)
    for _ in range(150):
        fuzzer.step()
    state = tmp_path / "state.olr"
    write_state(fuzzer, state)
    code, text = run_command("counts", str(state), "3")
    assert code == 0, text
    with pytest.raises(recording.FormatError):  # the header refers to accounts that are not in it
        recording.restore_gateway(fuzzer.harness.settings, recording.SegmentReader(str(state)).header.state)
    code, text = run_other_build(other_build, "counts", str(state), "3")
    assert (code, "its decisions could differ" in text) == (2, True), text
    assert run_other_build(other_build, "state", str(state))[0] == 2
    record = tmp_path / "rec"
    record.mkdir()
    write_segment(fuzzer, 400, record / "gw-1-0.olr")
    assert run_command("replay", str(record))[0] == 0
    code, text = run_other_build(other_build, "replay", str(record))
    assert (code, "recorded" in text and "acted" in text) == (1, True), text


def test_a_state_of_a_later_build_is_rejected_in_one_line(tmp_path):
    fuzzer = PolicyFuzzer(12)
    fuzzer.step()
    path = tmp_path / "s.olr"
    write_state(fuzzer, path, build="9.9+abc")
    code, text = run_command("counts", str(path), "3")
    assert (code, text.count("\n")) == (2, 1)
    assert "9.9+abc" in text


def test_top_shows_which_gateways_respond():
    from orchidlane.cli.screen import Screen, rates_as_json

    def test(harness: GatewayHarness) -> None:
        screen = Screen(harness.loop, "t", [("gw-0", ("127.0.0.1", 8280)), ("gw-1", ("127.0.0.1", 8281))])
        screen.read_rates()
        for _ in range(10):
            harness.ask(GET)
        harness.loop.sleep(SECOND)
        rows = rates_as_json(screen.gateways, screen.read_rates())
        assert rows[0]["served"] == pytest.approx(10, abs=1)
        assert rows[0]["nodes"] == 1
        assert rows[1] == {"gateway": "gw-1", "up": False}
        assert len(screen.table(screen.read_rates()).columns) == 10

    GatewayHarness(good).run(test)


@pytest.mark.parametrize("shell", ["bash", "zsh", "fish"])
def test_completion_is_printed_for_each_shell(shell):
    code, text = run_command("completion", shell)
    assert code == 0
    assert "_ORCHIDLANE_COMPLETE" in text


@pytest.mark.parametrize(
    "arguments",
    [
        ("counts", "127.0.0.1:1", "acero"),
        ("counts", "nowhere", "acero"),
        ("counts", "127.0.0.1:1"),
        ("state", "127.0.0.1:1"),
        ("top", "nowhere"),
        ("audit", "tests/corpus/resp"),
        ("explain", "tests", "1"),
        ("diff", "127.0.0.1:1", "127.0.0.1:2", "a"),
    ],
)
def test_unusable_input_ends_with_exit_code_2_and_one_line(arguments, monkeypatch):
    monkeypatch.chdir(Path(__file__).parent.parent)
    code, text = run_command(*arguments)
    assert (code, "Traceback" in text) == (2, False)
    assert len(text.strip().splitlines()) == 1
