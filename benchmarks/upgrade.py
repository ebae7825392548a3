"""Upgrades of one gateway under steady load, a third of them broken; cold restarts beside; 100,000 customers.

``python -m benchmarks.upgrade [--upgrades 50] [--customers 100000]``. Real processes, loopback sockets, real
signals. First the upgrades: what clients lost, how long answers took while one was under way and else, the
longest pause between the moment and the successor's first word, units counted beside units that nodes saw.
Then the same load over cold restarts (SIGTERM, a drain, a start). Then one gateway that has met so many
customers is upgraded under load: how long it takes, the pause, and the slowest answer meanwhile.
"""

from __future__ import annotations

import argparse
import contextlib
import re
import socket
import statistics
import subprocess
import sys
import tempfile
import time
from pathlib import Path

import msgspec

from benchmarks.example_policy import MATERIALS
from orchidlane import recording
from orchidlane.cli.views import open_state
from orchidlane.config import Duration
from orchidlane.gateway.control.settings_loader import parse_host_port, parse_settings
from orchidlane.resp import encode
from orchidlane.runtime import EventLoop, RealBackend
from orchidlane.simulation.audit import Verdict
from orchidlane.simulation.background_load import run_during_load
from orchidlane.simulation.mutants import BROKEN_BUILDS, make_build
from orchidlane.simulation.observations import ClientAttempt
from orchidlane.simulation.process_backend import ProcessFleetBackend
from orchidlane.simulation.scenario import Step, load_scenario
from orchidlane.simulation.scenario_plan import make_plan
from orchidlane.simulation.scenario_runner import ScenarioRunner

RATE = 100.0  # requests a second
SPAN = 3_600  # seconds: the load ends with the work


class Scene:
    """One gateway with its stand-ins in a folder of its own, and clients that ask all the time."""

    def __init__(self, folder: str, customers: int, steps: tuple[Step, ...] = (), seed: int = 5) -> None:
        self.folder = Path(folder)
        self.backing = ProcessFleetBackend(folder)
        day = msgspec.structs.replace(
            load_scenario(str(MATERIALS / "random.cue")),
            gateway_count=1,
            customer_count=customers,
            request_rate=RATE,
            quota_request_rate=0.0,
            duration=Duration(SPAN * 1_000_000),
            steps=steps,
        )
        self.plan = make_plan(day, folder, self.backing.free_addresses)
        for old, new in (('trial: "5s"', 'trial: "1s"'), ('silence: "1500ms"', 'silence: "500ms"')):
            assert old in self.plan.settings_text
            self.plan.settings_text = self.plan.settings_text.replace(old, new)
        for old, wide in ((r"\brate: (4|10)\b", "rate: 1"), (r"\bburst: (12|30)\b", "burst: 1000000")):
            self.plan.settings_text = re.sub(
                old, wide, self.plan.settings_text
            )  # never full: no account is forgotten
        self.plan.settings_text = re.sub(r"ceiling: \{[^}]*\}", "", self.plan.settings_text)
        self.plan.fleet = parse_settings(self.plan.settings_text, "day")
        self.backing.prepare(self.plan)
        self.runner = ScenarioRunner(EventLoop(RealBackend(seed)), self.plan, self.backing)
        self.settings = str(self.folder / "gw-0.cue")
        self.upgrades: list[tuple[int, int, str, bool]] = []  # from, to, build, whether it stayed

    def upgrade(self, name: str, program: str) -> None:
        """One upgrade by the command line."""
        command = [
            sys.executable,
            "-m",
            "orchidlane",
            "upgrade",
            self.settings,
            "--log",
            str(self.folder / "new.log"),
        ]
        began = self.runner.loop.now()
        done = subprocess.run(
            [*command, *(("--program", program) if program else ())],
            capture_output=True,
            text=True,
            check=False,
        )
        if bool(done.returncode) != bool(name):
            print(f"unlike wanted: {name or 'good'}: {done.stdout}{done.stderr}", flush=True)
        self.upgrades.append((began, self.runner.loop.now(), name, done.returncode == 0))

    def answer_times(self) -> tuple[list[float], list[float]]:
        """Milliseconds of the answered tries: those with an upgrade meanwhile, and the others."""
        during, apart = [], []
        for one in self.runner.records:
            if isinstance(one, ClientAttempt) and one.outcome == "answer":
                met = any(one.at <= to and one.ended_at >= since for since, to, _, _ in self.upgrades)
                (during if met else apart).append((one.ended_at - one.at) / 1e3)
        return during, apart

    def pauses(self) -> list[float]:
        """Milliseconds from each moment to the successor's first word, by the processes' own logs."""
        logs = "".join(path.read_text() for path in self.folder.glob("*.log"))
        return [float(found) for found in re.findall(r'"pause_ms": ([0-9.]+)', logs)]

    def counted(self) -> float:
        """Units by the gateway's own count."""
        with open_state(self.plan.fleet.gateways[0].admin) as state:
            return sum(recording.account_from_row(row).replica_counts[0][1] for row in state.account_rows())


def percentile(times: list[float], share: float) -> float:
    return statistics.quantiles(times, n=1000)[int(share * 1000) - 1] if len(times) > 1 else 0.0


