"""``orchidlane up``: a fleet with its stand-ins, and one screen of what it does."""

from __future__ import annotations

import contextlib
import signal
import sys
import tempfile
from collections import deque

import msgspec
from rich.console import Console
from rich.live import Live
from rich.table import Table

from .. import http1
from ..config import Duration
from ..gateway.settings import address, load_fleet
from ..lab.backing import RealBacking
from ..lab.day import Day, KindEntry, Runner, make_plan
from ..loop import BACKGROUND, Expired, Loop, LoopError, RealWorld
from ..loop.world import Address

EVERY = 1_000_000  # microseconds between two looks
KEPT = 100_000  # tries remembered for the closing line
FOR_EVER = 365 * 24 * 3600
KINDS = (
    KindEntry("sheet-read", 0.7, "GET", "/v1/sheets/{}", Duration(15_000)),
    KindEntry("test-upload", 0.2, "PUT", "/v1/tests/{}", Duration(30_000), 2_000),
    KindEntry("report-issue", 0.1, "POST", "/v1/reports", Duration(50_000), 200),
)


def run_fleet(settings: str, rate: float, nodes: int, seconds: int) -> None:
    """Start everything at the addresses of the settings, and show it until Ctrl-C."""
    fleet = load_fleet(settings)
    day = Day(
        fleet=settings,
        gateways=len(fleet.gateways),
        racks=max(1, nodes // 2),
        rack_size=2 if nodes > 1 else 1,
        cores=2.0,
        customers=20,
        rate=rate,
        span=Duration((seconds or FOR_EVER) * 1_000_000),
        kinds=KINDS,
        list_delay=(Duration(200_000), Duration(900_000)),
        peer_loss=0.0,
        takes=rate / 5,
        answer_slack=Duration(100_000),
        arrival_slack=Duration(100_000),
        steps=(),
    )
    with tempfile.TemporaryDirectory(prefix="orchidlane-") as folder:
        backing = RealBacking(folder)
        plan = make_plan(day, folder, backing.free_addresses, as_written=True)
        backing.prepare(plan)
        loop = Loop(RealWorld())
        plan.nodes = [msgspec.structs.replace(spec, records="") for spec in plan.nodes]
        runner = Runner(loop, plan, backing, deque(maxlen=KEPT))
        screen = Screen(loop, runner, [address(entry.admin) for entry in plan.fleet.gateways])
        signal.signal(signal.SIGTERM, signal.default_int_handler)
        with contextlib.suppress(KeyboardInterrupt):
            try:
                loop.run(_run, loop, runner, screen)
            finally:
                backing.end()


def _run(loop: Loop, runner: Runner, screen: Screen) -> None:
    loop.spawn(screen.show, kind=BACKGROUND, name="screen")
    verdict = runner.run()
    held = all(verdict.rules.values())
    print(f"{verdict.requests} requests; rules held: {'all' if held else verdict.rules}")


class Screen:
    """Reads the gateways' metrics once a second and draws them."""

    def __init__(self, loop: Loop, runner: Runner, admins: list[Address]) -> None:
        self.loop = loop
        self.runner = runner
        self.admins = admins
        self.before: list[dict[str, float]] = [{} for _ in admins]

    def show(self) -> None:
        """Draw for ever; without a terminal a line now and then."""
        console = Console()
        door = self.runner.plan.gateways[0]
        hint = f"curl -i -H 'X-Api-Key: key-of-1' http://{door[0]}:{door[1]}/v1/sheets/steel"
        if not console.is_terminal:
            self._lines(hint)
        with Live(console=console, auto_refresh=False) as live:
            while True:
                self.loop.sleep(EVERY)
                live.update(self.table(hint), refresh=True)

    def _lines(self, hint: str) -> None:
        print(f"starting; then try  {hint}", flush=True)
        while True:
            self.loop.sleep(5 * EVERY)
            rows = [self._rates(i, at, 5) for i, at in enumerate(self.admins)]
            served = sum(row.get("served", 0) for row in rows)
            refused = sum(row.get("refused", 0) for row in rows)
            print(f"served {served:.0f}/s, refused {refused:.0f}/s", file=sys.stdout, flush=True)

    def table(self, hint: str) -> Table:
        """One screen."""
        columns = ("gateway", "served/s", "refused/s", "failed/s", "sent/s", "not ok/s", "open", "peers/s")
        table = Table(*columns, title="orchidlane up", caption=hint, caption_justify="left")
        for index, at in enumerate(self.admins):
            row = self._rates(index, at, 1)
            name = self.runner.plan.fleet.gateways[index].name
            cells = [f"{row.get(key, 0):.0f}" for key in ("served", "refused", "failed", "sent", "bad")]
            table.add_row(name, *cells, f"{row.get('open', 0):.0f}", f"{row.get('peers', 0):.0f}")
        nodes = self.runner.node_list.nodes if self.runner.node_list else {}
        phases = " ".join(f"{node.address}={node.phase}" for node in nodes.values())
        table.add_section()
        table.add_row("nodes", str(len(nodes)), end_section=True)
        table.title = f"orchidlane up   {phases}" if len(nodes) <= 2 else "orchidlane up"
        return table

    def _rates(self, index: int, at: Address, seconds: int) -> dict[str, float]:
        """What happened a second since the last look."""
        now = self._read(at)
        before, self.before[index] = self.before[index] or now, now
        found = {key: (now[key] - before.get(key, 0)) / seconds for key in now if key != "open"}
        return {**found, "open": now.get("open", 0)}

    def _read(self, at: Address) -> dict[str, float]:
        by = self.loop.now() + EVERY // 2
        try:
            stream = self.loop.world.connect(at, by)
            stream.send(http1.request_head("GET", b"/metrics", [(b"host", b"admin")]), by)
            text = b""
            while data := stream.recv(deadline=by):
                text += data
            stream.close()
        except (LoopError, Expired):
            return {}
        return _sums(text.decode())


def _sums(text: str) -> dict[str, float]:
    """The figures of one page that the screen shows."""
    found = dict.fromkeys(("served", "refused", "failed", "sent", "bad", "open", "peers"), 0.0)
    for line in text.splitlines():
        name, _, value = line.rpartition(" ")
        for kind in ("served", "refused", "failed"):
            if name.startswith("orchidlane_answers_total") and f'kind="{kind}"' in name:
                found[kind] += float(value)
        if name.startswith("orchidlane_attempts_total"):
            found["sent"] += float(value)
            found["bad"] += float(value) * ('"served"' not in name)
        elif name.startswith("orchidlane_datagrams_total"):
            found["peers"] += float(value)
        elif name == "orchidlane_open_requests":
            found["open"] = float(value)
    return found
