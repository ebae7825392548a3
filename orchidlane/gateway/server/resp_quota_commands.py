"""RESP commands that take, reserve and return units of customers' quotas."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from orchidlane.gateway.control.configuration import ConfigurationSnapshot
from orchidlane.gateway.control.customers import Customer
from orchidlane.gateway.control.settings import QuotaSettings
from orchidlane.gateway.peers.token_requests import LimitService
from orchidlane.gateway.server.resp_arguments import (
    CommandError,
    parse_duration_us,
    parse_number,
    parse_options,
    parse_token,
    parse_units,
)
from orchidlane.gateway.server.resp_session import Session
from orchidlane.limits import GrantOutcome

RATE_TOLERANCE = 1e-9  # units per second by which count / period may differ from the plan's rate
US_PER_MS = 1_000
US_PER_SECOND = 1_000_000


class QuotaCommands:
    """Commands on the quotas of customers, which HTTP requests share."""

    def __init__(
        self,
        settings: QuotaSettings,
        service: LimitService,
        snapshot: Callable[[], ConfigurationSnapshot],
        unready_reason: Callable[[], str],
        client_count: Callable[[], int],
    ) -> None:
        self._settings = settings
        self._service = service
        self._snapshot = snapshot
        self._unready_reason = unready_reason  # "" if commands can be executed
        self._client_count = client_count

    def throttle(self, _session: Session, words: list[bytes]) -> Any:
        """CL.THROTTLE key max_burst count period [quantity]: limited, limit, remaining, retry, reset.

        The reply's retry and reset are in seconds.
        """
        customer = self._customer(words[0])
        plan = self._service.policy_driver.settings.plans[customer.plan]
        max_burst, count, period = (parse_number(word, "max_burst, count and period") for word in words[1:4])
        quantity = parse_number(words[4], "quantity") if len(words) > 4 else 1
        has_plan_rate = period != 0 and abs(count / period - plan.rate) <= RATE_TOLERANCE
        if not has_plan_rate or max_burst + 1 != int(plan.burst):
            allowed = f"max_burst {int(plan.burst) - 1}, count/period {plan.rate:g}"
            raise CommandError(f"ERR the plan {customer.plan_name} decides: {allowed}")
        granted = quantity == 0 or self._service.try_take(customer, float(quantity), 0)
        remaining = self._service.remaining_units(customer)
        reset_seconds = int((plan.burst - remaining) / plan.rate) if plan.rate else 0
        retry_seconds = -1
        if not granted:
            retry_us = self._service.retry_after_us(customer, quantity)
            retry_seconds = max(1, -(-retry_us // US_PER_SECOND))
        return [
            int(not granted),
            int(plan.burst),
            max(0, int(remaining)),
            retry_seconds,
            max(0, reset_seconds),
        ]

    def take(self, _session: Session, words: list[bytes]) -> Any:
        """LIMIT.TAKE key units [CLASS c] [WITHIN ms] [IDEMPOTENT token]: granted, remaining, retry in ms."""
        customer = self._customer(words[0])
        units = parse_units(words[1])
        options = parse_options(words[2:], (b"CLASS", b"WITHIN", b"IDEMPOTENT"))
        class_index = self._class_index(options.get(b"CLASS"))
        timeout_us = parse_duration_us(options.get(b"WITHIN"), "WITHIN", self._settings.max_wait_us)
        token = options.get(b"IDEMPOTENT")
        if token is None:
            granted = self._service.take_before_timeout(customer, units, class_index, timeout_us)
        else:
            token = parse_token(token)
            granted = self._service.take_idempotent(customer, units, class_index, timeout_us, token)
        remaining = self._service.remaining_units(customer)
        retry_ms = 0
        if not granted:
            retry_ms = max(1, self._service.retry_after_us(customer, units) // US_PER_MS)
        return [int(granted), max(0, int(remaining)), retry_ms]

    def peek(self, _session: Session, words: list[bytes]) -> Any:
        """LIMIT.PEEK key: plan, remaining, burst, rate, credit."""
        customer = self._customer(words[0])
        plan = self._service.policy_driver.settings.plans[customer.plan]
        remaining = max(0, int(self._service.remaining_units(customer)))
        credit = self._service.grants.credit(self._service.loop.now(), customer.number)
        return {
            "plan": customer.plan_name,
            "remaining": remaining,
            "burst": int(plan.burst),
            "rate": plan.rate,
            "credit": credit,
        }

    def give_back(self, _session: Session, words: list[bytes]) -> Any:
        """LIMIT.GIVEBACK key token: return the units that were taken with the token."""
        return _outcome_reply(self._service.refund(self._customer(words[0]), parse_token(words[1])))

    def reserve(self, _session: Session, words: list[bytes]) -> Any:
        """LIMIT.RESERVE key units FOR ms: the reservation's name, or null over the quota."""
        customer = self._customer(words[0])
        units = parse_units(words[1])
        if words[2].upper() != b"FOR":
            raise CommandError("ERR syntax error, allowed: LIMIT.RESERVE key units FOR ms")
        lifetime_us = parse_duration_us(words[3], "FOR", self._settings.max_reservation_us)
        if not lifetime_us:
            raise CommandError("ERR FOR is at least 1 ms")
        return self._service.reserve(customer, units, 0, lifetime_us)

    def commit(self, _session: Session, words: list[bytes]) -> Any:
        """LIMIT.COMMIT key name: keep the units of a reservation."""
        return _outcome_reply(self._service.end_reservation(self._customer(words[0]), words[1], True))

    def release(self, _session: Session, words: list[bytes]) -> Any:
        """LIMIT.RELEASE key name: return the units of a reservation."""
        return _outcome_reply(self._service.end_reservation(self._customer(words[0]), words[1], False))

    def info(self, _session: Session, _words: list[bytes]) -> Any:
        """LIMIT.INFO: counters of this gateway."""
        service = self._service
        return {
            "rank": service.rank,
            "gateways": service.gateway_count,
            "clients": self._client_count(),
            "granted": service.granted,
            "refused": service.rejected,
            "tokens": len(service.token_owner),
            "grants": len(service.grants),
        }

    def _customer(self, key: bytes) -> Customer:
        customer = self._snapshot().customers.by_name_or_key(key)
        if customer is None:
            raise CommandError("NOCUSTOMER no customer has this name or key")
        reason = "its set of gateways is on the move" if customer.migrating else self._unready_reason()
        if reason:
            raise CommandError(f"TRYAGAIN {reason}; nothing was counted by this command")
        return customer

    def _class_index(self, name: bytes | None) -> int:
        if name is None:
            return 0
        names = self._snapshot().generation.class_names
        if name.decode("utf-8", "replace") not in names:
            raise CommandError(f"ERR no such class, allowed: {', '.join(names)}")
        return names.index(name.decode())


def _outcome_reply(outcome: GrantOutcome) -> int:
    """Return 1 if the change was made now, 0 if earlier.

    Raises CommandError if the grant has expired or is unknown.
    """
    if outcome is GrantOutcome.EXPIRED:
        raise CommandError("EXPIRED its time was over; a reservation's units came back by themselves")
    if outcome is GrantOutcome.UNKNOWN:
        raise CommandError("NOGRANT nothing such is remembered: it never was, or too long ago")
    return int(outcome is GrantOutcome.DONE)
