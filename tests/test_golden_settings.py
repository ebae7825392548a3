"""Settings, scenario files and the platform's configuration have the names and defaults of golden files."""

from __future__ import annotations

import json
import re
from typing import Any

from harness.golden_files import check_golden
from harness.platform_harness import configuration_file as platform_file

from orchidlane import config
from orchidlane.gateway.control import settings_loader
from orchidlane.platform import configuration as platform_config
from orchidlane.simulation import scenario

SMALLEST_SETTINGS = """
description: "d.yaml"
customers:   "c.json"
gateways: [{name: "a", listen: "127.0.0.1:1", peer: "127.0.0.1:2"}]
plans: p: {rate: 1, burst: 2}
plans: q: {rate: 0, burst: 0, ceiling: {rate: 1, burst: 2}}
nodes: list: "127.0.0.1:3"
peers: secret_file: "s"
"""


SMALLEST_SCENARIO = """
fleet: "f.cue"
gateways: 1
racks: 1
rack_size: 1
customers: 1
rate: 1
span: "1s"
kinds: [{class: "c", share: 1, method: "GET", target: "/", work: "1ms"}]
steps: [{at: "1s", do: "kill_gateway"}]
"""


def schema_without_comments(text: str) -> list[str]:
    """Return the lines of a schema: names, bounds and defaults."""
    lines = [re.sub(r"\s*//.*", "", line) for line in text.splitlines()]
    return [" ".join(line.split()) for line in lines if line.strip()]


def paths_of(value: Any, *path: Any) -> list[tuple[Any, ...]]:
    """Return the path of each key and index within a value."""
    inner = value.items() if isinstance(value, dict) else enumerate(value) if isinstance(value, list) else ()
    return [below for key, part in inner for below in [(*path, key), *paths_of(part, *path, key)]]


def is_accepted(value: dict) -> bool:
    """Return whether a value is a valid configuration of the platform."""
    try:
        platform_config.parse_configuration(json.dumps(value).encode(), "config.json")
    except platform_config.ConfigurationError:
        return False
    return True


def test_the_platforms_configuration_has_the_golden_keys():
    """Removes each key in turn; the golden file holds which configurations are still accepted."""
    known = {"generation": 3, "reset": True, "instances": []}
    complete = platform_file(known=known)
    accepted = {"whole": is_accepted(complete)}
    for path in paths_of(complete):
        value = json.loads(json.dumps(complete))
        inner = value
        for key in path[:-1]:
            inner = inner[key]
        del inner[path[-1]]
        accepted["without " + "/".join(map(str, path))] = is_accepted(value)
    assert accepted["whole"]
    check_golden("platform-configuration", accepted)


def test_settings_have_the_golden_names_and_defaults():
    schema = settings_loader.schema_text()
    defaults = config.plain_values(SMALLEST_SETTINGS, "smallest.cue", schema, "#Fleet")
    settings_loader.parse_settings(SMALLEST_SETTINGS, "smallest.cue")
    check_golden("settings", {"defaults": defaults, "schema": schema_without_comments(schema)})


def test_scenario_files_have_the_golden_names_and_defaults():
    schema = scenario.SCHEMA_PATH.read_text()
    defaults = config.plain_values(SMALLEST_SCENARIO, "smallest.cue", schema, "#Day")
    config.load(SMALLEST_SCENARIO, "smallest.cue", schema, "#Day", scenario.Scenario)
    check_golden("settings-of-a-day", {"defaults": defaults, "schema": schema_without_comments(schema)})
