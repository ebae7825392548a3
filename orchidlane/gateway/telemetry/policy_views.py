"""What the module would do next for a customer: asked of a copy of it, so that nothing changes.
 A view is a ``StateDump`` of the module with one customer's account and all hosts, with the settings and
 names
that go with it. The copy is fed one request; the gateway and every tool do this by the same function.
"""

from __future__ import annotations

import heapq
from collections import Counter, defaultdict
from dataclasses import dataclass, field, replace
from typing import Any

import msgspec

from orchidlane import policy, recording
from orchidlane.policy import quota
from orchidlane.policy.accounts import Account
from orchidlane.policy.gateway import Gateway

VIEW_FORMAT = 1
NUMBER = (1 << 32) - 1  # of the request that is asked about
UNHEARD = "its share while no other gateway has told of it"
WITHOUT: dict[str, dict[str, Any]] = {  # limits of a plan, and how a plan without it looks
    "the ceiling: this gateway's part of it": {"ceiling_rate": 0.0},
    "the cap on requests open at once": {"max_in_flight": 0},
    "the quota": {"rate": 0.0},
    UNHEARD: {},
}
PROBES = 64  # copies asked where the next request would go: the choice draws


class View(msgspec.Struct, frozen=True):
    """What one gateway knows, as it tells tools; ``customer`` is (number, plan, first of its set, size)."""

    format: int
    build: str
    gateway: str
    now: int
    settings: dict[str, object]
    state: recording.StateDump
    class_names: tuple[str, ...]
    plan_names: tuple[str, ...]
    customer: tuple[int, int, int, int] | None


class ViewError(Exception):
    """A view that this build can't judge."""


def make_view(
    gateway: Gateway,
    name: str,
    now: int,
    names: tuple[tuple[str, ...], tuple[str, ...]],
    customer: tuple[int, int, int, int] | None,
) -> bytes:
    """A view as bytes: work and size go with the hosts and one customer."""
    chosen = [customer[0]] if customer else []
    view = View(
        format=VIEW_FORMAT,
        build=recording.build_name(),
        gateway=name,
        now=now,
        settings=recording.settings_to_stored(gateway.settings),
        state=recording.dump_state(gateway, chosen),
        class_names=names[0],
        plan_names=names[1],
        customer=customer,
    )
    return msgspec.msgpack.encode(view)


def read_view(data: bytes) -> View:
    """The view of some bytes. Raises ViewError."""
    try:
        view = msgspec.msgpack.decode(data, type=View)
    except (msgspec.DecodeError, UnicodeDecodeError) as wrong:
        raise ViewError(f"not a view that this build ({recording.build_name()}) can read: {wrong}") from None
    if view.format != VIEW_FORMAT:
        raise ViewError(f"a view of format {view.format}; this build reads {VIEW_FORMAT}")
    check_build(view.build)
    return view


def check_build(build: str) -> None:
    """Raises ViewError where what is told came from a build whose decisions could differ."""
    own = recording.build_name()
    if build != own:
        raise ViewError(f"told by build {build}, this is {own}: its decisions could differ, so none is told")


def saved_view(reader: recording.SegmentReader, number: int) -> View:
    """The view of a customer, by its number, in a saved state. Raises ViewError, FormatError."""
    header = reader.header
    check_build(header.build)
    row = next((row for row in reader.account_rows() if row[0] == number), None)
    if row is None:
        raise ViewError(f"{reader.path}: no customer {number} is known there")
    return View(
        format=VIEW_FORMAT,
        build=header.build,
        gateway=header.gateway,
        now=_moment(header),
        settings=header.settings,
        state=msgspec.structs.replace(
            header.state,
            accounts=[row],
            idle_queue=[one for one in header.state.idle_queue if one == number],
            pending_changes=[one for one in header.state.pending_changes if one == number],
            exhausted_customers=[one for one in header.state.exhausted_customers if one == number],
            exhaustion_notices=[],
            requests=[],
            detached_attempts=[],
            awaited_replies=[],
        ),
        class_names=header.class_names,
        plan_names=header.plan_names,
        customer=(number, *row[1]),
    )


def _moment(header: recording.Header) -> int:
    return int(header.context.get("now", header.started_at_us))


@dataclass
class PlanCounts:
    """What a gateway knows of a plan's customers at one moment."""

    customers: int = 0
    spent: float = 0.0
    room: float = 0.0
    closed: int = 0  # refused until a good part of the burst is back
    unheard: int = 0  # no other gateway has told of them yet
    out: int = 0  # attempts
    pressed: list[tuple[float, int]] = field(default_factory=list)  # the least share of the burst first


