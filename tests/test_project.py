"""Rules for the source code, most of them for the policy, and the example in the README."""

from __future__ import annotations

import re
import tomllib
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
SOURCES = sorted((ROOT / "orchidlane").rglob("*.py"))


POLICY_MODULES = sorted((ROOT / "orchidlane" / "policy").glob("*.py"))
MAX_POLICY_MODULE_LINES = 400


def for_each_policy_module():
    return pytest.mark.parametrize("module", POLICY_MODULES, ids=lambda path: path.stem)


def test_the_policy_has_modules():
    assert {"gateway", "admission", "quota", "retries", "gossip"} <= {path.stem for path in POLICY_MODULES}


@for_each_policy_module()
def test_a_policy_module_has_at_most_400_lines(module):
    assert 0 < len(module.read_text().splitlines()) <= MAX_POLICY_MODULE_LINES


def test_lines_have_at_most_110_characters():
    too_long = [
        (path.name, number)
        for path in SOURCES
        for number, line in enumerate(path.read_text().splitlines(), 1)
        if len(line) > 110
    ]
    assert SOURCES
    assert too_long == []


def test_the_first_line_of_the_gateway_module_names_the_policy_package():
    assert "orchidlane/policy/" in (ROOT / "orchidlane" / "policy" / "gateway.py").read_text().splitlines()[0]


@for_each_policy_module()
def test_a_policy_module_reads_no_clock_and_no_shared_randomness(module):
    text = module.read_text().replace("state.random.", "").replace("self.random.", "")
    assert not re.search(
        r"\bimport (time|datetime|os)\b|\brandom\.(random|choice|sample|randrange)\(|\bglobal\b", text
    )


def test_the_deployment_lists_every_policy_module():
    deployed = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["policy"]
    expected = {f"orchidlane/policy/{path.name}" for path in POLICY_MODULES if path.stem != "__init__"}
    assert sorted(deployed) == sorted(expected)


def test_the_example_in_the_readme_runs():
    code = re.search(r"```python\n(.*?)```", (ROOT / "README.md").read_text(), re.S).group(1)
    namespace: dict = {}
    exec(code, namespace)
    assert namespace["sent"] == [namespace["server"]]
