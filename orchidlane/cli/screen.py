"""One screen of a fleet: what its gateways' metrics say happened since the last look."""

from __future__ import annotations

import sys
from typing import Any

from rich.console import Console
from rich.live import Live
from rich.table import Table

from orchidlane import http1
from orchidlane.runtime import DeadlineExceededError, EventLoop, EventLoopError
from orchidlane.runtime.backend import Address

EVERY = 1_000_000  # microseconds between two looks
COLUMNS = {
    "served/s": "served",
    "refused/s": "refused",
    "failed/s": "failed",
    "sent/s": "sent",
    "not ok/s": "bad",
    "open": "open",
    "peers/s": "peers",
    "nodes": "nodes",
    "turn ms": "turn",
}
LEVELS = ("open", "nodes", "turn")  # figures that are as they are; the others are counts, shown by the second


class Screen:
    """Reads the gateways' metrics once a second and draws them; one that does not answer is shown so."""

    def __init__(
        self, loop: EventLoop, title: str, gateways: list[tuple[str, Address]], hint: str = ""
    ) -> None:
        self.loop = loop
        self.title = title
        self.gateways = gateways
        self.hint = hint
        self.before: list[dict[str, float]] = [{} for _ in gateways]

    def show(self, looks: int = 0) -> None:
        """Draw so many times, or for ever; without a terminal a line now and then."""
        console = Console()
        if not console.is_terminal:
            return self._lines(looks)
        with Live(self.table([{} for _ in self.gateways]), console=console, auto_refresh=False) as live:
            live.refresh()
            while True:
                live.update(self.table(self.look()), refresh=True)
                if (looks := looks - 1) == 0:
                    return
                self.loop.sleep(EVERY)

    def _lines(self, looks: int) -> None:
        print(f"{self.title}  {self.hint}".rstrip(), flush=True)
        while True:
            rows = self.look()
            served, refused = (sum(row.get(name, 0) for row in rows) for name in ("served", "refused"))
            silent = sum(not row for row in rows)
            told = f"served {served:.0f}/s, refused {refused:.0f}/s, gateways silent {silent}"
            print(told, file=sys.stdout, flush=True)
            if (looks := looks - 1) == 0:
                return
            self.loop.sleep(5 * EVERY)

    def look(self) -> list[dict[str, float]]:
        """Each gateway's figures since the last look; none where it does not answer."""
        return [self._rates(index, at) for index, (_, at) in enumerate(self.gateways)]

    def table(self, rows: list[dict[str, float]]) -> Table:
        """One screen."""
        table = Table("gateway", *COLUMNS, title=self.title, caption=self.hint, caption_justify="left")
        for (name, _), row in zip(self.gateways, rows, strict=True):
            cells = [f"{row[key]:.0f}" if key in row else "-" for key in COLUMNS.values()]
            table.add_row(name, *cells)
        total = {key: sum(row.get(key, 0) for row in rows) for key in COLUMNS.values()}
        table.add_section()
        sums = [f"{total[key]:.0f}" if key not in ("nodes", "turn") else "" for key in COLUMNS.values()]
        table.add_row("all", *sums)
        return table

    def _rates(self, index: int, at: Address) -> dict[str, float]:
        """What happened a second since the last look."""
        now = self._read(at)
        if not now:
            self.before[index] = {}
            return {}
        before, self.before[index] = self.before[index], now
        if not before:
            return {key: now[key] if key in LEVELS else 0.0 for key in COLUMNS.values()}
        span = max(1e-3, now["clock"] - before["clock"])
        rates = {key: (now[key] - before[key]) / span for key in COLUMNS.values() if key not in LEVELS}
        if any(rate < 0 for rate in rates.values()):  # it was started anew meanwhile
            rates = dict.fromkeys(rates, 0.0)
        return rates | {key: now[key] for key in LEVELS}

    def _read(self, at: Address) -> dict[str, float]:
        by = self.loop.now() + EVERY // 2
        try:
            stream = self.loop.backend.connect(at, by)
            try:
                stream.send(http1.request_head("GET", b"/metrics", [(b"host", b"admin")]), by)
                text = b""
                while data := stream.recv(deadline=by):
                    text += data
            finally:
                stream.close()
        except (EventLoopError, DeadlineExceededError):
            return {}
        return sums(text.decode("utf-8", "replace")) | {"clock": self.loop.now() / 1e6}


def sums(text: str) -> dict[str, float]:
    """The figures of one page that the screen shows."""
    found = dict.fromkeys(COLUMNS.values(), 0.0)
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
        elif name == "orchidlane_nodes":
            found["nodes"] = float(value)
        elif name == "orchidlane_longest_turn_seconds":
            found["turn"] = float(value) * 1e3
    return found


def as_rows(gateways: list[tuple[str, Address]], rows: list[dict[str, float]]) -> list[dict[str, Any]]:
    """One look for programs: a gateway that does not answer has ``up`` false and no figures."""
    return [
        {"gateway": name, "up": bool(row), **{key: round(value, 3) for key, value in row.items()}}
        for (name, _), row in zip(gateways, rows, strict=True)
    ]
