"""Limits on the sources, those of the policy above all, and README's example."""

from __future__ import annotations

import re
import tomllib
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
SOURCES = sorted((ROOT / "orchidlane").rglob("*.py"))


POLICY_MODULES = sorted((ROOT / "orchidlane" / "policy").glob("*.py"))
MAX_POLICY_MODULE_LINES = 400


def policy_modules_parameter():
    return pytest.mark.parametrize("module", POLICY_MODULES, ids=lambda path: path.stem)


def test_the_policy_has_modules():
    assert {"gateway", "admission", "quota", "retries", "gossip"} <= {path.stem for path in POLICY_MODULES}


@policy_modules_parameter()
def test_a_policy_module_has_at_most_400_lines(module):
    assert 0 < len(module.read_text().splitlines()) <= MAX_POLICY_MODULE_LINES


def test_lines_are_short():
    long = [(p.name, n) for p in SOURCES for n, x in enumerate(p.read_text().splitlines(), 1) if len(x) > 110]
    assert SOURCES
    assert long == []


def test_the_entry_module_names_the_package_first():
    assert "orchidlane/policy/" in (ROOT / "orchidlane" / "policy" / "gateway.py").read_text().splitlines()[0]


@policy_modules_parameter()
def test_a_policy_module_reads_no_clock_and_no_shared_randomness(module):
    text = module.read_text().replace("state.random.", "").replace("self.random.", "")
    assert not re.search(
        r"\bimport (time|datetime|os)\b|\brandom\.(random|choice|sample|randrange)\(|\bglobal\b", text
    )


def test_the_deployment_lists_every_policy_module():
    listed = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["policy"]
    deciding = {f"orchidlane/policy/{path.name}" for path in POLICY_MODULES if path.stem != "__init__"}
    assert sorted(listed) == sorted(deciding)


def test_the_example_of_the_readme_runs():
    code = re.search(r"```python\n(.*?)```", (ROOT / "README.md").read_text(), re.S).group(1)
    scope: dict = {}
    exec(code, scope)
    assert scope["sent"] == [scope["server"]]
