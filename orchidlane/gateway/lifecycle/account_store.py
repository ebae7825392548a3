"""Saves the accounts of a gateway periodically, and loads them at a start.

``orchidlane.hot_restart.account_recovery`` decides what is made of them. A file says until when its
incarnation may spend beyond it. It is renewed long before; where that fails the file is removed, so that a
later incarnation never trusts it too long.
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import Any, Protocol

from orchidlane import recording
from orchidlane.gateway.control.settings import FleetSettings, GatewayEntry
from orchidlane.gateway.forwarding.policy_driver import PolicyDriver
from orchidlane.gateway.lifecycle.state_errors import INVALID_STATE_ERRORS
from orchidlane.gateway.telemetry.policy_source import PolicyNames
from orchidlane.gateway.telemetry.state_stream import StateStream
from orchidlane.hot_restart.account_recovery import PreviousIncarnation, recover_accounts
from orchidlane.policy.accounts import Account
from orchidlane.runtime import EventLoop

MIN_INTERVAL_PER_SAVE = 20  # times as long as a save takes
GRACE_US = 5_000_000  # beyond two intervals, for a slow disk or machine


class StoredGateway(Protocol):
    """What the store uses of the gateway process whose accounts it saves."""

    loop: EventLoop
    fleet: FleetSettings
    entry: GatewayEntry
    rank: int
    log: Any
    policy_driver: PolicyDriver
    incarnation: int
    stopping: bool
    superseded: bool

    def state_names(self) -> PolicyNames:
        """Return the names that a state's numbers stand for: classes, plans."""

    def describe_state(self) -> dict[str, Any]:
        """Return the moment, incarnation and generations that a stored state belongs to."""


class AccountStore:
    """One gateway's accounts on disk."""

    def __init__(self, gateway: StoredGateway, path: str) -> None:
        self.gateway = gateway
        self.loop = gateway.loop
        self.path = path
        self.save_interval_us = int(gateway.fleet.account_store.write_interval_us)
        self._valid_until_us = 0

    # -- at a start

    def load(self) -> int:
        """Go on with the saved accounts and return their number; an invalid file is logged and left out."""
        data = self.loop.backend.read_file(self.path)
        if data is None:
            return 0
        try:
            reader = recording.SegmentReader(self.path, data)
            accounts = {account.customer: account for account in self._read(reader)}
        except (*INVALID_STATE_ERRORS, OSError) as error:
            self._log_error("accounts not read", error)
            return 0
        rules = self.gateway.policy_driver.gateway
        rules.accounts.update(accounts)
        rules.idle_queue.extend(accounts)
        return len(accounts)

    def _read(self, reader: recording.SegmentReader) -> Iterator[Account]:
        header = reader.header
        if header.gateway != self.gateway.entry.name:
            raise recording.FormatError(f"it is {header.gateway}'s")
        about = header.context
        previous = PreviousIncarnation(
            rank=int(header.settings["rank"]),
            plan_names=header.plan_names,
            saved_at_us=int(about["now"]),
            valid_until_us=int(about["until"]),
            clean_shutdown=bool(about["clean"]),
        )
        plans = tuple(self.gateway.fleet.plans)
        return recover_accounts(reader.account_rows(), previous, plans, self.loop.now())

    # -- while the gateway runs

    def save_periodically(self) -> None:
        """Save for ever, except while another process serves in our place."""
        duration = 0
        while True:
            if not self.gateway.superseded:
                began = self.loop.now()
                self._save(2 * self._interval(duration) + GRACE_US, aside=True)
                duration = self.loop.now() - began
            self.loop.sleep(self._interval(duration))

    def _interval(self, duration: int) -> int:
        return max(self.save_interval_us, MIN_INTERVAL_PER_SAVE * duration)

    def save_before_serving(self) -> None:
        """Save before the first request: a later incarnation must not load the earlier file again."""
        self._save(2 * self.save_interval_us + GRACE_US, aside=False)

    def save_final(self) -> None:
        """Save after the last request: nothing will be spent any more."""
        self._save(0, aside=False)

    def _save(self, validity_us: int, aside: bool) -> None:
        """Save the accounts; with ``aside`` give way while they are encoded, and write in a thread."""
        backend = self.loop.backend
        now = self.loop.now()
        data = self._encode(now, validity_us, aside)
        try:
            if aside:
                backend.run_in_thread(lambda: backend.write_file(self.path, data))
            else:
                backend.write_file(self.path, data)
        except OSError as error:
            self._log_error("accounts not written", error)
            return
        self._valid_until_us = now + validity_us
        if validity_us:
            self.loop.call_at(self._valid_until_us, self._expire, self._valid_until_us)

    def _encode(self, now: int, validity_us: int, gives_way: bool) -> bytes:
        gateway = self.gateway
        about = {**gateway.describe_state(), "until": now + validity_us, "clean": not validity_us}
        names = gateway.state_names()
        frames = StateStream(gateway.policy_driver, gateway.entry.name, gateway.incarnation, 0, names, about)
        parts = [frames.header]
        try:
            for page in frames:
                parts.append(page)
                if gives_way:
                    self.loop.yield_to_others()
        finally:
            frames.close()
        return b"".join(parts)

    def _log_error(self, event: str, error: Exception) -> None:
        self.gateway.log.error(event, file=self.path, reason=str(error))

    def _expire(self, valid_until_us: int) -> None:
        """Remove a file that was not renewed in time: it would be trusted too long."""
        was_renewed = valid_until_us != self._valid_until_us
        if not was_renewed and not self.gateway.superseded and not self.gateway.stopping:
            self.gateway.log.error("accounts too old", file=self.path)
            self.loop.backend.remove_file(self.path)
