"""The platform's gateway at startup: its configuration, its imports and its connection limits."""

from __future__ import annotations

import json
import subprocess
import sys

import pytest
from harness.platform_harness import configuration, configuration_file

from orchidlane.platform.configuration import ConfigurationError, parse_configuration
from orchidlane.platform.resource_limits import limits_for


@pytest.mark.parametrize(
    ("text", "field"),
    [
        (b"", "config.json"),
        (b"[]", "config.json"),
        (
            json.dumps(
                {key: value for key, value in configuration_file().items() if key != "listen"}
            ).encode(),
            "listen",
        ),
        (json.dumps(configuration_file(discovery="nowhere")).encode(), "discovery"),
        (json.dumps(configuration_file(seed="z")).encode(), "seed"),
        (json.dumps(configuration_file(settings={})).encode(), "classes"),
    ],
)
def test_an_invalid_configuration_is_rejected_with_its_field(text, field):
    with pytest.raises(ConfigurationError, match=field):
        parse_configuration(text, "config.json")


def test_without_a_configuration_startup_fails_with_one_line():
    completed = subprocess.run(
        [sys.executable, "-m", "orchidlane.platform"], env={}, capture_output=True, text=True
    )
    assert (completed.returncode, completed.stderr.count("\n")) == (2, 1)
    assert "PROXY_CONFIG" in completed.stderr


def test_the_platform_imports_no_packages_that_it_does_not_use():
    code = "import sys, orchidlane.platform.__main__; print(*sys.modules)"
    imported = set(subprocess.check_output([sys.executable, "-c", code], text=True).split())
    libraries = {
        "yaml",
        "click",
        "rich",
        "structlog",
        "prometheus_client",
        "lark",
        "openapi_spec_validator",
        "asyncio",
    }
    packages = {
        f"orchidlane.{package}"
        for package in (
            "cli",
            "config",
            "hot_restart",
            "limits",
            "recording",
            "runtime.simulated_backend",
            "resp",
            "rollout",
            "routes",
            "simulation",
        )
    }
    assert not imported & (libraries | packages | {"hashlib", "ssl", "logging"})


def test_the_connection_limits_fit_the_machine():
    for sockets in (256, 384, 1024):
        limits = {"cores": 0.2, "memory_mb": 32, "sockets": sockets}
        resource_limits = limits_for(configuration(limits=limits)).resource_limits
        assert resource_limits.max_connections + resource_limits.max_endpoint_connections <= sockets - 20
        assert resource_limits.max_connections > sockets / 3


def test_the_platform_imports_no_modules_of_rollouts():
    """Without these modules and their library it can't open, read or send any data of rollouts."""
    code = (
        "import sys, orchidlane.platform.__main__, orchidlane.platform.lifecycle;"
        "print([name for name in sys.modules if name.startswith(("
        "'orchidlane.rollout', 'orchidlane.gateway.rollout_agent',"
        "'orchidlane.gateway.lifecycle.process', 'blake3'))])"
    )
    completed = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, timeout=30)
    assert completed.stdout.strip() == "[]", completed.stdout + completed.stderr
