"""A live screen of a fleet: rates of its gateways' metrics since the previous refresh."""

from __future__ import annotations

import sys
from typing import Any

from rich.console import Console
from rich.live import Live
from rich.table import Table

from orchidlane.cli.gateway_figures import Figure, Figures, Reading, rates_between, read_figures
from orchidlane.runtime import EventLoop
from orchidlane.runtime.backend import Address

REFRESH_INTERVAL_US = 1_000_000
READ_TIMEOUT_US = REFRESH_INTERVAL_US // 2
LINE_INTERVAL_US = 5 * REFRESH_INTERVAL_US  # between summary lines, without a terminal
COLUMN_TITLES = {
    Figure.SERVED: "served/s",
    Figure.REJECTED: "refused/s",
    Figure.FAILED: "failed/s",
    Figure.FORWARDED: "sent/s",
    Figure.NOT_SERVED_ATTEMPTS: "not ok/s",
    Figure.OPEN_REQUESTS: "open",
    Figure.PEER_DATAGRAMS: "peers/s",
    Figure.ENDPOINTS: "nodes",
    Figure.LONGEST_TURN_MS: "turn ms",
}
WITHOUT_TOTAL = (Figure.ENDPOINTS, Figure.LONGEST_TURN_MS)


class Screen:
    """Reads the gateways' metrics once a second and draws their rates."""

    def __init__(
        self, loop: EventLoop, title: str, gateways: list[tuple[str, Address]], hint: str = ""
    ) -> None:
        self.loop = loop
        self.title = title
        self.gateways = gateways  # name and admin address of each
        self.hint = hint
        self._readings: list[Reading | None] = [None] * len(gateways)

    def show(self, refresh_count: int = 0) -> None:
        """Draw ``refresh_count`` times, or indefinitely for 0; without a terminal, print summary lines."""
        console = Console()
        if console.is_terminal:
            self._show_table(console, refresh_count)
        else:
            self._show_lines(refresh_count)

    def _show_table(self, console: Console, remaining: int) -> None:
        empty_rows: list[Figures] = [{} for _ in self.gateways]
        with Live(self.table(empty_rows), console=console, auto_refresh=False) as live:
            live.refresh()
            while True:
                live.update(self.table(self.read_rates()), refresh=True)
                remaining -= 1
                if remaining == 0:
                    return
                self.loop.sleep(REFRESH_INTERVAL_US)

    def _show_lines(self, remaining: int) -> None:
        print(f"{self.title}  {self.hint}".rstrip(), flush=True)
        while True:
            print(self._summary(self.read_rates()), file=sys.stdout, flush=True)
            remaining -= 1
            if remaining == 0:
                return
            self.loop.sleep(LINE_INTERVAL_US)

    def _summary(self, rows: list[Figures]) -> str:
        served = _total(rows, Figure.SERVED)
        rejected = _total(rows, Figure.REJECTED)
        unresponsive = sum(not row for row in rows)
        return f"served {served:.0f}/s, refused {rejected:.0f}/s, gateways not responding {unresponsive}"

    def read_rates(self) -> list[Figures]:
        """Return each gateway's rates since the last call; an empty row for one that does not respond."""
        return [self._read_rates_of(index) for index in range(len(self.gateways))]

    def _read_rates_of(self, index: int) -> Figures:
        _, admin = self.gateways[index]
        now = read_figures(self.loop, admin, READ_TIMEOUT_US)
        before = self._readings[index]
        self._readings[index] = now
        return {} if now is None else rates_between(before, now)

    def table(self, rows: list[Figures]) -> Table:
        """Return one screen: a row for each gateway, and their totals."""
        titles = COLUMN_TITLES.values()
        table = Table("gateway", *titles, title=self.title, caption=self.hint, caption_justify="left")
        for (name, _), row in zip(self.gateways, rows, strict=True):
            cells = [f"{row[figure]:.0f}" if figure in row else "-" for figure in COLUMN_TITLES]
            table.add_row(name, *cells)
        table.add_section()
        totals = [
            "" if figure in WITHOUT_TOTAL else f"{_total(rows, figure):.0f}" for figure in COLUMN_TITLES
        ]
        table.add_row("all", *totals)
        return table


def _total(rows: list[Figures], figure: Figure) -> float:
    return sum(row.get(figure, 0) for row in rows)


def rates_as_json(gateways: list[tuple[str, Address]], rows: list[Figures]) -> list[dict[str, Any]]:
    """Return rows for JSON output: a gateway that does not respond has ``up`` false and no figures."""
    return [
        {"gateway": name, "up": bool(row), **{figure.value: round(value, 3) for figure, value in row.items()}}
        for (name, _), row in zip(gateways, rows, strict=True)
    ]
