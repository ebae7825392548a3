"""The limits that the operators set for the module, and README's example."""

from __future__ import annotations

import re
from pathlib import Path

ROOT = Path(__file__).parent.parent
SOURCES = sorted((ROOT / "orchidlane").rglob("*.py"))


def test_the_module_is_short_enough_to_read_at_night():
    lines = (ROOT / "orchidlane" / "policy" / "gateway.py").read_text().splitlines()
    assert 0 < sum(bool(line.strip()) for line in lines) <= 550


def test_lines_are_short():
    long = [(p.name, n) for p in SOURCES for n, x in enumerate(p.read_text().splitlines(), 1) if len(x) > 110]
    assert SOURCES
    assert long == []


def test_the_module_names_its_interface_first():
    assert "orchidlane/policy/" in (ROOT / "orchidlane" / "policy" / "gateway.py").read_text().splitlines()[0]


def test_the_module_reads_no_clock_and_no_shared_randomness():
    text = (ROOT / "orchidlane" / "policy" / "gateway.py").read_text().replace("self.random.", "")
    assert not re.search(r"\bimport (time|datetime|os)\b|\brandom\.(random|choice|sample)\(|\bglobal\b", text)


def test_the_example_of_the_readme_runs():
    code = re.search(r"```python\n(.*?)```", (ROOT / "README.md").read_text(), re.S).group(1)
    scope: dict = {}
    exec(code, scope)
    assert scope["sent"] == [scope["server"]]
