"""What others ask at the admin address of the fleet's versions: contents, how things stand, commands.

Every call carries a seal under the fleet's key, over method, target and body; whoever merely reaches the
address learns and changes nothing. A call heard again is harmless: contents are told by their hash, a command
has a name of its own and the version that it was made from. A command is carried out where somebody leads;
any other gateway passes it on, once.
"""

from __future__ import annotations

import msgspec

from orchidlane.gateway.rollout_agent.admin_client import PREFIX, PURPOSE, FetchError, call
from orchidlane.gateway.rollout_agent.agent import OUTCOME_WITHIN, Outcome, Versions
from orchidlane.rollout.replicated_state import Entry, Ledger, Propose, Resume, Stop
from orchidlane.rollout.version import TEXT_MOST, Parts, Version, is_name, is_sealed, name_of

FORWARD_WITHIN = OUTCOME_WITHIN + 1_000_000  # microseconds
THEN_MOST = 14  # versions that follow one proposal
ID_MOST = 64  # characters

Answer = tuple[int, bytes]


class Order(msgspec.Struct, frozen=True):
    """A command, as it is sent. ``base`` is the latest version that its author knew of."""

    id: str
    do: str  # propose, stop, resume
    base: int
    author: str = ""
    reason: str = ""
    parts: Parts | None = None
    undoes: int = 0
    then: tuple[Parts, ...] = ()
    passed_on: bool = False


class GatewayState(msgspec.Struct, frozen=True):
    """What whoever leads knows of one gateway; spans in microseconds, -1: never heard of."""

    rank: int
    runs: int = -1
    wanted: int = -1
    why: str = ""
    heard: int = -1  # ago
    since: int = -1  # it runs that for so long, as far as we heard


class Status(msgspec.Struct, frozen=True):
    """How things stand, as the gateway that answers knows them."""

    gateway: int
    leads: bool
    term: int
    leader: int
    confirmed: int  # microseconds ago a quorum confirmed this, -1: never
    serves: str  # why not; "" where it does
    running: str
    index: int
    current: Version | None
    change: Version | None
    stage: str
    paused: str
    halted: Version | None
    history: tuple[Entry, ...]
    seats: tuple[int, ...]
    votes: dict[int, str]
    gateways: tuple[GatewayState, ...]


def latest_of(versions: Versions) -> list[Version]:
    """The versions of the latest ledger."""
    return versions.ledger.versions() if versions.ledger is not None else []


