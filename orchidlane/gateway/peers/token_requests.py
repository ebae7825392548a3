"""Carries out quota requests, token claims, reservations and refunds; ``limits`` makes the decisions."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, Protocol

from orchidlane.gateway.control.customers import Customer
from orchidlane.gateway.control.settings import FleetSettings
from orchidlane.gateway.forwarding.policy_driver import PolicyDriver
from orchidlane.gateway.peers.query_exchange import QUERY_IDS_PER_PROCESS, QueryExchange
from orchidlane.gateway.peers.token_messages import TokenOperation, TokenQuery, TokenReply
from orchidlane.limits import (
    ClaimVerdict,
    GrantOutcome,
    GrantStore,
    GrantStoreFullError,
    OwnerReply,
    TokenClaim,
    TokenOwner,
    TokenState,
    owners_of,
    token_name,
)
from orchidlane.limits.tokens import ClaimId
from orchidlane.runtime import EventLoop

MICROSECONDS_PER_SECOND = 1_000_000
MIN_RETRY_AFTER_US = 1_000
MIN_RETRY_DELAY_US = 5_000  # between the attempts of a request that waits for units
# Shortest and longest delay before another attempt to claim a token that another request is claiming.
CLAIM_RETRY_DELAY_US = (10_000, 40_000)
MAX_RESERVATION_NAME_BYTES = 64


class PeersUnreachableError(Exception):
    """Too few of the gateways that know a token or grant replied; the command counted no units."""


class NewProcessGrants(Protocol):
    """Passes grants to the new process, which stores them during a hot restart."""

    def add_grant(self, name: bytes, customer: int, units: float, reserved_for_us: int | None) -> None:
        """Record units granted under a name; with ``reserved_for_us`` (microseconds) they are reserved."""


class LimitService:
    """One gateway's part in quota requests, tokens and reservations."""

    def __init__(
        self,
        loop: EventLoop,
        fleet: FleetSettings,
        rank: int,
        policy_driver: PolicyDriver,
        send: Callable[[int, bytes], None],
    ) -> None:
        self.loop = loop
        self.quota_settings = fleet.quotas
        self.gateway_count = len(fleet.gateways)
        self.rank = rank
        self.policy_driver = policy_driver
        self.started_at_us = loop.now()
        self.token_owner = TokenOwner(
            self.quota_settings.token_lifetime_us, self.quota_settings.max_tokens, self.started_at_us
        )
        self.grants = GrantStore(
            self.quota_settings.max_grants,
            self.quota_settings.grant_lifetime_us,
            self.quota_settings.credit_lifetime_us,
        )
        self.granted = 0
        self.rejected = 0
        # While this is set, during a hot restart, the new process owns tokens and grants.
        self.new_process_grants: NewProcessGrants | None = None
        self.queries = QueryExchange(loop, rank, self.quota_settings, send, self._make_reply)

    def receive(self, sender: int, body: bytes) -> None:
        """Handle a datagram of another gateway: a query, or a reply to a query of this gateway."""
        self.queries.receive(sender, body)

    # Hot restart

    def dump_state(self) -> dict[str, Any]:
        """Return the state that the new process needs, except tokens and grants (sent separately)."""
        return {
            "life": self.started_at_us,
            "numbers": self.queries.last_id,
            "sure_from": self.token_owner.reliable_from_us,
            "credits": self.grants.credits(),
            "answered": self.queries.cached_reply_rows(),
        }

    def load_state(self, state: dict[str, Any]) -> None:
        """Load the state of the old process.

        Query ids continue after a gap, because the old process still sends queries of its own and waits for
        their replies.
        """
        self.started_at_us = int(state["life"])
        self.queries.last_id = int(state["numbers"]) + QUERY_IDS_PER_PROCESS
        self.token_owner.reliable_from_us = int(state["sure_from"])
        self.grants.replace_credits(state["credits"])
        self.queries.load_cached_replies(state["answered"])

    def reclaim(self) -> None:
        """Own tokens and grants again after the new process failed.

        What the new process granted is not known here, so the token owner's memory counts as incomplete for a
        whole token lifetime, and credits are dropped.
        """
        self.new_process_grants = None
        self.queries.last_id += 2 * QUERY_IDS_PER_PROCESS
        self.token_owner.reliable_from_us = self.loop.now() + self.quota_settings.token_lifetime_us
        self.grants.clear_credits()

    # A customer's remaining quota in this gateway's account

    def remaining_units(self, customer: Customer) -> float:
        """Return the units left by this gateway's account of the customer, without changing the account."""
        plan = self.policy_driver.settings.plans[customer.plan]
        account = self.policy_driver.gateway.accounts.get(customer.number)
        if account is None:
            return plan.burst
        elapsed_us = self.loop.now() - account.refilled_at_us
        refilled_units = plan.rate * elapsed_us / MICROSECONDS_PER_SECOND
        return min(plan.burst, account.remaining + refilled_units)

    def retry_after_us(self, customer: Customer, units: float) -> int:
        """Return the expected time until the units are available; 0 if they are, or the plan has no rate."""
        plan = self.policy_driver.settings.plans[customer.plan]
        missing = units - self.remaining_units(customer)
        if not plan.rate or missing <= 0:
            return 0
        return max(MIN_RETRY_AFTER_US, int(missing / plan.rate * MICROSECONDS_PER_SECOND))

    # Quota requests

    def try_take(self, customer: Customer, units: float, request_class: int) -> bool:
        """Take units from the customer's credit, or else request them from the policy."""
        if self.new_process_grants is None and self._pay_from_credit(customer, units):
            self.granted += 1
            return True
        admitted = self.policy_driver.request_quota(customer, units, request_class)
        self.granted += admitted
        self.rejected += not admitted
        return admitted

    def _pay_from_credit(self, customer: Customer, units: float) -> bool:
        burst = self.policy_driver.settings.plans[customer.plan].burst
        remaining = self.remaining_units(customer)
        return self.grants.pay_from_credit(self.loop.now(), customer.number, units, remaining, burst)

    def take_before_timeout(
        self, customer: Customer, units: float, request_class: int, timeout_us: int
    ) -> bool:
        """Take units; until the timeout, retry when they are expected to be available."""
        give_up_at = self.loop.now() + timeout_us
        while not self.try_take(customer, units, request_class):
            delay_us = max(self.retry_after_us(customer, units), MIN_RETRY_DELAY_US)
            if self.loop.now() + delay_us > give_up_at:
                return False
            self.loop.sleep(delay_us)
        return True

    def take_idempotent(
        self, customer: Customer, units: float, request_class: int, timeout_us: int, token: bytes
    ) -> bool:
        """Take units at most once for a token, however often a request with the token arrives.

        Raises PeersUnreachableError, GrantStoreFullError.
        """
        name = token_name(customer.number, token)
        give_up_at = self.loop.now() + max(timeout_us, 2 * self.quota_settings.peer_reply_timeout_us)
        while True:
            claim_number = self.queries.next_id()
            claim = self._claim(name, customer, claim_number)
            verdict = claim.verdict()
            if verdict is ClaimVerdict.DECIDE:
                if self._can_grant(customer, units, request_class, timeout_us):
                    self._settle(name, customer, units, claim_number, claim)
                    return True
                self._withdraw(name, customer, claim_number, claim)
                self._check_grant_capacity()
                return False
            self._withdraw(name, customer, claim_number, claim)
            if verdict is ClaimVerdict.ALREADY_GRANTED:
                return True
            if verdict is ClaimVerdict.NO_MAJORITY or self.loop.now() >= give_up_at:
                raise PeersUnreachableError("the take with this token is not settled")
            self.loop.sleep(self.loop.backend.random.randint(*CLAIM_RETRY_DELAY_US))

    def _can_grant(self, customer: Customer, units: float, request_class: int, timeout_us: int) -> bool:
        if self.grants.is_full(self.loop.now()):
            return False
        return self.take_before_timeout(customer, units, request_class, timeout_us)

    def _check_grant_capacity(self) -> None:
        """Raise GrantStoreFullError if no further grant can be stored."""
        if self.grants.is_full(self.loop.now()):
            raise GrantStoreFullError("too many grants are remembered")

    def _settle(
        self, name: bytes, customer: Customer, units: float, claim_number: int, claim: TokenClaim
    ) -> None:
        self._add_grant(name, customer, units)
        query = TokenQuery(0, TokenOperation.SETTLE, name, customer.number, claim_number, units)
        self._query(claim.owners, query, sufficient_replies=claim.majority)

    def _add_grant(
        self, name: bytes, customer: Customer, units: float, reserved_for_us: int | None = None
    ) -> None:
        if self.new_process_grants is not None:
            self.new_process_grants.add_grant(name, customer.number, units, reserved_for_us)
        else:
            self.grants.add_grant(self.loop.now(), name, customer.number, units, reserved_for_us)

    def _claim(self, name: bytes, customer: Customer, claim_number: int) -> TokenClaim:
        claim = TokenClaim(owners_of(name, self._replica_set(customer)))
        query = TokenQuery(0, TokenOperation.CLAIM, name, customer.number, claim_number)
        for owner, reply in self._query(claim.owners, query).items():
            if reply is None:
                claim.add_timeout(owner)
            else:
                claim.add_reply(owner, OwnerReply(TokenState(reply.state), reply.claimant, reply.units))
        return claim

    def _withdraw(self, name: bytes, customer: Customer, claim_number: int, claim: TokenClaim) -> None:
        query = TokenQuery(0, TokenOperation.WITHDRAW, name, customer.number, claim_number)
        self._query(claim.fresh_owners, query)

    def _replica_set(self, customer: Customer) -> list[int]:
        return [
            (customer.replica_set_start + offset) % self.gateway_count
            for offset in range(customer.replica_set_size)
        ]

    # Refunds and reservations

    def refund(self, customer: Customer, token: bytes) -> GrantOutcome:
        """Refund the units of a request with a token, once. Raises PeersUnreachableError."""
        name = token_name(customer.number, token)
        owners = owners_of(name, self._replica_set(customer))
        query = TokenQuery(0, TokenOperation.LOOK_UP, name, customer.number)
        replies = [reply for reply in self._query(owners, query).values() if reply is not None]
        for reply in replies:
            if reply.state == TokenState.GRANTED:
                return self._query_granter(reply.claimant, TokenOperation.REFUND, name, customer)
        unsure = any(reply.state == TokenState.UNSURE for reply in replies)
        if unsure or len(replies) <= len(owners) // 2:
            raise PeersUnreachableError("too few gateways know of the token")
        return GrantOutcome.UNKNOWN

    def reserve(
        self, customer: Customer, units: float, request_class: int, reserved_for_us: int
    ) -> bytes | None:
        """Return the name of a new reservation; None if the quota is used up. Raises GrantStoreFullError."""
        self._check_grant_capacity()
        if not self.try_take(customer, units, request_class):
            return None
        name = b"%d-%x-%d" % (self.rank, self.started_at_us, self.queries.next_id())
        self._add_grant(name, customer, units, reserved_for_us)
        return name

    def end_reservation(self, customer: Customer, name: bytes, commit: bool) -> GrantOutcome:
        """Commit or release a reservation at the gateway that made it. Raises PeersUnreachableError."""
        granter = name.split(b"-", 1)[0]
        if not granter.isdigit() or int(granter) >= self.gateway_count:
            return GrantOutcome.UNKNOWN
        if len(name) > MAX_RESERVATION_NAME_BYTES:
            return GrantOutcome.UNKNOWN
        operation = TokenOperation.COMMIT if commit else TokenOperation.RELEASE
        return self._query_granter(int(granter), operation, name, customer)

    def _query_granter(
        self, replica: int, operation: TokenOperation, name: bytes, customer: Customer
    ) -> GrantOutcome:
        reply = self._query([replica], TokenQuery(0, operation, name, customer.number))[replica]
        if reply is None:
            raise PeersUnreachableError(f"gateway {replica}, which granted the units, does not answer")
        return GrantOutcome(reply.outcome)

    # Queries

    def _query(
        self, replicas: list[int], query: TokenQuery, sufficient_replies: int | None = None
    ) -> dict[int, TokenReply | None]:
        return self.queries.query(
            replicas, query, sufficient_replies, send_to_self=self.new_process_grants is not None
        )

    def _make_reply(self, sender: int, query: TokenQuery) -> TokenReply:
        now = self.loop.now()
        claim = ClaimId(sender, query.claim_number)
        match query.operation:
            case TokenOperation.CLAIM:
                return TokenReply(query.id, *self.token_owner.claim(now, query.name, claim))
            case TokenOperation.LOOK_UP:
                return TokenReply(query.id, *self.token_owner.look_up(now, query.name))
            case TokenOperation.SETTLE:
                self.token_owner.settle(now, query.name, claim, query.units)
            case TokenOperation.WITHDRAW:
                self.token_owner.withdraw(now, query.name, claim)
            case TokenOperation.REFUND:
                return _outcome(query, self.grants.refund(now, query.name, query.customer))
            case TokenOperation.COMMIT:
                return _outcome(query, self.grants.commit(now, query.name, query.customer))
            case TokenOperation.RELEASE:
                return _outcome(query, self.grants.release(now, query.name, query.customer))
        return TokenReply(query.id)


def _outcome(query: TokenQuery, outcome: GrantOutcome) -> TokenReply:
    return TokenReply(query.id, outcome=outcome.value)
