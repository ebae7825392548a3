"""Tests that fail for a real fault which is known and not mended yet: ``KNOWN-RED.txt`` at the root names
them.

A line is ``test id | cause | issue``, three lines at most. These tests, and no others, are strict expected
failures: one that passes fails the run, as does a line that can't be read, a fourth one, or an id that no
test has. The closing summary prints each line. No file means none.
"""

from __future__ import annotations

from pathlib import Path
from typing import NamedTuple

import pytest

NAME, MOST = "KNOWN-RED.txt", 3


class Red(NamedTuple):
    """One line."""

    test: str
    cause: str
    issue: str


def parse(text: str) -> list[Red]:
    """The lines of the file. Raises ValueError, which says what is wrong with which line."""
    found: list[Red] = []
    for number, line in enumerate(text.splitlines(), 1):
        parts = [part.strip() for part in line.split(" | ")]
        if len(parts) != 3 or not all(parts) or "::" not in parts[0] or not parts[2].isdigit():
            raise ValueError(f"{NAME}, line {number}: wanted 'test id | cause | number of its issue'")
        if parts[0] in [red.test for red in found]:
            raise ValueError(f"{NAME}, line {number}: the test stands there twice")
        found.append(Red(*parts))
    if len(found) > MOST:
        raise ValueError(f"{NAME}: {len(found)} lines, allowed: {MOST}")
    return found


def read(root: Path) -> list[Red]:
    """The file of a project, nothing where there is none. Raises ValueError."""
    try:
        return parse((root / NAME).read_text())
    except FileNotFoundError:
        return []


REDS = pytest.StashKey[list[Red]]()
IDS = pytest.StashKey[set[str]]()


def pytest_configure(config: pytest.Config) -> None:
    """A file that can't be read ends the run before any test."""
    try:
        config.stash[REDS] = read(config.rootpath)
    except ValueError as wrong:
        raise pytest.UsageError(str(wrong)) from None
    config.stash[IDS] = set()


def mark(config: pytest.Config, items: list[pytest.Item]) -> None:
    """Expect the failures that are named, strictly."""
    by_test = {red.test: red for red in config.stash[REDS]}
    for item in items:
        if red := by_test.get(item.nodeid):
            item.add_marker(pytest.mark.xfail(reason=f"known: {red.cause} (issue {red.issue})", strict=True))


def pytest_collection_finish(session: pytest.Session) -> None:
    """Which tests there are, where one process runs them."""
    session.config.stash[IDS].update(item.nodeid for item in session.items)


@pytest.hookimpl(optionalhook=True)
def pytest_xdist_node_collection_finished(node, ids: list[str]) -> None:
    """Which tests there are, where several do; those of a group have its name behind an ``@``."""
    node.config.stash[IDS].update(ids)


def unknown(config: pytest.Config) -> list[Red]:
    """Lines whose test does not exist, as far as this run has seen all that are of their file."""
    if config.option.keyword or config.option.markexpr or any("::" in str(one) for one in config.args):
        return []
    ids = config.stash[IDS]
    files = {one.partition("::")[0] for one in ids}
    whole = config.args_source is not pytest.Config.ArgsSource.ARGS
    missing = [red for red in config.stash[REDS] if whole or red.test.partition("::")[0] in files]
    return [
        red for red in missing if not any(one == red.test or one.startswith(red.test + "@") for one in ids)
    ]


def pytest_sessionfinish(session: pytest.Session) -> None:
    """An id that no test has fails the run."""
    if not hasattr(session.config, "workerinput") and unknown(session.config):
        session.exitstatus = pytest.ExitCode.TESTS_FAILED


def pytest_terminal_summary(terminalreporter, config: pytest.Config) -> None:
    """Each line, so that nobody takes a green run for one without faults."""
    strangers = unknown(config)
    for red in config.stash[REDS]:
        why = " -- NO SUCH TEST" if red in strangers else ""
        terminalreporter.write_line(f"known red: {red.test} | {red.cause} | issue {red.issue}{why}")
