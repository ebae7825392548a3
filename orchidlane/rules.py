"""All decisions of a gateway; its types, events and actions are in ``orchidlane/interface.py``.

A request's life: arrived -> admitted by its customer's counts -> sent to the server that should answer
soonest -> outcome -> perhaps another attempt -> exactly one final answer. Every send passes ``_send``, every
answer of ours ``_end``. Quotas are grow-only counts by gateway, spread by gossip; see docs/design.md.
"""

from __future__ import annotations

import random
from itertools import islice

from . import interface as api
from . import messages
from .interface import Effect, Group, ListKind, Outcome, Phase
from .state import Account, Attempt, Host, Memory, Peer, Request, apply_list

MS, SECOND = 1_000, 1_000_000  # microseconds

# Gossip
INTAKE_SHARE = 0.8  # of a peer's intake that all senders together may fill: the rest is for jitter
INTERVAL_LEAST = 30 * MS  # between two gossip turns: below it messages say little more
SILENT_AFTER = 10  # mean gossip gaps of one peer without a word: rarely chance, soon enough for a cut
BEATS = 4  # words to a peer in the time after which it would take us for silent
PEER_COST = 0.012  # of the worth asked for, at most, that messages may cost
PURSE_MOST = 30.0  # full messages saved up
RECOVER_FOR = 1_500 * MS  # a new gateway waits so long for its peers' counts before it tells its own
LOOK_AT = 32  # customers looked at for one message or for being idle, to bound the work
FUTURE_MOST = 1_000  # ms that a peer's clock may be ahead before its message is not believed
TIGHT = 0.5  # of the burst: with less room than this a customer's counts leave at once
MARGIN = 0.5  # requests for each peer of the set that may be approved unheard, times what one beyond costs

# Servers
BASE = 2.0  # requests a server is taken to hold besides those known: keeps first guesses level
START_OF_AIM = 0.25  # of the aim that an idle server is first thought to need
LEARN = 0.15  # weight of the newest answer time
FORGET = 3 * SECOND  # after this a slow server's mark has faded to a third: gentle return
SLOW_MOST = 8.0  # times the idle answer time that one answer may count for
FAIL_WEIGHT = 3.0  # an attempt that failed makes a server look this much slower
FAIL_MOST = 4.0  # failures remembered at most
ZONE_WEIGHT = 4.0  # times the charge for crossing zones, by which a far server looks slower
CHOICES = 20  # servers compared for one request
SPREAD = 0.1  # random part of a comparison, against herding of gateways
COLD_CARE = 0.9  # of the fair share of a cold server's least capacity that is used
GAP_LEARN = 0.02  # weight of the newest gap between our sends

# Attempts
LEAVE = 30 * MS  # before the client's time is up, a held request is ended
HOLD = 20 * MS  # between two looks at a request that has no server
COPY_AFTER = 0.4  # of the aim without an answer: a second copy may pay
COPY_BUDGET = 0.05  # further attempts earned by each request: no retry storms
COPY_MOST = 5.0  # further attempts saved up
SHED_LOW, SHED_HIGH = 0.05, 0.2  # of the aim beyond the usual time: slower, the cheapest / dearest is refused
TURN = 0  # the token of the gossip timer; a request's timer has its id + 1


