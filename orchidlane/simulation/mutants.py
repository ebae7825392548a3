"""Broken builds for tests of the hot restart: copies of this program with one piece of source replaced."""

from __future__ import annotations

import shutil
import sys
from pathlib import Path
from typing import NamedTuple

import orchidlane


class SourceChange(NamedTuple):
    """Replaces the first occurrence of ``old`` in a source file."""

    file: str
    old: str
    new: str


_NEW_SIDE = "gateway/lifecycle/new_side.py"
_CRASH = '__import__("os")._exit(9)'
_STARTED = "        self.channel.send(messages.Started())\n"


def _soon_after_start(expression: str) -> SourceChange:
    """Return a change that runs an expression 150 ms after the new process has started to serve."""
    timer = f"        self.loop.call_at(self.loop.now() + 150_000, lambda _: {expression})\n"
    return SourceChange(_NEW_SIDE, _STARTED, _STARTED + timer)


BROKEN_BUILDS = {
    "does not start": SourceChange(_NEW_SIDE, "class NewSide:", "raise SystemExit(3)\n\n\nclass NewSide:"),
    "crashes with the listeners": SourceChange(
        _NEW_SIDE,
        "            case new_process.RunSelfCheck():\n",
        f"            case new_process.RunSelfCheck():\n                {_CRASH}\n",
    ),
    "crashes as it serves": _soon_after_start(_CRASH),
    "fails as it serves": _soon_after_start(
        "1 // 0"
    ),  # no crash: an exception that cancels the tasks in order
    "hangs as it serves": _soon_after_start('__import__("time").sleep(60)'),
    "refuses everything": SourceChange(
        "policy/admission.py",
        "    quota.refill(state, account)\n    if plan.ceiling_rate",
        "    quota.refill(state, account)\n    return False\n    if plan.ceiling_rate",
    ),
}


def make_build(folder: Path, change: SourceChange) -> str:
    """Copy this program with a change, and return the path of the script that runs the copy.

    Raises ValueError if the file does not contain the text to be replaced.
    """
    source = Path(orchidlane.__file__).parent
    copy = folder / "orchidlane"
    shutil.copytree(source, copy, ignore=shutil.ignore_patterns("__pycache__"))
    changed = copy / change.file
    text = changed.read_text()
    if change.old not in text:
        raise ValueError(f"{change.file}: the text to be replaced is not in this file")
    changed.write_text(text.replace(change.old, change.new, 1))
    start = folder / "start"
    python = f"PYTHONPATH={folder} exec {sys.executable} -m orchidlane"
    start.write_text(f'#!/bin/sh\ncd {folder} && {python} "$@"\n')
    start.chmod(0o755)
    return str(start)
