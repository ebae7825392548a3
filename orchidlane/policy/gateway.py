"""All decisions of a gateway; its types, events and actions are in ``orchidlane/policy/``.

A request's life: arrived -> admitted by its customer's counts -> sent to the server that should answer
soonest -> outcome -> perhaps another attempt -> exactly one final answer. Every send passes ``_send``, every
answer of ours ``_end``. Quotas are grow-only counts by gateway, spread by gossip; see docs/design.md.
"""

from __future__ import annotations

import math
import random
from itertools import islice

from orchidlane.policy import gossip_codec
from orchidlane.policy.actions import (
    Action,
    CancelAttempt,
    FailRequest,
    GrantQuota,
    RejectRequest,
    SendAttempt,
    SendPeerMessage,
    SetTimer,
    WatchEndpoints,
)
from orchidlane.policy.events import (
    AttemptEnded,
    ClientDisconnected,
    CountRecovered,
    EndpointListKind,
    EndpointListReceived,
    EndpointState,
    Event,
    Outcome,
    PeerMessageReceived,
    QuotaRequested,
    ReplicaSetChanged,
    RequestArrived,
    TimerFired,
)
from orchidlane.policy.settings import DeduplicationScope, Idempotency, Settings
from orchidlane.policy.state import Account, Attempt, Endpoint, PendingRequest, PolicyState

MS, SECOND = 1_000, 1_000_000  # microseconds

# Gossip
INTAKE_SHARE = 0.8  # of the intake that every gateway may send: the rest is for jitter
INTERVAL = 300 * MS  # between two gossip turns: what is pressing does not wait for them
FAN = 12  # gateways told at once: the rest of a larger set is told by them, each has a part of it
NEWS_MOST = 3  # counts in a row; older ones are within its total
ROUNDING = 1e-6  # of a unit: sums of what was spent and may be spent
LOOK_AT, IDLE_LOOKS = 32, 3  # customers looked at for one message / for being idle, to bound the work
LATE_MOST = 5 * SECOND  # a message that took longer, or comes from so far ahead, is not believed
CLOSE, REOPEN = 0.25, 0.6  # of the burst: with less room a customer is refused, until so much is back
ANSWER_WITHIN = 200 * MS  # a keeper not heard for so long is asked to answer as soon; else the next is told
KEEPER_STRIDE = 2_654_435_761  # spreads customers over the gateways of their sets
KEEPERS = 3  # gateways of a set that are tried
RESERVE = 0.25  # of a second's messages: what keepers are owed waits then, answers to others do not
ALSO_MOST = 6  # closed customers that a message tells of besides, where it has room
HEAR = 0.1  # weight of the newest answer or silence in the part of the fleet that is unheard
UNHEARD_LEAST = 0.25  # below it silence is what loss and restarts explain

# Servers
BASE = 2.0  # requests a server is taken to hold besides those known: keeps first guesses level
START_OF_AIM = 0.25  # of the aim that an idle server is first thought to need
LEARN = 0.15  # weight of the newest answer time
FORGET = 3 * SECOND  # after this a slow server's mark has faded to a third: gentle return
SLOW_MOST = 8.0  # times the idle answer time that one answer may count for
FAIL_WEIGHT = 3.0  # an attempt that failed makes a server look this much slower
CHOICES = 12  # servers compared for one request
SPREAD = 0.1  # random part of a comparison, against herding of gateways
COLD_CARE = 0.9  # of the fair share of a cold server's least capacity that is used

# Attempts
LEAVE = 30 * MS  # before the client's time is up, a held request is ended
HOLD = 20 * MS  # between two looks at a request that has no server
REPEAT_BUDGET = 0.05  # further attempts earned by each request: no retry storms
REPEAT_MOST = 5.0  # further attempts saved up
SHED = 0.15  # of the aim beyond the usual time: slower, a request is refused
TURN, ASKED = 0, 1 << 40  # tokens of timers: gossip, answers due; a request's has its id + 1