class Gateway(Memory):
    """One gateway's decisions: feed events with the clock, carry out the actions."""

    def __init__(self, settings: api.Settings, seed: int, now: int) -> None:
        super().__init__()
        self.s, self.random, self.now = settings, random.Random(seed), now
        self.birth, self.rank, self.new = now, settings.rank, True
        self.usual = [START_OF_AIM * c.aim for c in settings.classes]
        self.budget, self.purse = COPY_MOST, PURSE_MOST
        self.gap, self.last_send, self.dearest = float(SECOND), now, 0.0
        peers = [r for r in range(settings.gateways) if r != self.rank] if settings.may_tell_peers else []
        self.peers = {r: Peer(heard=now - SILENT_AFTER * SECOND, told=now, filled=now) for r in peers}
        self.per_peer = INTAKE_SHARE * settings.peer_intake / max(1, settings.gateways - 1)
        self.interval = int(max(INTERVAL_LEAST, SECOND / max(0.1, self.per_peer * len(peers))))
        self.silent_after = SILENT_AFTER * self.interval * max(1, len(peers))

    def start(self) -> list[api.Action]:
        """The first actions, once the gateway is up."""
        return [api.SetTimer(self.interval, TURN)] + [api.AskList()] * self.s.asks_for_list

    def handle(self, now: int, event: api.Event) -> list[api.Action]:
        """What to do about one event: each goes to the method of its topic."""
        self.now, self.actions = now, []
        if method := getattr(self, f"_{event.topic}", None):  # neither probes nor the counter are asked
            method(event)
        return self.actions

    # -- a request arrives, is admitted, and is sent ------------------------------------------------------

    def _request_arrived(self, event: api.RequestArrived) -> None:
        request = Request(event, self.s.classes[event.kind], self.now + event.time_left)
        self.requests[event.request] = request
        self.budget = min(COPY_MOST, max(0.0, self.budget) + COPY_BUDGET)
        self.purse = min(PURSE_MOST, self.purse + PEER_COST / max(self.s.peer_charge, PEER_COST / PURSE_MOST))
        self._advance(request)

    def _advance(self, request: Request) -> None:
        """The next step of a request that is owed an answer."""
        out = request.out
        last_call = request.until - LEAVE
        if not out and (self.now >= last_call or len(request.attempts) >= self.s.max_attempts):
            return self._end(request)
        first = not request.attempts
        if first and not self._admits(request):
            return self._end(request)
        host = self._choose(request)
        if host is None:
            if not out:
                self._look_again(request, min(HOLD, last_call - self.now))
            return None
        if first and self._expected(host, request.event.kind) > self._patience(request):
            return self._end(request)
        return self._send(request, host)

    def _admits(self, request: Request) -> bool:
        """Quota, open cap and ceiling: the ordinary path of every first send."""
        event = request.event  # the entry is looked up anew: a held request may outlive an idle one
        account = self._account(event.customer, event.plan, event.set_first, event.set_size, trusted=True)
        plan, request.account = self.s.plans[account.plan], account
        self._lift(account)
        if plan.ceiling_rate and account.ceiling < event.units:
            return False
        if plan.open:
            fresh = self.now - self.silent_after // 4
            others = sum(n for n, at in account.peers_out.values() if at >= fresh)
            if account.out + others >= plan.open:
                return False
        heard = account.size * (1 - account.unheard) - 1  # peers whose approvals are only just under way
        margin = plan.beyond_costs * min(plan.burst / 4, MARGIN * event.units * heard)
        held = account.held + margin if self.rank in account.counts else 0.0  # a new one gets one request
        return not plan.rate or account.room - held >= event.units

    def _patience(self, request: Request) -> float:
        """The longest expected answer time at which a request is let in: longer the more its work earns."""
        event, usual = request.event, self.usual[request.event.kind]
        earns = request.cls.worth * self.s.plans[event.plan].price * event.units / usual
        self.dearest = max(self.dearest * 0.999, earns)
        share = SHED_LOW + (SHED_HIGH - SHED_LOW) * earns / self.dearest
        return usual + share * max(0.0, min(request.cls.aim, event.time_left) - usual)

    def _choose(self, request: Request) -> Host | None:
        """The server that should answer soonest among those that the rules allow for this request."""
        some = self.ready if len(self.ready) <= CHOICES else self.random.sample(self.ready, CHOICES)
        usable = [host for host in some if self._may_send(request, host)]
        if not usable:  # a fleet that is mostly cold or gone: a sample may miss the few that can serve
            usable = [host for host in self.ready if self._may_send(request, host)]
        return min(usable, key=lambda host: self._cost(request, host), default=None)

    def _cost(self, request: Request, host: Host) -> float:
        cost = self._expected(host, request.event.kind) * (1 + SPREAD * self.random.random())
        cost *= 1 + ZONE_WEIGHT * self.s.cross_zone_charge * (host.entry.zone != self.s.zone)
        return cost * (1 + FAIL_WEIGHT * any(a.host is host for a in request.attempts))

    def _may_send(self, request: Request, host: Host) -> bool:
        """Rules 2, 3 and 4 for one send."""
        if host.entry.phase is not Phase.READY or not self._cold_allows(host):
            return False
        ran = [a for a in request.attempts if a.ran]
        if not ran:
            return True
        cls = request.cls
        if any(a.out for a in ran) and (not self.s.may_copy or any(a.out and a.host is host for a in ran)):
            return False
        if cls.effect is Effect.SAFE:
            return True
        if cls.effect is Effect.UNSAFE or self.now >= ran[0].sent + cls.window - LEAVE:
            return False
        return host.shares(cls.group) == ran[0].host.shares(cls.group)

    def _cold_allows(self, host: Host) -> bool:
        """Rule 4: a cold server gets what its least capacity allows of a warm one's share of our sends."""
        age = self.now - host.entry.launched
        if not host.entry.launched or age >= self.s.warm_within:
            return True
        ramp = self.s.cold_from + (1 - self.s.cold_from) * max(0, age) / self.s.warm_within
        gap = max(self.gap, self.now - self.last_send) * len(self.ready)
        host.credit = min(1.0, host.credit + COLD_CARE * ramp * (self.now - host.credited) / gap)
        host.credited = self.now
        return host.credit >= 1.0

    def _send(self, request: Request, host: Host) -> None:
        """Every send passes here."""
        event, account = request.event, request.account
        if not request.attempts:
            self._spend(event.customer, account, event.units)
        self.gap, self.last_send = self.gap + GAP_LEARN * (self.now - self.last_send - self.gap), self.now
        host.credit -= 1
        if not host.out:
            host.active = self.now
        attempt = Attempt(host, self.now, host.out + BASE)
        host.out += 1
        account.out += 1
        self.attempts[event.request, len(request.attempts)] = attempt, event.kind, account
        request.attempts.append(attempt)
        self.actions.append(api.Send(event.request, host.entry.server, request.until))
        if request.cls.effect is not Effect.UNSAFE and self.s.may_copy:
            self._look_again(request, int(COPY_AFTER * request.cls.aim))

    def _look_again(self, request: Request, span: int) -> None:
        self.actions.append(api.SetTimer(max(1, span), request.event.request + 1))

    # -- what becomes of it -------------------------------------------------------------------------------

    def _attempt_ended(self, event: api.AttemptEnded) -> None:
        known = self.attempts.pop((event.request, event.attempt), None)
        if known is None:
            return
        attempt, kind, account = known
        self._learn(attempt, kind, event)
        attempt.out = False
        attempt.ran = event.outcome not in (Outcome.FULL, Outcome.NOT_CONNECTED, Outcome.NEVER_SENT)
        account.out -= 1
        request = self.requests.get(event.request)
        if request and event.answered:
            self._drop(request)
        elif request and not request.out:
            (self._advance if self._may_repeat(request) else self._end)(request)

    def _may_repeat(self, request: Request) -> bool:
        """A budget for further attempts: failures must not multiply the load. What never ran is free."""
        if not request.attempts[-1].ran:
            return True
        self.budget -= 1
        return self.budget >= 0 and request.cls.effect is not Effect.UNSAFE

    def _end(self, request: Request) -> None:
        """Every final answer of ours passes here: refuse where a retry is harmless, else fail."""
        cls = request.cls
        ran, number = any(a.ran for a in request.attempts), request.event.request
        repeats = cls.effect is Effect.SAFE or (cls.effect is Effect.KEYED and cls.group is Group.ALL)
        self.actions.append(api.Refuse(number, 0) if repeats or not ran else api.Fail(number))
        self._drop(request)

    def _drop(self, request: Request) -> None:
        """Nothing more is owed: forget the request and call off what is still out."""
        self.requests.pop(request.event.request, None)
        if self.s.may_cancel:
            for number, attempt in enumerate(request.attempts):
                if attempt.out:
                    self.actions.append(api.Cancel(request.event.request, number))

    def _stream_started(self, event: api.StreamStarted) -> None:
        self.requests.pop(event.request, None)

    def _client_gone(self, event: api.ClientGone) -> None:
        if request := self.requests.get(event.request):
            self._drop(request)

    def _timer_fired(self, event: api.TimerFired) -> None:
        if event.token == TURN:
            return self._turn()
        request = self.requests.get(event.token - 1)
        if request is None:
            return None
        out = request.out
        more = len(request.attempts) < self.s.max_attempts and self.now < request.until - LEAVE
        if not out:
            self._advance(request)
        # A second copy, where the first one's server has answered nobody since: it stalls or died.
        elif more and len(out) == 1 and out[0].host.active <= out[0].sent and self.budget >= 1:
            self.budget -= 1
            self._advance(request)
        return None

    # -- servers ------------------------------------------------------------------------------------------

    def _server_listed(self, event: api.ServerListed) -> None:
        if event.kind is not ListKind.FAILED:
            self.ready = apply_list(self.hosts, event, self.now)

    def _expected(self, host: Host, kind: int) -> float:
        """The expected answer time: what requests met there, how the load changed, how long it is quiet."""
        slow, fails = host.marks(self.now, FORGET)
        time = self.usual[kind] * slow * (1 + FAIL_WEIGHT * fails) * (host.out + BASE) / host.typical
        if host.out:  # guards against a stalling or dead server: it answers nobody
            time = max(time, self.now - host.active)
        return time

    def _learn(self, attempt: Attempt, kind: int, event: api.AttemptEnded) -> None:
        """Each outcome tells of its server; a mark fades unless renewed, so that traffic returns gently."""
        host = attempt.host
        host.out -= 1
        host.slow, host.fails = host.marks(self.now, FORGET)
        host.seen = self.now
        if event.outcome in (Outcome.SERVED, Outcome.ERROR, Outcome.FULL):
            host.active = self.now
        if event.outcome in (Outcome.SERVED, Outcome.TIMED_OUT):
            host.slow += LEARN * (min(SLOW_MOST, event.took / self.usual[kind]) - host.slow)
            host.typical += LEARN * (attempt.load - host.typical)
            # Capped, so that in a jam an idle server still seems worth a try and the end of it is noticed.
            most = START_OF_AIM * self.s.classes[kind].aim
            self.usual[kind] = min(most, self.usual[kind] + LEARN / 5 * (event.took - self.usual[kind]))
        if event.outcome is Outcome.SERVED:
            host.fails /= 2
        elif event.outcome not in (Outcome.CANCELLED, Outcome.NEVER_SENT):
            host.fails = min(FAIL_MOST, host.fails + 1)

    # -- counts -------------------------------------------------------------------------------------------

    def _account(self, customer: int, plan: int, first: int, size: int, trusted: bool) -> Account:
        account, key = self.accounts.get(customer), (plan, first, size)
        if account is None or (trusted and key != account.key):  # a request goes before a peer
            ranks = [(first + i) % self.s.gateways for i in range(min(size, self.s.gateways))]
            peers = tuple(r for r in ranks if r in self.peers)
            if account is None:
                account = Account(key, peers, self.s.plans[plan].burst, self.now)
                account.ceiling = self._ceiling_share(account, self.now - self.birth)
                self.accounts[customer] = account
                self.idle_queue.append(customer)
            account.key, account.peers = key, peers
        return account

    def _ceiling_share(self, account: Account, span: int, has: float = 0.0) -> float:
        """Rule 5: each gateway alone fills its share of the ceiling's store, from nothing at its start."""
        plan = self.s.plans[account.plan]
        most = plan.ceiling_burst / account.size
        return min(most, has + plan.ceiling_rate / account.size * span / SECOND)

    def _unheard(self, account: Account) -> float:
        """The part of the set that has not been heard lately, or not yet since it or we started."""
        heard = sum(self.peers[r].synced and not self._silent(self.peers[r]) for r in account.peers)
        return max(0, account.size - 1 - heard) / account.size

    def _silent(self, peer: Peer) -> bool:
        return self.now - peer.heard > self.silent_after

    def _lift(self, account: Account) -> None:
        """Raise the limit by the time gone; room stays within the burst; hold back what others may spend."""
        plan, span, account.risen = self.s.plans[account.plan], self.now - account.risen, self.now
        account.ceiling = self._ceiling_share(account, span, account.ceiling)
        used = account.used
        account.limit += plan.rate * span / SECOND
        unheard = self._unheard(account)
        may_spend = plan.rate * span / SECOND if account.unheard else min(plan.burst, account.limit - used)
        account.held = account.held + unheard * max(0.0, may_spend) if unheard else 0.0
        account.unheard = unheard
        most = used + account.held + plan.burst * (1 - unheard)
        # Debt: what went beyond the quota took nothing from the true store, so the limit never lies below.
        account.limit = min(max(account.limit, used), max(used, most))

    def _spend(self, customer: int, account: Account, units: float) -> None:
        plan = self.s.plans[account.plan]
        start, value = account.counts.get(self.rank, (self.now // MS, 0.0))
        account.counts[self.rank] = start, value + units
        account.ceiling -= units if plan.ceiling_rate else 0.0
        account.approved = (*account.approved[-1:], self.now)
        fast = len(account.approved) > 1 and (self.now - account.approved[0]) * plan.rate < units * SECOND
        self._changed(customer, account, 1 << self.rank, None)
        if fast or account.room < TIGHT * plan.burst or plan.open:
            for rank in account.peers:
                self._tell(rank)

    def _changed(self, customer: int, account: Account, bits: int, teller: int | None) -> None:
        for peer in [self.peers[r] for r in account.peers if r != teller]:
            peer.pending[customer] = peer.pending.get(customer, 0) | bits

    # -- gossip -------------------------------------------------------------------------------------------

    def _turn(self) -> None:
        self.actions.append(api.SetTimer(self.interval, TURN))
        late = [r for r, p in self.peers.items() if self.now - p.told >= self.silent_after // BEATS]
        changed = [r for r, p in self.peers.items() if p.pending]
        if late or changed:
            self._tell(self.random.choice(late or changed), bool(late))
        self._drop_idle()

    def _tell(self, rank: int, due: bool = False) -> None:
        """One message of the most pressing changes, where the peer's intake and the price allow it."""
        peer = self.peers[rank]
        peer.allowance = min(2.0, peer.allowance + self.per_peer * (self.now - peer.filled) / SECOND)
        peer.filled = self.now
        if peer.allowance < 1 or (self.purse <= 0 and not due):
            return
        peer.allowance, peer.told = peer.allowance - 1, self.now
        # A new gateway's counts would replace those of its earlier life at its peers: first it hears them.
        deaf = any(not p.synced and not self._silent(p) for p in self.peers.values())
        self.new = self.new and deaf and self.now - self.birth <= RECOVER_FOR
        pending = () if self.new or self.purse <= 0 else islice(peer.pending, LOOK_AT)
        changed = sorted(pending, key=self._spare)
        rows = messages.fit(self._row(customer, peer.pending[customer]) for customer in changed)
        for customer in changed[: len(rows)]:
            del peer.pending[customer]
        caught_up = peer.birth >= 0 and peer.owed.isdisjoint(peer.pending)
        body = messages.pack(self.now // MS, self.birth // MS, caught_up, rows)
        self.purse -= len(body) / messages.SIZE_MOST
        self.actions.append(api.TellPeer(rank, body))

    def _spare(self, customer: int) -> float:
        """The part of its burst that a customer has left: the least goes out first."""
        account = self.accounts[customer]
        return account.room / (self.s.plans[account.plan].burst or 1.0)

    def _row(self, customer: int, bits: int) -> bytes:
        account = self.accounts[customer]
        self._lift(account)
        counts = tuple((r, *account.counts[r]) for r in sorted(account.counts) if bits >> r & 1)
        limit = max(0.0, account.limit - account.held)
        row = messages.Row(customer, *account.key, account.out, limit, counts)
        return messages.pack_row(row, self.now // MS)

    def _peer_message(self, event: api.PeerMessage) -> None:
        latest = self.now // MS + FUTURE_MOST
        message = messages.unpack(event.body, latest, self.s.gateways, len(self.s.plans))
        peer = self.peers.get(event.sender)
        stale = (self.now - self.silent_after) // MS
        if not (peer and message and message.birth >= peer.birth and message.sent >= stale):
            return
        anew = message.birth > peer.birth or self._silent(peer)
        peer.heard, peer.birth = self.now, message.birth
        if anew:  # it has started, or was cut off: it has to be told everything that its set shares
            peer.pending.update((c, -1) for c, a in self.accounts.items() if event.sender in a.peers)
            peer.owed = set(peer.pending)
        for row in message.rows:
            self._merge(row, event.sender, message.sent)
        peer.synced = message.caught_up or (peer.synced and not anew)

    def _merge(self, row: messages.Row, teller: int, sent: int) -> None:
        """Newer start, then larger value; the larger limit."""
        account = self._account(row.customer, row.plan, row.set_first, row.set_size, trusted=False)
        plan, bits = self.s.plans[account.plan], 0
        self._lift(account)
        for rank, start, value in row.counts:
            if rank == self.rank:
                bits |= self._adopt(account, start, value)
            elif (start, value) > account.counts.get(rank, (-1, 0.0)):
                account.counts[rank] = start, value
                bits |= 1 << rank
        account.peers_out[teller] = row.out, self.now
        limit = row.limit + plan.rate * max(0, self.now // MS - sent) / 1000
        account.limit = max(account.limit, limit + account.held)
        self._lift(account)
        if bits:
            self._changed(row.customer, account, bits, teller)

    def _adopt(self, account: Account, start: int, value: float) -> int:
        """Guards against a restart's fresh allowance: an earlier life's count goes on under our start."""
        mine = account.counts.get(self.rank, (self.now // MS, 0.0))
        if start >= mine[0] or value <= account.adopted:
            return 0
        account.counts[self.rank] = mine[0], mine[1] + value - account.adopted
        account.adopted = value
        return 1 << self.rank

    def _drop_idle(self) -> None:
        """Full and idle accounts say nothing: forgotten a few a turn, one-off customers cost no memory."""
        for _ in range(min(LOOK_AT, len(self.idle_queue))):
            customer = self.idle_queue.popleft()
            self._lift(account := self.accounts[customer])
            full = account.ceiling >= self.s.plans[account.plan].ceiling_burst / account.size
            if account.out or account.held or not full or self._spare(customer) < 1:
                self.idle_queue.append(customer)
                continue
            del self.accounts[customer]
            for peer in self.peers.values():  # all: its set may have changed
                peer.pending.pop(customer, None)
