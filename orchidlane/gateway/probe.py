"""What the module would do next for a customer: asked of a copy of it, so that nothing changes.
 A view is a ``Dump`` of the module with one customer's account and all hosts, with the settings and names
that go with it. The copy is fed one request; the gateway and every tool do this by the same function.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass

import msgspec

from .. import __version__, record
from .. import interface as api
from ..rules import Gateway

VIEW_FORMAT = 1
NUMBER = (1 << 32) - 1  # of the request that is asked about
PROBES = 64  # copies asked where the next request would go: the choice draws


class View(msgspec.Struct, frozen=True):
    """What one gateway knows, as it tells tools; ``customer`` is (number, plan, first of its set, size)."""

    format: int
    build: str
    gateway: str
    now: int
    settings: dict[str, object]
    state: record.Dump
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
        build=__version__,
        gateway=name,
        now=now,
        settings=msgspec.to_builtins(gateway.s),
        state=record.dump(gateway, chosen),
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
        raise ViewError(f"not a view that this build ({__version__}) can read: {wrong}") from None
    if view.format != VIEW_FORMAT or view.build != __version__:
        raise ViewError(
            f"a view of build {view.build}, format {view.format}; this is {__version__}, {VIEW_FORMAT}: "
            "its decisions could differ, so none is told"
        )
    return view


def _copy(view: View) -> Gateway:
    try:
        settings = msgspec.convert(view.settings, api.Settings)
        return record.restore(settings, view.state)
    except (msgspec.ValidationError, record.FormatError) as wrong:
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
    number, plan, first, size = view.customer
    gateway = _copy(view)
    cls = gateway.s.classes[kind]
    arrived = api.RequestArrived(NUMBER, number, plan, kind, units, cls.deadline, first, size, False)
    actions = gateway.handle(view.now, arrived)
    account = gateway.accounts[number]
    refused = next((one for one in actions if isinstance(one, api.Refuse)), None)
    sent = any(isinstance(one, api.Send) for one in actions)
    spent = units if sent else 0.0
    return Next(
        decision="sent" if sent else "refused" if refused else "held",
        why=_why(gateway, refused, account.closed, account.fresh),
        room=account.room + spent,
        limit=account.limit,
        total=account.total - spent,
        closed=account.closed,
        counts={rank: value for rank, (_, value) in account.counts.items()},
    )


def _why(gateway: Gateway, refused: api.Refuse | None, closed: bool, fresh: bool) -> str:
    if refused is None:
        return "within the quota"
    if not refused.beyond_quota:
        return "no node is expected to answer in time"
    if closed:
        return "closed until a good part of the burst is back"
    return (
        "beyond its share: no other gateway has told of it yet" if fresh else "beyond quota, cap or ceiling"
    )


def next_nodes(view: View, kind: int) -> dict[bytes, int]:
    """How many of some copies, each with draws of its own, would send the next request to which node."""
    found: Counter[bytes] = Counter()
    for seed in range(PROBES):
        gateway = _copy(view)
        plan = next((i for i, one in enumerate(gateway.s.plans) if not one.rate), 0)
        gateway.random.seed(seed)
        cls = gateway.s.classes[kind]
        arrived = api.RequestArrived(
            (1 << 32) - 1, (1 << 33) - 1, plan, kind, 1e-6, cls.deadline, 0, 1, False
        )
        for action in gateway.handle(view.now, arrived):
            if isinstance(action, api.Send):
                found[action.server] += 1
    return dict(found)
