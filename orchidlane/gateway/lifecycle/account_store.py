"""Saves the accounts of a gateway periodically, and loads them when the gateway starts.

``orchidlane.hot_restart.account_recovery`` decides how much of each saved account a new incarnation may still
spend. Each file states until when it is valid: up to then its incarnation may spend more than the file shows.
The file is rewritten long before that time. If rewriting fails, the file is removed at that time, so that a
later incarnation never relies on an outdated file.
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

MIN_INTERVAL_PER_SAVE_DURATION = 20  # a save that takes 1 s is followed by a pause of at least 20 s
VALIDITY_MARGIN_US = 5_000_000  # added to two save intervals, for a slow disk or machine


class StoredGateway(Protocol):
    """Attributes of the gateway process that the account store uses."""

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
        """Return the names of the request classes and plans, which a stored state holds as numbers."""

    def describe_state(self) -> dict[str, Any]:
        """Return the time, incarnation and generations of a stored state."""


class AccountStore:
    """The file with the accounts of one gateway."""

    def __init__(self, gateway: StoredGateway, path: str) -> None:
        self.gateway = gateway
        self.loop = gateway.loop
        self.path = path
        self.save_interval_us = int(gateway.fleet.account_store.write_interval_us)
        self._valid_until_us = 0

    # -- when the gateway starts

    def load(self) -> int:
        """Restore the saved accounts and return their number; an invalid file is logged and ignored."""
        data = self.loop.backend.read_file(self.path)
        if data is None:
            return 0
        try:
            reader = recording.SegmentReader(self.path, data)
            accounts = {account.customer: account for account in self._read(reader)}
        except (*INVALID_STATE_ERRORS, OSError) as error:
            self._log_error("accounts not read", error)
            return 0
        policy_gateway = self.gateway.policy_driver.gateway
        policy_gateway.accounts.update(accounts)
        policy_gateway.idle_queue.extend(accounts)
        return len(accounts)

    def _read(self, reader: recording.SegmentReader) -> Iterator[Account]:
        header = reader.header
        if header.gateway != self.gateway.entry.name:
            raise recording.FormatError(f"it was written by gateway {header.gateway}, not by this one")
        context = header.context
        previous = PreviousIncarnation(
            rank=int(header.settings["rank"]),
            plan_names=header.plan_names,
            saved_at_us=int(context["now"]),
            valid_until_us=int(context["until"]),
            clean_shutdown=bool(context["clean"]),
        )
        plans = tuple(self.gateway.fleet.plans)
        return recover_accounts(reader.account_rows(), previous, plans, self.loop.now())

    # -- while the gateway runs

    def save_periodically(self) -> None:
        """Save indefinitely, except while another process serves in place of this one."""
        save_duration_us = 0
        while True:
            if not self.gateway.superseded:
                started_at_us = self.loop.now()
                self._save(2 * self._interval(save_duration_us) + VALIDITY_MARGIN_US, in_background=True)
                save_duration_us = self.loop.now() - started_at_us
            self.loop.sleep(self._interval(save_duration_us))

    def _interval(self, save_duration_us: int) -> int:
        return max(self.save_interval_us, MIN_INTERVAL_PER_SAVE_DURATION * save_duration_us)

    def save_before_serving(self) -> None:
        """Save before the first request, so that no later incarnation loads the previous file again."""
        self._save(2 * self.save_interval_us + VALIDITY_MARGIN_US, in_background=False)

    def save_final(self) -> None:
        """Save after the last request, when this incarnation spends nothing more."""
        self._save(0, in_background=False)

    def _save(self, validity_us: int, in_background: bool) -> None:
        """Save the accounts; in the background, yield to other tasks while encoding and write in a thread."""
        backend = self.loop.backend
        now = self.loop.now()
        data = self._encode(now, validity_us, in_background)
        try:
            if in_background:
                backend.run_in_thread(lambda: backend.write_file(self.path, data))
            else:
                backend.write_file(self.path, data)
        except OSError as error:
            self._log_error("accounts not written", error)
            return
        self._valid_until_us = now + validity_us
        if validity_us:
            self.loop.call_at(self._valid_until_us, self._expire, self._valid_until_us)

    def _encode(self, now: int, validity_us: int, yields_to_others: bool) -> bytes:
        gateway = self.gateway
        context = {**gateway.describe_state(), "until": now + validity_us, "clean": not validity_us}
        names = gateway.state_names()
        frames = StateStream(
            gateway.policy_driver, gateway.entry.name, gateway.incarnation, 0, names, context
        )
        encoded_frames = [frames.header]
        try:
            for page in frames:
                encoded_frames.append(page)
                if yields_to_others:
                    self.loop.yield_to_others()
        finally:
            frames.close()
        return b"".join(encoded_frames)

    def _log_error(self, event: str, error: Exception) -> None:
        self.gateway.log.error(event, file=self.path, reason=str(error))

    def _expire(self, valid_until_us: int) -> None:
        """Remove the file if it was not rewritten while it was valid."""
        was_rewritten = valid_until_us != self._valid_until_us
        if not was_rewritten and not self.gateway.superseded and not self.gateway.stopping:
            self.gateway.log.error("removing expired accounts file", file=self.path)
            self.loop.backend.remove_file(self.path)
