"""Writes the accounts down every few seconds, and reads them at a start; ``upgrade.restart`` decides on them.

A file says until when this life may spend beyond it. It is renewed long before; where that fails the file
goes, so that a later life never believes it too long.
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import TYPE_CHECKING

import msgspec

from orchidlane import recording
from orchidlane.gateway.telemetry.admin_api import StateFrames
from orchidlane.hot_restart.account_recovery import Life, survivors
from orchidlane.policy.accounts import Account

if TYPE_CHECKING:
    from orchidlane.gateway.lifecycle.process import Program

SHARE = 20  # of the time, one part at most goes into it
LATE = 5_000_000  # microseconds beyond two rounds, for a disk or a machine that is slow
BAD = (recording.FormatError, msgspec.ValidationError, ValueError, KeyError, TypeError, IndexError, OSError)


class Memory:
    """One gateway's accounts on disk."""

    def __init__(self, program: Program, path: str) -> None:
        self.program = program
        self.loop = program.loop
        self.path = path
        self.every = int(program.fleet.account_store.write_interval_us)
        self._until = 0

    # -- at a start

    def load(self) -> int:
        """Go on with what an earlier life wrote down. Gives how many accounts; what can't be used is said."""
        data = self.loop.world.read_file(self.path)
        if data is None:
            return 0
        try:
            reader = recording.SegmentReader(self.path, data)
            accounts = {account.customer: account for account in self._read(reader)}
        except BAD as wrong:
            self.program.log.error("accounts not read", file=self.path, why=str(wrong))
            return 0
        rules = self.program.host.gateway
        rules.accounts.update(accounts)
        rules.idle_queue.extend(accounts)
        return len(accounts)

    def _read(self, reader: recording.SegmentReader) -> Iterator[Account]:
        header, program = reader.header, self.program
        if header.gateway != program.entry.name:
            raise recording.FormatError(f"it is {header.gateway}'s")
        about = header.context
        life = Life(
            int(header.settings["rank"]),
            header.plan_names,
            int(about["now"]),
            int(about["until"]),
            bool(about["clean"]),
        )
        return survivors(reader.account_rows(), life, tuple(program.fleet.plans), self.loop.now())

    # -- while it runs

    def work(self) -> None:
        """Renew it again and again; nothing is written while another process serves in our place."""
        took = 0
        while True:
            if not self.program.quiet:
                began = self.loop.now()
                self._write(2 * max(self.every, SHARE * took) + LATE, aside=True)
                took = self.loop.now() - began
            self.loop.sleep(max(self.every, SHARE * took))

    def begin(self) -> None:
        """Before the first request: what was read must not be read again by a later life."""
        self._write(2 * self.every + LATE, aside=False)

    def finish(self) -> None:
        """All is answered, and nothing will be spent any more."""
        self._write(0, aside=False)

    def _write(self, span: int, aside: bool) -> None:
        program, world = self.program, self.loop.world
        now = self.loop.now()
        about = {**program.about(), "until": now + span, "clean": not span}
        frames = StateFrames(program.host, program.entry.name, program.incarnation, 0, program.names(), about)
        parts = [frames.head]
        try:
            for page in frames:
                parts.append(page)
                if aside:
                    self.loop.give_way()
        finally:
            frames.close()
        data = b"".join(parts)
        try:
            if aside:
                world.aside(lambda: world.write_file(self.path, data))
            else:
                world.write_file(self.path, data)
        except OSError as wrong:
            program.log.error("accounts not written", file=self.path, why=str(wrong))
            return
        self._until = now + span
        if span:
            self.loop.call_at(self._until, self._expire, self._until)

    def _expire(self, until: int) -> None:
        """It was not renewed in time, and we live: it would be believed too long."""
        if until == self._until and not self.program.quiet and not self.program.stopping:
            self.program.log.error("accounts too old", file=self.path)
            self.loop.world.remove_file(self.path)
