"""One gateway under steady load from clients, for hot restarts while it serves."""

from __future__ import annotations

import re
import statistics
import subprocess
import sys
from dataclasses import dataclass
from pathlib import Path

import msgspec

from benchmarks.example_policy import MATERIALS
from orchidlane import recording
from orchidlane.cli.views import open_state
from orchidlane.config import Duration
from orchidlane.gateway.control.settings_loader import parse_settings
from orchidlane.runtime import EventLoop, RealBackend
from orchidlane.simulation.audit import Verdict
from orchidlane.simulation.observations import ClientAttempt
from orchidlane.simulation.process_backend import ProcessFleetBackend
from orchidlane.simulation.scenario import Step, load_scenario
from orchidlane.simulation.scenario_plan import ScenarioPlan, make_plan
from orchidlane.simulation.scenario_runner import ScenarioRunner

REQUESTS_PER_SECOND = 100.0
MAX_LOAD_SECONDS = 3_600  # upper limit; the load stops once the measurement is finished
SEED = 5
# Replacements in the settings that shorten a hot restart
SHORTER_TIMES = {'trial: "5s"': 'trial: "1s"', 'silence: "1500ms"': 'silence: "500ms"'}
# Replacements of patterns in plans: quotas are not used up, and refill too slowly for an account to become
# full and be dropped.
LARGE_QUOTAS = {
    r"\brate: (4|10)\b": "rate: 1",
    r"\bburst: (12|30)\b": "burst: 1000000",
    r"ceiling: \{[^}]*\}": "",
}


@dataclass(frozen=True, slots=True)
class HotRestart:
    """One hot restart, its times in microseconds of the loop's clock."""

    started_at_us: int
    finished_at_us: int
    build: str  # name of a broken build, empty for a good one
    passed: bool

    @property
    def is_as_expected(self) -> bool:
        """Whether a good build was accepted, or a broken one was not."""
        return self.passed != bool(self.build)


@dataclass(frozen=True, slots=True)
class ResponseTimes:
    """Response times of requests, in milliseconds: those during a hot restart, and all others."""

    during_restarts_ms: list[float]
    otherwise_ms: list[float]


class LoadedGateway:
    """One gateway and the fake servers it needs, in one folder, under steady load from clients."""

    def __init__(self, folder: str, customers: int, steps: tuple[Step, ...] = ()) -> None:
        self.folder = Path(folder)
        self.backend = ProcessFleetBackend(folder)
        scenario = msgspec.structs.replace(
            load_scenario(str(MATERIALS / "random.cue")),
            gateway_count=1,
            customer_count=customers,
            request_rate=REQUESTS_PER_SECOND,
            quota_request_rate=0.0,
            duration=Duration(MAX_LOAD_SECONDS * 1_000_000),
            steps=steps,
        )
        self.plan = make_plan(scenario, folder, self.backend.free_addresses)
        _adapt_settings(self.plan)
        self.backend.prepare(self.plan)
        self.runner = ScenarioRunner(EventLoop(RealBackend(SEED)), self.plan, self.backend)
        self.settings = self.folder / "gw-0.cue"
        self.hot_restarts: list[HotRestart] = []

    def hot_restart(self, build: str = "", program: str = "") -> None:
        """Hot-restart the gateway with a build; print the command's output if the result is unexpected."""
        log = self.folder / "new.log"
        command = [sys.executable, "-m", "orchidlane", "upgrade", str(self.settings), "--log", str(log)]
        if program:
            command += ["--program", program]
        started_at_us = self.runner.loop.now()
        done = subprocess.run(command, capture_output=True, text=True, check=False)
        hot_restart = HotRestart(started_at_us, self.runner.loop.now(), build, done.returncode == 0)
        if not hot_restart.is_as_expected:
            print(f"unexpected result of build {build or 'good'}: {done.stdout}{done.stderr}", flush=True)
        self.hot_restarts.append(hot_restart)

    def response_times(self) -> ResponseTimes:
        """Return the response times of all requests that received a response."""
        times = ResponseTimes([], [])
        for attempt in self.runner.records:
            if not isinstance(attempt, ClientAttempt) or attempt.outcome != "answer":
                continue
            is_during_restart = any(
                attempt.at <= hot_restart.finished_at_us and attempt.finished_at >= hot_restart.started_at_us
                for hot_restart in self.hot_restarts
            )
            series = times.during_restarts_ms if is_during_restart else times.otherwise_ms
            series.append((attempt.finished_at - attempt.at) / 1e3)
        return times

    def pauses_ms(self) -> list[float]:
        """Return the milliseconds from each switch to the new process's first message, from the logs."""
        logs = "".join(path.read_text() for path in self.folder.glob("*.log"))
        return [float(text) for text in re.findall(r'"pause_ms": ([0-9.]+)', logs)]

    def counted_units(self) -> float:
        """Return the units that the gateway itself counted. Raises ViewError if it does not respond."""
        with open_state(self.plan.fleet.gateways[0].admin) as state:
            return sum(recording.account_from_row(row).replica_counts[0][1] for row in state.account_rows())

    def count_accounts(self) -> int:
        """Return the number of accounts at the gateway."""
        with open_state(self.plan.fleet.gateways[0].admin) as state:
            return sum(1 for _ in state.account_rows())


def _adapt_settings(plan: ScenarioPlan) -> None:
    for old, new in SHORTER_TIMES.items():
        assert old in plan.settings_text
        plan.settings_text = plan.settings_text.replace(old, new)
    for pattern, new in LARGE_QUOTAS.items():
        plan.settings_text = re.sub(pattern, new, plan.settings_text)
    plan.fleet = parse_settings(plan.settings_text, "scenario")


def print_verdict(title: str, verdict: Verdict) -> None:
    """Print how many responses were lost, duplicate or late, and the outcomes of attempts."""
    outcomes = verdict.responses
    broken = sum(outcomes.get(outcome, 0) for outcome in ("reset", "silence", "cut"))
    lost = len(verdict.missing_responses)
    duplicate = len(verdict.duplicate_responses)
    late = len(verdict.late_responses)
    print(f"{title}: {verdict.request_count} requests; lost {lost}, duplicate {duplicate}, late {late}")
    print(f"  connections broken {broken}, refused {outcomes.get('unreachable', 0)}; outcomes {outcomes}")
    print(f"  units beyond the quota {verdict.units_beyond_quota:.0f}; rules {verdict.rules}")


def print_response_times(title: str, times_ms: list[float]) -> None:
    """Print the median, the 99th percentile and the largest of some response times."""
    p50, p99 = _percentile(times_ms, 0.5), _percentile(times_ms, 0.99)
    slowest = max(times_ms, default=0.0)
    print(f"  {len(times_ms)} responses {title}: p50 {p50:.1f}, p99 {p99:.1f}, slowest {slowest:.1f} ms")


def _percentile(values: list[float], share: float) -> float:
    if len(values) < 2:
        return 0.0
    return statistics.quantiles(values, n=1000)[int(share * 1000) - 1]