class Gateway(PolicyState):
    """One gateway's decisions: feed events with the clock, carry out the actions."""

    def __init__(self, settings: Settings, seed: int, now: int) -> None:
        super().__init__()
        self.settings, self.random, self.now, self.allowance_refilled_at_us = (
            settings,
            random.Random(seed),
            now,
            now,
        )
        self.started_at_us = now  # from then on, rights fill up for customers that were not met yet, too
        self.replica, self.is_standalone = settings.replica, not settings.may_gossip
        self.usual_duration_us = [START_OF_AIM * c.latency_objective_us for c in settings.classes]
        self.retry_budget, self.unreachable_share, self.last_attempt_at_us = REPEAT_MOST, 0.0, now
        self.message_allowance = self.messages_per_second = INTAKE_SHARE * settings.peer_messages_per_second

    def start(self) -> list[Action]:
        """The first actions, once the gateway is up."""
        return [SetTimer(INTERVAL, TURN)] + [WatchEndpoints()] * self.settings.polls_endpoint_list

    def handle(self, now: int, event: Event) -> list[Action]:
        """What to do about one event: each goes to the method of its topic."""
        self.now, self.actions = now, []
        if method := getattr(self, f"_{event.topic}", None):  # streams, probes, counter: nothing to do
            method(event)
        return self.actions

    # -- a request arrives, is admitted, and is sent ------------------------------------------------------

    def _request_arrived(self, event: RequestArrived) -> None:
        request = PendingRequest(
            event,
            self.settings.classes[event.request_class],
            self.now + event.time_left_us,
            self.random.random(),
        )
        self.requests[event.request] = request
        self.retry_budget = min(REPEAT_MOST, max(0.0, self.retry_budget) + REPEAT_BUDGET)
        self._advance(request)
        self._drop_idle()

    def _take_arrived(self, event: QuotaRequested) -> None:
        """A take passes the ordinary path of a first send, up to the server."""
        request = PendingRequest(event, self.settings.classes[event.request_class], self.now)
        if self._admits(request):
            self._spend(request.account, event.units)
            self.actions.append(GrantQuota(event.request))
        else:
            self.actions.append(RejectRequest(event.request, 0, over_quota=True))
        self._drop_idle()

    def _advance(self, request: PendingRequest) -> None:
        """The next step of a request that is owed an answer."""
        last_call = request.deadline_at_us - LEAVE
        if self.now >= last_call or len(request.attempts) >= self.settings.max_attempts:
            return self._end(request)
        first = not request.attempts
        if first and not self._admits(request):
            return self._end(request, beyond_quota=True)
        host = self._choose(request)
        if host is None:
            span = min(HOLD, last_call - self.now)
            return self.actions.append(SetTimer(span, request.event.request + 1))
        late = first and self._expected(host, request.event.request_class) > self._patience(request)
        if late and self.now - self.last_attempt_at_us < FORGET:
            return self._end(request)  # else one is let in: only an attempt can show that a jam is over
        return self._send(request, host)

    def _admits(self, request: PendingRequest) -> bool:
        """Quota, open cap and ceiling: the ordinary path of every first send."""
        event = request.event  # the entry is looked up anew: a held request may outlive an idle one
        account = self._account(
            event.customer, event.plan, event.replica_set_start, event.replica_set_size, trusted=True
        )
        plan, request.account = self.settings.plans[account.plan], account
        self._lift(account)
        if plan.ceiling_rate and account.ceiling_tokens < event.units:
            self._tell_keeper(account, 0)
            return False
        if plan.max_in_flight:  # what others approved lately is taken to be out for as long as usual
            others = sum(
                self.now - at < self.usual_duration_us[event.request_class]
                for at in account.peer_admissions_at_us
            )
            if account.in_flight + others >= plan.max_in_flight:
                return False
        room = account.remaining
        if (
            account.unconfirmed and self.replica in account.replica_counts
        ):  # unheard: a share, at least one request
            room = min(room, plan.burst / account.replica_set_size - account.replica_counts[self.replica][1])
        return not plan.rate or (not account.exhausted and room >= event.units)

    def _patience(self, request: PendingRequest) -> float:
        """The longest expected answer time at which a request is let in: it must still be in time."""
        usual = self.usual_duration_us[request.event.request_class]
        return usual + SHED * max(
            0.0, min(request.request_class.latency_objective_us, request.event.time_left_us) - usual
        )

    def _choose(self, request: PendingRequest) -> Endpoint | None:
        """The server that should answer soonest among those that the rules allow for this request."""
        if cold := self._cold_one(request):
            return cold
        ran = [a for a in request.attempts if a.possibly_executed]
        pool = (
            self.endpoints_sharing(ran[0].endpoint, request.request_class.deduplication_scope)
            if ran
            else self.warm_pool.endpoints
        )
        some = pool if len(pool) <= CHOICES else self.random.sample(pool, CHOICES)
        usable = [host for host in some if self._is_warm(host) and self._may_send(request, host)]
        return min(usable, key=lambda host: self._cost(request, host), default=None)

    def _cost(self, request: PendingRequest, host: Endpoint) -> float:
        cost = self._expected(host, request.event.request_class) * (1 + SPREAD * self.random.random())
        cost *= 1 + FAIL_WEIGHT * host.decayed(self.now, FORGET)[1]
        cost *= 1 + FAIL_WEIGHT * self.zone_health[host.entry.zone].decayed(self.now, FORGET)[1]
        return cost * (1 + FAIL_WEIGHT * any(a.endpoint is host for a in request.attempts))

    def _may_send(self, request: PendingRequest, host: Endpoint) -> bool:
        """Rules 2 and 3 for one send."""
        if host.entry.state is not EndpointState.READY:
            return False
        ran = [a for a in request.attempts if a.possibly_executed]
        cls = request.request_class
        if not ran or cls.idempotency is Idempotency.IDEMPOTENT:
            return True
        if (
            cls.idempotency is Idempotency.NOT_IDEMPOTENT
            or self.now >= ran[0].sent_at_us + cls.deduplication_window_us - LEAVE
        ):
            return False
        return host.deduplication_key(cls.deduplication_scope) == ran[0].endpoint.deduplication_key(
            cls.deduplication_scope
        )

    def _is_warm(self, host: Endpoint) -> bool:
        return (
            not host.entry.started_at_us
            or self.now - host.entry.started_at_us >= self.settings.slow_start_duration_us
        )

    def _cold_one(self, request: PendingRequest) -> Endpoint | None:
        """Rule 4: each attempt draws one of all servers; a cold one serves as often as it can."""
        while self.warming_queue and self._is_warm(self.warming_queue[0]):
            self.promote_oldest()
        cold = self.cold_pool.endpoints
        number, chance = divmod(request.sampled_value * (len(cold) + len(self.warm_pool.endpoints)), 1)
        if number >= len(cold):
            return None
        host = cold[int(number)]
        age = max(0, self.now - host.entry.started_at_us) / self.settings.slow_start_duration_us
        ramp = self.settings.slow_start_initial_share + (1 - self.settings.slow_start_initial_share) * age
        return host if chance < COLD_CARE * ramp and self._may_send(request, host) else None

    def _send(self, request: PendingRequest, host: Endpoint) -> None:
        """Every send passes here."""
        if not request.attempts:
            self._spend(request.account, request.event.units)
        if not host.in_flight:
            host.last_active_at_us = self.now
        self.last_attempt_at_us = self.now
        self.start_attempt(request, Attempt(host, self.now, host.in_flight + BASE))
        request.sampled_value = self.random.random()
        self.actions.append(SendAttempt(request.event.request, host.entry.endpoint, request.deadline_at_us))

    # -- what becomes of it -------------------------------------------------------------------------------

    def _attempt_ended(self, event: AttemptEnded) -> None:
        if (event.request, event.attempt) not in self.attempts:
            return
        attempt, kind = self.end_attempt(event.request, event.attempt)
        self._learn(attempt, kind, event)
        attempt.possibly_executed = event.outcome not in (
            Outcome.ENDPOINT_FULL,
            Outcome.CONNECT_FAILED,
            Outcome.NOT_SENT,
        )
        request = self.requests.get(event.request)
        if request and event.answered:
            self._drop(request)
        elif request:  # A budget for repeats: failures must not multiply the load. What never ran is free.
            self.retry_budget -= attempt.possibly_executed
            repeat = (
                self.retry_budget >= 0 and request.request_class.idempotency is not Idempotency.NOT_IDEMPOTENT
            )
            (self._advance if repeat or not attempt.possibly_executed else self._end)(request)

    def _end(self, request: PendingRequest, beyond_quota: bool = False) -> None:
        """Every final answer of ours passes here: refuse where a retry is harmless, else fail."""
        cls = request.request_class
        ran, number = any(a.possibly_executed for a in request.attempts), request.event.request
        repeats = cls.idempotency is Idempotency.IDEMPOTENT or (
            cls.idempotency is Idempotency.IDEMPOTENT_WITH_KEY
            and cls.deduplication_scope is DeduplicationScope.ALL
        )
        harmless = repeats or not ran
        wait = self._back_in(request) if beyond_quota and request.account else 0
        self.actions.append(RejectRequest(number, wait, beyond_quota) if harmless else FailRequest(number))
        self._drop(request)

    def _back_in(self, request: PendingRequest) -> int:
        """When the units that a request was refused for are back, as far as is known here."""
        account, units = request.account, request.event.units
        plan, span = self.settings.plans[account.plan], 0.0
        if plan.rate:
            wanted = max(units, REOPEN * plan.burst) if account.exhausted else units
            span = (wanted - account.remaining) / plan.rate
        if plan.ceiling_rate:
            part = self._ceiling_part(account)  # none where we are no member: nothing comes back here
            span = max(span, (units - account.ceiling_tokens) / (plan.ceiling_rate * part)) if part else 0.0
        wait = max(0, int(span * SECOND))
        return (
            wait
            if wait <= min(self.settings.max_retry_after_us, request.request_class.latency_objective_us / 2)
            else 0
        )

    def _drop(self, request: PendingRequest) -> None:
        """Nothing more is owed: forget the request and call off what is still out."""
        self.requests.pop(request.event.request, None)
        if self.settings.may_cancel and request.attempts_in_flight:
            self.actions.append(CancelAttempt(request.event.request, len(request.attempts) - 1))

    def _client_gone(self, event: ClientDisconnected) -> None:
        if request := self.requests.get(event.request):
            self._drop(request)

    def _timer_fired(self, event: TimerFired) -> None:
        request = self.requests.get(event.token - 1)
        if event.token == TURN:
            self._turn()
        elif event.token == ASKED:
            self._answer_due()
        elif request and not request.attempts_in_flight:
            self._advance(request)

    # -- servers ------------------------------------------------------------------------------------------

    def _server_listed(self, event: EndpointListReceived) -> None:
        for host in (
            self.apply_endpoint_list(event, self.now) if event.kind is not EndpointListKind.FAILED else ()
        ):
            (self.warm_pool if self._is_warm(host) else self.cold_pool).add(host)
            self.warming_queue.append(host)

    def _expected(self, host: Endpoint, kind: int) -> float:
        """The expected answer time: what requests met there, how the load changed, how long it is quiet."""
        fleet, _ = self.fleet_health.decayed(self.now, FORGET)
        slow, _ = host.decayed(self.now, FORGET, fleet)  # not met lately: like all the others
        time = self.usual_duration_us[kind] * slow * (host.in_flight + BASE) / host.baseline_load
        if host.in_flight:  # guards against a stalling or dead server: it answers nobody
            time = max(time, self.now - host.last_active_at_us)
        return time

    def _learn(self, attempt: Attempt, kind: int, event: AttemptEnded) -> None:
        """Each outcome tells of its server; a mark fades unless renewed, so that traffic returns gently."""
        host, zone = attempt.endpoint, self.zone_health[attempt.endpoint.entry.zone]
        for known in (host, zone, self.fleet_health):
            known.decay(self.now, FORGET)
        if event.outcome in (Outcome.SERVED, Outcome.ERROR, Outcome.ENDPOINT_FULL):
            host.last_active_at_us = self.now
        if event.outcome in (Outcome.SERVED, Outcome.TIMED_OUT):
            # Guards against a jam of all servers, where a gateway meets each of them too seldom to learn. A
            # server that answered nobody meanwhile may be gone, and tells nothing of the others.
            silent = event.outcome is Outcome.TIMED_OUT and host.last_active_at_us <= attempt.sent_at_us
            for known in (host,) if silent else (host, self.fleet_health):
                known.slowness += LEARN * (
                    min(SLOW_MOST, event.duration_us / self.usual_duration_us[kind]) - known.slowness
                )
            host.baseline_load += LEARN * (attempt.load - host.baseline_load)
            # Capped, so that in a jam an idle server still seems worth a try and the end of it is noticed.
            most = START_OF_AIM * self.settings.classes[kind].latency_objective_us
            self.usual_duration_us[kind] = min(
                most,
                self.usual_duration_us[kind] + LEARN / 5 * (event.duration_us - self.usual_duration_us[kind]),
            )
        for known in (host, zone):  # in a cut each server of the zone would else be tried in turn
            if event.outcome is Outcome.SERVED:
                known.failure_score /= 2
            elif event.outcome not in (Outcome.CANCELLED, Outcome.NOT_SENT):
                known.failure_score = min(known.failure_score + 1, 1 / LEARN)  # soon forgiven

    # -- counts -------------------------------------------------------------------------------------------

    def _account(self, customer: int, plan: int, first: int, size: int, trusted: bool) -> Account:
        account, key = (
            self.accounts.get(customer),
            (plan, first, max(1, min(size, self.settings.replica_count))),
        )
        if account is None:
            unheard = key[2] > 1 and not self.is_standalone  # else there is nobody to hear from
            account = Account(
                customer, key, self.settings.plans[plan].burst, self.started_at_us, unconfirmed=unheard
            )
            self.accounts[customer] = account
            self.idle_queue.append(customer)
        elif trusted:  # a request goes before a peer
            account.key = key
        return account

    def _lift(self, account: Account) -> None:
        """Raise the limit by the time gone; room stays within the burst."""
        plan, span, account.refilled_at_us = (
            self.settings.plans[account.plan],
            self.now - account.refilled_at_us,
            self.now,
        )
        if plan.ceiling_rate:
            part = self._ceiling_part(account)
            gained = plan.ceiling_rate * part * span / SECOND
            account.ceiling_tokens = min(plan.ceiling_burst * part, account.ceiling_tokens + gained)
        unheard = 1.0 if self.is_standalone else self.unreachable_share
        share = (
            1 - unheard * (account.replica_set_size - 1) / account.replica_set_size
            if unheard >= UNHEARD_LEAST
            else 1.0
        )
        burst = plan.burst * share  # what unheard gateways may spend is left to them
        # Debt: what went beyond the quota took nothing from the true store, so the limit never lies below.
        limit = max(account.spent_total, account.limit + plan.rate * share * span / SECOND)
        account.limit = min(limit, account.spent_total + burst)
        account.exhausted = account.remaining < (REOPEN if account.exhausted else CLOSE) * burst
        if not account.exhausted:
            self.exhausted_customers.pop(account.customer, None)
        elif account.customer not in self.exhausted_customers:
            self.exhausted_customers[account.customer] = 0

    def _ceiling_part(self, account: Account) -> float:
        """Rule 5: each gateway alone fills its part of the ceiling's store, from nothing at its start. Half
        is the first keeper's, who gives of it what others want: it takes that off before it tells them."""
        if self._place(self.replica, account.replica_set_start) >= account.replica_set_size:
            return 0.0  # no member: parts of an old set would be rights beside those of the new one
        return (1 + account.replica_set_size * (self._keeper(account) == self.replica)) / (
            2 * account.replica_set_size
        )

    def _spend(self, account: Account, units: float) -> None:
        start, value = account.replica_counts.get(self.replica, (self.now // MS // gossip_codec.TICK, 0.0))
        account.spent_total += self._count(account, self.replica, start, value + units)
        account.ceiling_tokens -= units if self.settings.plans[account.plan].ceiling_rate else 0.0
        if account.replica_set_size > 1 and not self.is_standalone:
            self.pending_changes[account.customer] = None
            self._tell_keeper(account, 0)

    def _counted(self, event: CountRecovered) -> None:
        """Guards against units lost in an upgrade or a restart: our own count, too, only grows."""
        account = self._account(
            event.customer, event.plan, event.replica_set_start, event.replica_set_size, trusted=False
        )
        self._lift(account)
        account.spent_total += self._count(account, self.replica, event.start, event.value)

    def _set_moved(self, event: ReplicaSetChanged) -> None:
        """Rule 5: parts begin from nothing: a move creates no rights. The new keeper hears what was spent."""
        account = self._account(
            event.customer, event.plan, event.replica_set_start, event.replica_set_size, trusted=True
        )
        self._lift(account)
        account.ceiling_tokens, account.requested_tokens = 0.0, 0.0
        if account.replica_counts and account.replica_set_size > 1 and not self.is_standalone:
            self.pending_changes[account.customer] = None
            self._tell_keeper(account, 0)

    def _count(self, account: Account, rank: int, start: int, value: float) -> float:
        """Newer start, then larger value; what was spent in an earlier life stays spent. The growth."""
        known = account.replica_counts.get(rank, (-1, 0.0))
        if (start, value) <= known:
            return 0.0
        account.replica_counts[rank] = start, value
        account.recently_changed = (*(r for r in account.recently_changed if r != rank), rank)[-NEWS_MOST:]
        growth = value - known[1] if start == known[0] else value
        account.counted_total += growth
        return growth

    # -- gossip -------------------------------------------------------------------------------------------

    def _keeper(self, account: Account, number: int = 0) -> int:
        return self._member(account, (account.customer * KEEPER_STRIDE >> 16) + number)

    def _member(self, account: Account, place: int) -> int:
        return (account.replica_set_start + place % account.replica_set_size) % self.settings.replica_count

    def _tell_keeper(self, account: Account, number: int) -> None:
        """Every approval is told to one gateway of the set, which adds them up; the next one stands in."""
        rank = self._keeper(account, number)
        if number >= min(KEEPERS, account.replica_set_size):
            account.unconfirmed = False  # nobody answers: the part of those unheard is left to them instead
            return
        if rank != self.replica:
            self.pending_deltas.setdefault(rank, {})[account.customer] = number
            self._pay()
        elif account.unconfirmed:
            self._tell_keeper(account, number + 1)
        else:
            self._keep(account)

    def _pay(self) -> None:
        """Guards against more approvals than messages: what a keeper is owed waits for the intake, and goes
        with all else that it is owed. The keeper that waits for longest is told first."""
        if not self.pending_deltas or not self._allowed(1 + RESERVE * self.messages_per_second):
            return
        rank = next(iter(self.pending_deltas))
        owed = self.pending_deltas.pop(rank)
        for customer in [one for one in islice(owed, LOOK_AT) if one not in self.accounts]:
            del owed[customer]
        first = [(self.accounts[one], owed[one]) for one in islice(owed, LOOK_AT) if one in self.accounts]
        rows = gossip_codec.fit(self._owed_row(account) for account, _ in first)
        told, heard = first[: len(rows)], self.now - self.last_seen_at_us.get(rank, 0) <= ANSWER_WITHIN
        asks = [
            (a.customer, number) for a, number in told if a.unconfirmed or a.requested_tokens or not heard
        ]
        for account, _ in told:
            del owed[account.customer]
        if owed:
            self.pending_deltas[rank] = owed
        if rows:
            self._tell(rank, rows, asks, keep=True)

    def _owed_row(self, account: Account) -> bytes:
        self._lift(account)
        most = self.settings.plans[account.plan].ceiling_burst * self._ceiling_part(account)
        account.requested_tokens = max(0.0, most - account.ceiling_tokens)
        return self._row(account, 0, account.requested_tokens)

    def _answer_due(self) -> None:
        """Guards against cuts and dead keepers: no answer in time is told to the next keeper."""
        at, rank, customer, number = self.awaited_replies.popleft()
        if self.now - at > 2 * ANSWER_WITHIN:  # we stood still ourselves: nothing is known of the other
            return
        silent = self.last_seen_at_us.get(rank, -1) < at
        if not self.awaited_replies or self.awaited_replies[0][:2] != (
            at,
            rank,
        ):  # one message may ask for many
            self.unreachable_share += HEAR * (silent - self.unreachable_share)
        if silent and number >= 0 and (account := self.accounts.get(customer)):
            self._tell_keeper(account, number + 1)

    def _keep(self, account: Account) -> None:
        """A customer was fast, its room is low: its set is told at once, and again if some miss it."""
        plan = self.settings.plans[account.plan]
        if (
            account.exhausted
            and plan.rate * (self.now - account.announced_at_us) > CLOSE * plan.burst * SECOND
        ):
            account.announced_at_us = self.now
            self._hand_on(account, account.replica_set_size - 1)

    def _hand_on(self, account: Account, reach: int) -> None:
        """Tell the next so many of the set: a few of them, each handing on to a part of the rest."""
        place = self._place(self.replica, account.replica_set_start)
        step = -(-reach // FAN)
        done, part = 0, 1 + self.random.randrange(step) if reach else 0
        while done < reach:
            part = min(part, reach - done)
            # Guards against pushes that leave nothing to keepers: those of a large set take many messages.
            if account.replica_set_size <= FAN or self._allowed(1 + 2 * RESERVE * self.messages_per_second):
                self._tell(self._member(account, place + 1 + done), [self._row(account, part - 1)])
            done, part = done + part, step

    def _turn(self) -> None:
        """The pending changes that concern one random peer, those of the fastest customers first."""
        self.actions.append(SetTimer(INTERVAL, TURN))
        for _ in range(min(FAN, len(self.pending_deltas))):
            self._pay()
        if not self.pending_changes:
            return
        account = self.accounts[next(iter(self.pending_changes))]
        if account.replica_set_size == 1:  # its set shrank since: nobody is to be told
            del self.pending_changes[account.customer]
            return
        place = self._place(self.replica, account.replica_set_start)
        rank = self._member(account, place + 1 + self.random.randrange(account.replica_set_size - 1))
        looked = [self.accounts[customer] for customer in islice(self.pending_changes, LOOK_AT)]
        shared = [a for a in looked if self._place(rank, a.replica_set_start) < a.replica_set_size]
        shared.sort(key=lambda a: a.remaining / (self.settings.plans[a.plan].burst or 1.0))
        rows = gossip_codec.fit(self._row(a, 0) for a in shared)
        if self._tell(rank, rows, [(0, -1)]):
            for told in shared[: len(rows)]:
                del self.pending_changes[told.customer]

    def _place(self, rank: int, first: int) -> int:
        return (rank - first) % self.settings.replica_count

    def _allowed(self, least: float = 1.0) -> bool:
        gained = self.messages_per_second * (self.now - self.allowance_refilled_at_us) / SECOND
        self.message_allowance, self.allowance_refilled_at_us = (
            min(self.messages_per_second, self.message_allowance + gained),
            self.now,
        )
        return self.message_allowance >= least

    def _tell(self, rank: int, rows: list[bytes], asks: list[tuple[int, int]] = (), keep=False) -> bool:
        """Every message passes here: all that one gateway sends stays below what one takes in. What is asked
        is told as customer and number of the keeper that is tried."""
        if not self._allowed():
            return False
        self.message_allowance -= 1
        for customer, number in asks:
            self.awaited_replies.append((self.now, rank, customer, number))
            self.actions.append(SetTimer(ANSWER_WITHIN, ASKED))
        body = gossip_codec.pack(self.now // MS, bool(asks), keep, self._also(rank, rows))
        self.actions.append(SendPeerMessage(rank, body))
        return True

    def _also(self, rank: int, rows: list[bytes]) -> list[bytes]:
        """Guards against more pushes than messages: the room that a message has left tells of customers that
        are closed, the latest first. Sets that a push reaches at once need no more of it. Bytes have a price:
        each gateway tells of one as often as its set needs to hear of it all, the logarithm of its size."""
        latest = list(islice(reversed(self.exhausted_customers.items()), LOOK_AT))
        due = (
            account
            for one, told in latest
            if told < math.log((account := self.accounts[one]).replica_set_size)
        )
        near = (
            a
            for a in due
            if a.replica_set_size > FAN and self._place(rank, a.replica_set_start) < a.replica_set_size
        )
        # Its row lifts an account, which may open it.
        brief = ((a, row) for a in near if (row := self._row(a, 0, brief=True)) and a.exhausted)
        more = list(islice(brief, ALSO_MOST))
        found = gossip_codec.fit((*rows, *(row for _, row in more)))
        for account, _ in more[: len(found) - len(rows)]:
            self.exhausted_customers[account.customer] += 1
        return found

    def _row(self, account: Account, reach: int, rights: float = 0.0, brief: bool = False) -> bytes:
        """One customer's row; a brief one has no counts, its total is enough to close the customer there."""
        self._lift(account)
        counts = (
            () if brief else tuple((rank, *account.replica_counts[rank]) for rank in account.recently_changed)
        )
        row = gossip_codec.CustomerRow(
            account.customer, *account.key, reach, account.remaining, account.spent_total, rights, counts
        )
        return gossip_codec.pack_row(row, self.now // MS, self.settings.replica_count)

    def _peer_message(self, event: PeerMessageReceived) -> None:
        message = gossip_codec.unpack(
            event.body, self.now // MS, self.settings.replica_count, len(self.settings.plans)
        )
        age = self.now - message.sent_at_ms * MS if message else LATE_MOST
        if self.is_standalone or not 0 <= event.sender < self.settings.replica_count or abs(age) >= LATE_MOST:
            return
        self.last_seen_at_us[event.sender] = self.now
        merged = []
        for row in message.rows:
            known = None if row.replica_counts or row.tokens else self.accounts.get(row.customer)
            if known and not known.unconfirmed and row.spent_total <= known.spent_total:
                continue  # a brief row that tells nothing new: most are heard more than once
            if self._place(self.replica, row.replica_set_start) < row.replica_set_size:
                account = self._merge(row, event.sender, max(0, age), message.to_token_owner)
                self._hand_on(account, min(row.forward_count, account.replica_set_size - 1))
                if not (row.replica_counts or row.tokens):
                    continue  # a brief row came along by chance: it asks for nothing
                merged.append((account, row.tokens if message.to_token_owner else 0.0))
                if message.to_token_owner:
                    self._keep(account)
        if message.wants_reply and self._allowed():  # rights that are given are off our part
            rows = (self._row(account, 0, self._give(account, wanted)) for account, wanted in merged)
            self._tell(event.sender, gossip_codec.fit(rows))

    def _give(self, account: Account, wanted: float) -> float:
        """Rights of a ceiling, off our part before they are told, so that loss is safe."""
        given = min(account.ceiling_tokens, wanted) if self._keeper(account) == self.replica else 0.0
        account.ceiling_tokens -= given
        return given

    def _merge(self, row: gossip_codec.CustomerRow, sender: int, age: int, keep: bool) -> Account:
        """Newer start, then larger value; the larger limit."""
        account = self._account(
            row.customer, row.plan, row.replica_set_start, row.replica_set_size, trusted=False
        )
        account.unconfirmed, plan = False, self.settings.plans[account.plan]
        self._lift(account)
        told, given = 0.0, 0.0 if keep else min(row.tokens, account.requested_tokens)
        account.ceiling_tokens, account.requested_tokens = (
            account.ceiling_tokens + given,
            account.requested_tokens - given,
        )
        for rank, start, value in row.replica_counts:
            if rank != self.replica:  # our own count is ours; an earlier life's is within the total
                grown = self._count(account, rank, start, value)
                told += grown * (rank == sender and keep)
                if grown:
                    account.peer_admissions_at_us = (*account.peer_admissions_at_us, self.now)[
                        -max(1, plan.max_in_flight) :
                    ]
        if told:  # what is spread reaches all without
            self.pending_changes[account.customer] = None
        # The total tells of counts that did not fit or were lost, so that a gateway that missed them knows.
        account.spent_total = max(account.spent_total + told, account.counted_total, row.spent_total)
        account.limit = max(account.limit, row.spent_total + row.remaining + plan.rate * age / SECOND)
        self._lift(account)
        return account

    def _drop_idle(self) -> None:
        """Full and idle accounts say nothing: forgotten a few at a time, one-off customers cost no memory."""
        for _ in range(min(IDLE_LOOKS, len(self.idle_queue))):
            customer = self.idle_queue.popleft()
            self._lift(account := self.accounts[customer])
            plan = self.settings.plans[account.plan]
            most = plan.ceiling_burst * self._ceiling_part(account)  # met anew, it has its part
            burst = plan.burst / (account.replica_set_size if self.is_standalone else 1)
            full = account.ceiling_tokens >= most and account.remaining >= burst - ROUNDING
            if account.in_flight or account.unconfirmed or not full:
                self.idle_queue.append(customer)
                continue
            del self.accounts[customer]
            self.pending_changes.pop(customer, None)
            self.exhausted_customers.pop(customer, None)
