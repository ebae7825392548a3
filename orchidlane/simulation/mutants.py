"""Builds of the program that are broken on purpose: copies of it with one thing changed."""

from __future__ import annotations

import shutil
import sys
from pathlib import Path
from typing import NamedTuple

import orchidlane


class Change(NamedTuple):
    """One text of a file for another."""

    file: str
    old: str
    new: str


_CRASH = '__import__("os")._exit(9)'
_STARTED = "        self.channel.send(messages.Started())\n"


def _soon(does: str) -> Change:
    """Does something 150 ms after it began to serve."""
    timer = f"        self.loop.call_at(self.loop.now() + 150_000, lambda _: {does})\n"
    return Change("gateway/lifecycle/hot_restart.py", _STARTED, _STARTED + timer)


BROKEN = {
    "does not start": Change(
        "gateway/lifecycle/hot_restart.py", "class TakingSide:", "raise SystemExit(3)\n\n\nclass TakingSide:"
    ),
    "crashes with the listeners": Change(
        "gateway/lifecycle/hot_restart.py",
        "            case taker.Check():\n",
        f"            case taker.Check():\n                {_CRASH}\n",
    ),
    "crashes as it serves": _soon(_CRASH),
    "fails as it serves": _soon("1 // 0"),  # not a crash: all that it has is ended in order
    "hangs as it serves": _soon('__import__("time").sleep(60)'),
    "refuses everything": Change(
        "policy/admission.py",
        "    quota.refill(state, account)\n    if plan.ceiling_rate",
        "    quota.refill(state, account)\n    return False\n    if plan.ceiling_rate",
    ),
}


def make_build(folder: Path, change: Change) -> str:
    """A command that runs a copy of the program with the change. Raises ValueError where it does not fit."""
    source = Path(orchidlane.__file__).parent
    shutil.copytree(source, folder / "orchidlane", ignore=shutil.ignore_patterns("__pycache__"))
    changed = folder / "orchidlane" / change.file
    text = changed.read_text()
    if change.old not in text:
        raise ValueError(f"{change.file}: the text to be changed is not there")
    changed.write_text(text.replace(change.old, change.new, 1))
    start = folder / "start"
    python = f"PYTHONPATH={folder} exec {sys.executable} -m orchidlane"
    start.write_text(f'#!/bin/sh\ncd {folder} && {python} "$@"\n')
    start.chmod(0o755)
    return str(start)