def tell_verdict(name: str, verdict: Verdict) -> None:
    ends = verdict.responses
    broken = sum(ends.get(end, 0) for end in ("reset", "silence", "cut"))
    lost, doubled, late = (
        len(verdict.missing_responses),
        len(verdict.duplicate_responses),
        len(verdict.late_responses),
    )
    print(f"{name}: {verdict.request_count} requests; unheard {lost}, doubled {doubled}, late {late}")
    print(f"  connections broken {broken}, refused {ends.get('unreachable', 0)}; answers {ends}")
    print(f"  units beyond the quota {verdict.units_beyond_quota:.0f}; rules {verdict.rules}")


def tell_times(name: str, times: list[float]) -> None:
    p50, p99, worst = percentile(times, 0.5), percentile(times, 0.99), max(times, default=0.0)
    print(f"  {len(times)} answers {name}: p50 {p50:.1f}, p99 {p99:.1f}, slowest {worst:.1f} ms")


def upgrades(count: int) -> None:
    with tempfile.TemporaryDirectory(prefix="orchidlane-") as folder:
        scene = Scene(folder, customers=4)
        names = list(BROKEN_BUILDS)
        builds = {
            name: make_build(Path(folder, f"build-{names.index(name)}"), BROKEN_BUILDS[name])
            for name in names
        }
        plan = [names[i // 3 % len(names)] if i % 3 == 2 else "" for i in range(count)]
        units = [0.0]

        def work() -> None:
            for name in plan:
                scene.upgrade(name, builds.get(name, ""))
                time.sleep(1.5)  # answers without one
            scene.runner.end_load()
            with contextlib.suppress(OSError):  # until all have ended: the last word is that of all answers
                while True:
                    units[0] = scene.counted()
                    time.sleep(0.1)

        verdict = run_during_load(scene.runner, work)
        stayed = sum(passed for _, _, _, passed in scene.upgrades)
        wrong = [name or "good" for _, _, name, passed in scene.upgrades if passed == bool(name)]
        print(
            f"{count} upgrades: {stayed} passed, {count - stayed} did not; unlike wanted: {wrong or 'none'}"
        )
        tell_verdict("load", verdict)
        print(f"  units counted {units[0]:.0f}, units that nodes saw {verdict.units_used:.0f}")
        during, apart = scene.answer_times()
        tell_times("with an upgrade under way", during)
        tell_times("else", apart)
        pauses = scene.pauses()
        print(f"  {len(pauses)} pauses: median {statistics.median(pauses):.1f}, longest {max(pauses):.1f} ms")


def cold(count: int) -> None:
    times = [Duration((3 + 4 * i) * 1_000_000) for i in range(count)]
    steps = tuple(Step(at, "drain_gateway", (0,), Duration(0)) for at in times)
    with tempfile.TemporaryDirectory(prefix="orchidlane-") as folder:
        scene = Scene(folder, customers=4, steps=steps)
        tell_verdict(
            f"{count} cold restarts", run_during_load(scene.runner, lambda: time.sleep(3 + 4 * count))
        )
        tell_times("over all", scene.answer_times()[1])


def meet(scene: Scene, customers: int) -> None:
    """Have the gateway meet so many customers, by takes over RESP."""
    with socket.create_connection(parse_host_port(scene.plan.fleet.gateways[0].resp), 60) as sock:
        for first in range(0, customers, 500):
            numbers = range(first, min(customers, first + 500))
            sock.sendall(b"".join(encode(["LIMIT.TAKE", f"key-of-{i}", "1"]) for i in numbers))
            got = 0
            while got < len(numbers):
                got += sock.recv(1 << 20).count(b"*")


def many(customers: int) -> None:
    with tempfile.TemporaryDirectory(prefix="orchidlane-") as folder:
        scene = Scene(folder, customers=customers)
        known: list[int] = []

        def count() -> None:
            with open_state(scene.plan.fleet.gateways[0].admin) as state:
                known.append(sum(1 for _ in state.account_rows()))

        def work() -> None:
            meet(scene, customers)
            count()
            scene.upgrade("", "")
            count()

        verdict = run_during_load(scene.runner, work)
        tell_verdict(f"{customers} customers", verdict)
        since, to, _, passed = scene.upgrades[0]
        print(
            f"  accounts before and after {known}; passed: {passed}, "
            f"in {(to - since) / 1e6:.1f} s with 1 s of trial"
        )
        print(f"  pause {max(scene.pauses(), default=0.0):.1f} ms")
        during, apart = scene.answer_times()
        tell_times("meanwhile", during)
        tell_times("else", apart)


def main() -> None:
    parser = argparse.ArgumentParser()
    parser.add_argument("--upgrades", type=int, default=50)
    parser.add_argument("--restarts", type=int, default=10)
    parser.add_argument("--customers", type=int, default=100_000)
    asked = parser.parse_args()
    print(f"build {recording.build_name()}")
    for work, number in ((upgrades, asked.upgrades), (cold, asked.restarts), (many, asked.customers)):
        if number:
            work(number)


if __name__ == "__main__":
    main()