class Desk:
    """Answers for one gateway."""

    def __init__(self, versions: Versions) -> None:
        self.versions = versions
        self.max_body_bytes = int(versions.fleet.rollout.max_content_bytes)

    def answer(self, method: str, target: bytes, seal: bytes | None, body: bytes) -> Answer:
        """Status and body."""
        try:
            sealed = bytes.fromhex((seal or b"").decode("latin-1"))
        except ValueError:
            sealed = b""
        if not is_sealed(self.versions.secret, sealed, PURPOSE, method, target, body):
            return 403, b"not sealed under the fleet's key\n"
        what, _, name = target.removeprefix(PREFIX).decode("latin-1").partition("/")
        match method, what:
            case "GET", "content" if is_name(name):
                return self._content(name)
            case "PUT", "content" if is_name(name):
                return self._upload(name, body)
            case "GET", "counts":
                return 200, msgspec.msgpack.encode(self.versions.book.tallies())
            case "GET", "status":
                return 200, msgspec.msgpack.encode(self.status())
            case "POST", "command":
                return self._command(body)
        return 404, b"no such call\n"

    def _content(self, name: str) -> Answer:
        data = self.versions.files.get(name)
        return (200, data) if data is not None else (404, b"not here\n")

    def _upload(self, name: str, data: bytes) -> Answer:
        """Contents of a proposal to come; those that nothing came of go first."""
        files = self.versions.files
        if name_of(data) != name:
            return 400, b"not the content of this name\n"
        try:
            files.upload(name, data)
        except OSError as wrong:
            return 507, f"not written: {wrong.strerror}\n".encode()
        return 200, b"kept\n"

    # -- commands

    def _command(self, body: bytes) -> Answer:
        try:
            order = msgspec.msgpack.decode(body, type=Order)
        except msgspec.DecodeError as wrong:
            return 400, f"{wrong}\n".encode()
        latest = self.versions.ledger
        if latest is None:
            return self._tell(Outcome(False, "no ledger is founded: all voters are needed for that, once"))
        step = self._step(order)
        if isinstance(step, str):
            return self._tell(Outcome(False, step))
        outcome = self.versions.command(step, order.id)
        if outcome is None:
            return self._pass_on(order, latest)
        if any(one.proposal == order.id for one in latest_of(self.versions)):
            outcome = Outcome(True)  # told again
        return self._tell(outcome)

    def _step(self, order: Order) -> Propose | Stop | Resume | str:
        if not 0 < len(order.id) <= ID_MOST:
            return "a command has a name"
        author, reason = order.author[:TEXT_MOST], order.reason[:TEXT_MOST]
        match order.do:
            case "propose" if order.parts is not None:
                if len(order.then) > THEN_MOST:
                    return f"{len(order.then)} versions that follow, allowed: {THEN_MOST}"
                return Propose(0, order.id, order.parts, order.base, author, reason, order.undoes, order.then)
            case "stop":
                return Stop(0, order.base, f"by {author}: {reason}" if reason else f"by {author}", order.id)
            case "resume":
                return Resume(0, order.base, order.id)
        return f"no such command: {order.do!r}"

    def _pass_on(self, order: Order, latest: Ledger) -> Answer:
        if order.passed_on or latest.leader in (-1, self.versions.rank):
            gone = (
                f"nobody leads: gateway {latest.leader} did in term {latest.term}; without a quorum of voters"
                " nothing changes, and what runs is served for a lease after their last word"
            )
            return self._tell(Outcome(False, gone, again=True))
        body = msgspec.msgpack.encode(msgspec.structs.replace(order, passed_on=True))
        return self._ask_leader("POST", PREFIX + b"command", body, latest.leader)

    def _ask_leader(self, method: str, target: bytes, body: bytes, rank: int) -> Answer:
        versions = self.versions
        by = versions.loop.now() + FORWARD_WITHIN
        try:
            return call(versions.loop, versions.admin_of(rank), versions.secret, method, target, body, by=by)
        except FetchError as wrong:
            gone = f"gateway {rank}, which leads, does not answer: {wrong}"
            return self._tell(Outcome(False, gone, again=True))

    def _tell(self, outcome: Outcome) -> Answer:
        return 200 if outcome.taken else 409, msgspec.msgpack.encode(outcome)

    # -- how things stand

    def status(self) -> Status:
        """As this gateway knows it."""
        versions, latest = self.versions, self.versions.ledger
        conductor, now = versions.conductor, versions.loop.now()
        change = latest.change if latest is not None else None
        leads = conductor is not None and conductor.leads
        fresh = versions.spread.fresh
        return Status(
            gateway=versions.rank,
            leads=leads,
            term=latest.term if latest else 0,
            leader=latest.leader if latest else -1,
            confirmed=-1 if fresh is None else now - fresh,
            serves=versions.why_not_serve(),
            running=versions.show(),
            index=latest.index if latest else 0,
            current=latest.current.version if latest else None,
            change=change.version if change else None,
            stage=change.stage.value if change else "",
            paused=change.paused if change else "",
            halted=latest.halted.version if latest and latest.halted else None,
            history=latest.history if latest else (),
            seats=tuple(seat.rank for seat in latest.seats) if latest else (),
            votes={rank: vote.why or "yes" for rank, vote in conductor.votes.items()} if conductor else {},
            gateways=self._gateways(now) if leads else (),
        )

    def _gateways(self, now: int) -> tuple[GatewayState, ...]:
        conductor = self.versions.conductor
        assert conductor is not None
        found = []
        for rank in range(conductor.gateways):
            known = conductor.reports.get(rank)
            if known is None:
                found.append(GatewayState(rank))
            else:
                heard, since = now - known.at, now - known.since
                found.append(GatewayState(rank, known.number, known.wanted, known.why, heard, since))
        return tuple(found)
