"""One gateway under steady load from simulated clients, for upgrades while it serves."""

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
MAX_LOAD_SECONDS = 3_600  # the load ends with the work, which takes less
SEED = 5
SHORTER_TIMES = {'trial: "5s"': 'trial: "1s"', 'silence: "1500ms"': 'silence: "500ms"'}
NEVER_EXHAUSTED = {  # patterns of plans: no account is full, so none is forgotten
    r"\brate: (4|10)\b": "rate: 1",
    r"\bburst: (12|30)\b": "burst: 1000000",
    r"ceiling: \{[^}]*\}": "",
}


@dataclass(frozen=True, slots=True)
class Upgrade:
    """One upgrade, its times in microseconds of the loop's clock."""

    began_us: int
    ended_us: int
    build: str  # name of the broken build, empty for the good one
    passed: bool

    @property
    def is_as_expected(self) -> bool:
        """Whether a good build passed or a broken one did not."""
        return self.passed != bool(self.build)


@dataclass(frozen=True, slots=True)
class ResponseTimes:
    """Milliseconds of the answered requests, by whether an upgrade was under way."""

    during_upgrades_ms: list[float]
    otherwise_ms: list[float]


class LoadedGateway:
    """One gateway with its fake servers in a folder of its own, and clients that ask all the time."""

    def __init__(self, folder: str, customers: int, steps: tuple[Step, ...] = ()) -> None:
        self.folder = Path(folder)
        self.backing = ProcessFleetBackend(folder)
        day = msgspec.structs.replace(
            load_scenario(str(MATERIALS / "random.cue")),
            gateway_count=1,
            customer_count=customers,
            request_rate=REQUESTS_PER_SECOND,
            quota_request_rate=0.0,
            duration=Duration(MAX_LOAD_SECONDS * 1_000_000),
            steps=steps,
        )
        self.plan = make_plan(day, folder, self.backing.free_addresses)
        _adapt_settings(self.plan)
        self.backing.prepare(self.plan)
        self.runner = ScenarioRunner(EventLoop(RealBackend(SEED)), self.plan, self.backing)
        self.settings = self.folder / "gw-0.cue"
        self.upgrades: list[Upgrade] = []

    def upgrade(self, build: str = "", program: str = "") -> None:
        """Upgrade to a build by the command, and print its output if the result is unexpected."""
        log = self.folder / "new.log"
        command = [sys.executable, "-m", "orchidlane", "upgrade", str(self.settings), "--log", str(log)]
        if program:
            command += ["--program", program]
        began = self.runner.loop.now()
        done = subprocess.run(command, capture_output=True, text=True, check=False)
        upgrade = Upgrade(began, self.runner.loop.now(), build, done.returncode == 0)
        if not upgrade.is_as_expected:
            print(f"unlike wanted: {build or 'good'}: {done.stdout}{done.stderr}", flush=True)
        self.upgrades.append(upgrade)

    def response_times(self) -> ResponseTimes:
        """Return the times of all answered requests."""
        times = ResponseTimes([], [])
        for attempt in self.runner.records:
            if not isinstance(attempt, ClientAttempt) or attempt.outcome != "answer":
                continue
            overlaps = any(
                attempt.at <= upgrade.ended_us and attempt.finished_at >= upgrade.began_us
                for upgrade in self.upgrades
            )
            series = times.during_upgrades_ms if overlaps else times.otherwise_ms
            series.append((attempt.finished_at - attempt.at) / 1e3)
        return times

    def pauses_ms(self) -> list[float]:
        """Return the milliseconds from each switch to the successor's first word, by the processes' logs."""
        logs = "".join(path.read_text() for path in self.folder.glob("*.log"))
        return [float(text) for text in re.findall(r'"pause_ms": ([0-9.]+)', logs)]

    def counted_units(self) -> float:
        """Return the units by the gateway's own count. Raises ViewError where it does not answer."""
        with open_state(self.plan.fleet.gateways[0].admin) as state:
            return sum(recording.account_from_row(row).replica_counts[0][1] for row in state.account_rows())

    def count_accounts(self) -> int:
        """Return the number of accounts that the gateway knows."""
        with open_state(self.plan.fleet.gateways[0].admin) as state:
            return sum(1 for _ in state.account_rows())


def _adapt_settings(plan: ScenarioPlan) -> None:
    for old, new in SHORTER_TIMES.items():
        assert old in plan.settings_text
        plan.settings_text = plan.settings_text.replace(old, new)
    for pattern, new in NEVER_EXHAUSTED.items():
        plan.settings_text = re.sub(pattern, new, plan.settings_text)
    plan.fleet = parse_settings(plan.settings_text, "day")


def print_verdict(title: str, verdict: Verdict) -> None:
    """Print what clients lost, and how their requests ended."""
    ends = verdict.responses
    broken = sum(ends.get(end, 0) for end in ("reset", "silence", "cut"))
    lost = len(verdict.missing_responses)
    doubled = len(verdict.duplicate_responses)
    late = len(verdict.late_responses)
    print(f"{title}: {verdict.request_count} requests; unheard {lost}, doubled {doubled}, late {late}")
    print(f"  connections broken {broken}, refused {ends.get('unreachable', 0)}; answers {ends}")
    print(f"  units beyond the quota {verdict.units_beyond_quota:.0f}; rules {verdict.rules}")


def print_response_times(title: str, times_ms: list[float]) -> None:
    """Print percentiles of response times."""
    p50, p99 = _percentile(times_ms, 0.5), _percentile(times_ms, 0.99)
    slowest = max(times_ms, default=0.0)
    print(f"  {len(times_ms)} answers {title}: p50 {p50:.1f}, p99 {p99:.1f}, slowest {slowest:.1f} ms")


def _percentile(values: list[float], share: float) -> float:
    if len(values) < 2:
        return 0.0
    return statistics.quantiles(values, n=1000)[int(share * 1000) - 1]