def plan_counts(reader: recording.SegmentReader, most: int) -> dict[str, PlanCounts]:
    """Each plan's counts, brought up to the state's moment by the module; ``most`` pressed ones of each.

    Raises ViewError, FormatError. Memory does not grow with the customers.
    """
    header = reader.header
    check_build(header.build)
    state = msgspec.structs.replace(
        header.state, accounts=[], requests=[], detached_attempts=[], idle_queue=[]
    )
    gateway = recording.restore_gateway(
        header.policy_settings(),
        msgspec.structs.replace(
            state, pending_changes=[], exhausted_customers=[], exhaustion_notices=[], awaited_replies=[]
        ),
    )
    gateway.now = _moment(header)
    found: dict[str, PlanCounts] = defaultdict(PlanCounts)
    for row in reader.account_rows():
        account = recording.account_from_row(row)
        quota.refill(gateway, account)
        _count(found[header.plan_names[account.plan]], account, gateway.settings.plans[account.plan], most)
    for counts in found.values():
        counts.pressed = sorted((-share, -number) for share, number in counts.pressed)
    return dict(found)


def _count(counts: PlanCounts, account: Account, plan: policy.Plan, most: int) -> None:
    counts.customers += 1
    counts.spent += account.spent_total
    counts.room += account.remaining
    counts.closed += account.exhausted
    counts.unheard += account.unconfirmed
    counts.out += account.in_flight
    share = account.remaining / plan.burst if plan.burst else 1.0
    heapq.heappush(counts.pressed, (-share, -account.customer))
    if len(counts.pressed) > most:
        heapq.heappop(counts.pressed)


def _copy(view: View) -> Gateway:
    try:
        settings = recording.settings_from_stored(view.settings)
        return recording.restore_gateway(settings, view.state)
    except (msgspec.ValidationError, recording.FormatError) as wrong:
        raise ViewError(str(wrong)) from None


@dataclass(frozen=True)
class Next:
    """What would become of the next request."""

    decision: str  # sent, held, refused
    why: str
    room: float
    limit: float
    total: float
    closed: bool
    counts: dict[int, float]  # by rank


def next_request(view: View, kind: int, units: float) -> Next:
    """What the module would decide on one more request of the view's customer, and on what grounds."""
    if view.customer is None:
        raise ViewError("the view names no customer")
    gateway = _copy(view)
    actions = _ask(gateway, view, kind, units)
    account = gateway.accounts[view.customer[0]]
    refused = next((one for one in actions if isinstance(one, policy.RejectRequest)), None)
    sent = _sends(actions)
    spent = units if sent else 0.0
    why = "within the quota"
    if refused is not None:
        why = _cause(view, kind, units) if refused.over_quota else "no node is expected to answer in time"
    return Next(
        decision="sent" if sent else "refused" if refused else "held",
        why=why,
        room=account.remaining + spent,
        limit=account.limit,
        total=account.spent_total - spent,
        closed=account.exhausted,
        counts={rank: value for rank, (_, value) in account.replica_counts.items()},
    )


def _ask(gateway: Gateway, view: View, kind: int, units: float) -> list[policy.Action]:
    assert view.customer is not None
    number, plan, first, size = view.customer
    deadline = gateway.settings.classes[kind].deadline_us
    arrived = policy.RequestArrived(NUMBER, number, plan, kind, units, deadline, first, size, False)
    return gateway.handle(view.now, arrived)


def _sends(actions: list[policy.Action]) -> bool:
    return any(isinstance(one, policy.SendAttempt) for one in actions)


def _cause(view: View, kind: int, units: float) -> str:
    """Which limit refuses, asked of copies that each lack one of them: no condition is written twice."""
    assert view.customer is not None
    number, plan = view.customer[:2]
    found = []
    for name, without in WITHOUT.items():
        gateway = _copy(view)
        account = gateway.accounts.get(number)
        if name == UNHEARD and account is not None:
            account.unconfirmed = False
        plans = list(gateway.settings.plans)
        plans[plan] = replace(plans[plan], **without)
        gateway.settings = replace(gateway.settings, plans=tuple(plans))
        refused = [one for one in _ask(gateway, view, kind, units) if isinstance(one, policy.RejectRequest)]
        if not any(one.over_quota for one in refused):
            found.append(name)
    return " or ".join(found) or "more than one limit at once"


def next_nodes(view: View, kind: int) -> dict[bytes, int]:
    """How many of some copies, each with draws of its own, would send the next request to which node."""
    found: Counter[bytes] = Counter()
    for seed in range(PROBES):
        gateway = _copy(view)
        plan = next((i for i, one in enumerate(gateway.settings.plans) if not one.rate), 0)
        gateway.random.seed(seed)
        cls = gateway.settings.classes[kind]
        arrived = policy.RequestArrived(
            (1 << 32) - 1, (1 << 33) - 1, plan, kind, 1e-6, cls.deadline_us, 0, 1, False
        )
        for action in gateway.handle(view.now, arrived):
            if isinstance(action, policy.SendAttempt):
                found[action.endpoint] += 1
    return dict(found)
