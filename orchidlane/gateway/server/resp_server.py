"""The RESP front: commands for limits on the same customers, counts and rules as the HTTP front.
 A connection's commands are answered in their order. Replies gather until nothing more was sent along or a
bound is reached; a client that reads nothing is not read from either, and closed after ``times.write``.
Each command gives others their turn, so a long pipeline holds nobody up.
"""

from __future__ import annotations

import hashlib
import hmac
from collections.abc import Callable
from typing import Any

from orchidlane import resp
from orchidlane.gateway.control.configuration import ConfigurationSnapshot
from orchidlane.gateway.control.customers import Customer
from orchidlane.gateway.control.settings import FleetSettings
from orchidlane.gateway.peers.token_requests import LimitService, PeersUnreachableError
from orchidlane.gateway.server.accept_loop import accept_clients
from orchidlane.gateway.server.client_connection import Watcher, recv_watched, send_all
from orchidlane.limits import GrantOutcome, GrantStoreFullError
from orchidlane.resp import ErrorReply, Simple
from orchidlane.routes import Generation
from orchidlane.runtime import REQUESTS, Closed, Expired, Lingering, Listener, Loop, Scope, Stream, Task

FLUSH = 16_384  # bytes of replies that are written at once
TOKEN_MOST = 256  # bytes
UNREAD_MOST = 65_536  # bytes of commands that another process is told of
LOST = ErrorReply("ERR the process that took this command ended; whether it took effect is not known")
OK = Simple("OK")


class CommandError(Exception):
    """A command that can't be carried out; its text is the error reply."""


class Session:
    """One client: its protocol version, name, and whether it has shown its password."""

    __slots__ = ("authorized", "busy", "decoder", "name", "number", "over", "stream", "task", "version")

    def __init__(self, stream: Stream, number: int, limits: resp.Limits, authorized: bool) -> None:
        self.stream = stream
        self.number = number
        self.decoder = resp.Decoder(limits)
        self.version = 2
        self.name = b""
        self.authorized = authorized
        self.busy = False  # a command is being carried out
        self.over = False  # ended, or another process's now
        self.task: Task | None = None

    @property
    def facts(self) -> tuple[int, bytes, bool]:
        """What another process has to know of it."""
        return self.version, self.name, self.authorized


class RespFront:
    """Accepts clients and carries out their commands."""

    def __init__(
        self,
        loop: Loop,
        fleet: FleetSettings,
        service: LimitService,
        knowledge: Callable[[], ConfigurationSnapshot],
        scope: Scope,
        why_not: Callable[[], str] = str,
    ) -> None:
        self.loop = loop
        self.fleet = fleet
        self.why_not = why_not  # commands are carried out; "" where they are
        self.terms = fleet.quotas
        self.service = service
        self.knowledge = knowledge
        self.scope = scope
        self.limits = resp.Limits(
            bulk=self.terms.max_bulk_bytes,
            count=self.terms.max_command_words,
            total=self.terms.max_command_words,
            depth=4,
        )
        self.sessions: dict[Session, None] = {}
        self.lingering = Lingering(
            loop, scope, fleet.timeouts.linger_us, fleet.resource_limits.max_lingering_connections
        )
        self.draining = False
        self.listener: Listener
        self.pass_on: Callable[[Session], None] | None = None  # gets each session between two commands
        self.watcher: Watcher | None = None  # is told of sessions while another process may need them
        self._accepting: Task
        self._numbers = loop.now()  # a later process of this gateway numbers on from later
        self.commands: dict[bytes, tuple[Callable[[Session, list[bytes]], Any], int, int]] = {
            b"PING": (self._ping, 0, 1),
            b"ECHO": (lambda _, words: words[0], 1, 1),
            b"AUTH": (self._auth, 1, 2),
            b"HELLO": (self._hello, 0, 7),
            b"QUIT": (lambda *_: OK, 0, 0),
            b"RESET": (self._reset, 0, 0),
            b"SELECT": (self._select, 1, 1),
            b"CLIENT": (self._client_command, 1, 8),
            b"COMMAND": (self._command, 0, 64),
            b"CL.THROTTLE": (self._throttle, 4, 5),
            b"LIMIT.TAKE": (self._take, 2, 8),
            b"LIMIT.PEEK": (self._peek, 1, 1),
            b"LIMIT.GIVEBACK": (self._give_back, 2, 2),
            b"LIMIT.RESERVE": (self._reserve, 4, 4),
            b"LIMIT.COMMIT": (lambda s, words: self._end(words, True), 2, 2),
            b"LIMIT.RELEASE": (lambda s, words: self._end(words, False), 2, 2),
            b"LIMIT.INFO": (self._info, 0, 0),
        }

    @property
    def generation(self) -> Generation:
        """The description as it is now."""
        return self.knowledge().generation

    # -- connections

    def listen(self, listener: Listener) -> None:
        """Take clients from a listener."""
        self.listener = listener
        self._accepting = self.scope.spawn(self._accept, kind=REQUESTS, name="accept resp")

    def hold(self, pass_on: Callable[[Session], None]) -> None:
        """Take no more clients, who wait at the listener; each that we have is passed on between commands."""
        self.loop.cancel(self._accepting)
        self.pass_on = pass_on
        for session in list(self.sessions):
            if not session.busy:
                self._pass(session)

    def resume(self) -> None:
        """Take clients again."""
        self.pass_on = None
        self._accepting = self.scope.spawn(self._accept, kind=REQUESTS, name="accept resp")

    def _pass(self, session: Session) -> None:
        assert self.pass_on is not None and session.task is not None
        session.over = True
        self.sessions.pop(session, None)
        self.pass_on(session)
        self.loop.cancel(session.task)

    def adopt(self, stream: Stream, unread: bytes, facts: tuple[int, bytes, bool], number: int) -> None:
        """Serve a client that another process passed on between two commands."""
        session = Session(stream, number, self.limits, facts[2])
        session.version, session.name = facts[:2]
        session.decoder.receive(unread)
        self._begin(session)

    def answer_alone(
        self, stream: Stream, unread: bytes | None, facts: tuple[int, bytes, bool], number: int
    ) -> None:
        """Go on with a client whose commands another process took and can't answer any more.

        Each gets an error that promises nothing; without their bytes, one does, and the connection ends.
        """
        session = Session(stream, number, self.limits, facts[2])
        session.version, session.name = facts[:2]
        lost = 1
        if unread is not None:
            session.decoder.receive(unread)
            lost = sum(bool(words) for words in iter(session.decoder.next_command, None))
        replies = resp.encode(LOST, session.version) * lost
        stream.send(replies, self.loop.now() + self.fleet.timeouts.client_write_us)
        if unread is None:
            self.lingering.close(stream)
        else:
            self._begin(session)

    def next_number(self) -> int:
        """A number that no other session has."""
        self._numbers += 1
        return self._numbers

    def _accept(self) -> None:
        accept_clients(self.loop, self.listener, self._take_client)

    def _take_client(self, stream: Stream) -> None:
        if len(self.sessions) >= self.terms.max_connections:
            self.scope.spawn(self._turn_away, stream, kind=REQUESTS, name="resp turned away")
            return
        session = Session(stream, self.next_number(), self.limits, not self.terms.passwords)
        if self.watcher is not None:
            self.watcher.opened(session.number, stream)
        self._begin(session)

    def _begin(self, session: Session) -> None:
        self.sessions[session] = None
        session.task = self.scope.spawn(self._client, session, kind=REQUESTS, name="resp client")

    def _turn_away(self, stream: Stream) -> None:
        try:
            reply = ErrorReply("ERR max number of clients reached")
            stream.send(resp.encode(reply), self.loop.now() + self.fleet.timeouts.client_write_us)
        except (Closed, Expired):
            pass
        finally:
            self.lingering.close(stream)

    def drain(self) -> None:
        """Take no more clients; the idle ones are ended, the others once they were answered."""
        self.draining = True
        self.listener.close()
        for session in list(self.sessions):
            if not (session.decoder.pending or session.busy or session.stream.waiting()):
                self._forget(session)

    def _forget(self, session: Session) -> None:
        """End a session, from its own task or from another."""
        if session.over:
            return
        session.over = True
        self.sessions.pop(session, None)
        self.lingering.close(session.stream)
        if self.watcher is not None:
            self.watcher.ended(session.number)
        if session.task is not None and session.task is not self.loop.current:
            self.loop.cancel(session.task)

    def _client(self, session: Session) -> None:
        try:
            session.busy = True  # what was passed on with it comes first
            self._answer_all(session)
            session.busy = False
            while self.pass_on is None and self._more(session):
                session.busy = True
                self._answer_all(session)
                session.busy = False
            if self.pass_on is not None and not session.over:
                self._pass(session)
        except (Closed, Expired):
            pass
        except BaseException:  # as in ``front``
            if self.watcher is not None and not session.over:
                session.over = True
                self.sessions.pop(session, None)
                session.stream.release()
            raise
        finally:
            self._forget(session)

    def _more(self, session: Session) -> bool:
        """Read once: long for a new command, shorter for the rest of one."""
        times = self.fleet.timeouts
        span = times.body_progress_us if session.decoder.pending else times.client_idle_us
        by = self.loop.now() + span
        if self.watcher is None:
            data = session.stream.recv(deadline=by)
        else:
            data = recv_watched(session.stream, self.watcher, session.number, by)
        session.decoder.receive(data)
        self._tell_idle(session)
        return bool(data)

    def _tell_idle(self, session: Session) -> None:
        """Nothing is under way; not told where nobody else could go on with it."""
        if self.watcher is not None:
            unread = session.decoder.unread()
            if unread is not None and len(unread) <= UNREAD_MOST:
                self.watcher.idle(session.number, unread, session.facts)

    def _answer_all(self, session: Session) -> None:
        out = bytearray()
        try:
            while self.pass_on is None and (words := session.decoder.next_command()) is not None:
                if not words:
                    continue
                if self.watcher is not None:
                    self.watcher.began(session.number)
                out += resp.encode(self._reply(session, words), session.version)
                quits = words[0].upper() == b"QUIT"
                if len(out) >= FLUSH or quits:
                    self._write(session, out)
                if quits:
                    raise Closed("the client quit")
                self.loop.breathe()
        except resp.Broken as wrong:
            out += resp.encode(ErrorReply(f"ERR Protocol error: {wrong}"))
            self._write(session, out)
            raise Closed("out of step") from None
        self._write(session, out)
        if self.draining:
            raise Closed("draining")
        self.loop.breathe()

    def _write(self, session: Session, out: bytearray) -> None:
        if out:
            if self.watcher is not None:
                self.watcher.answering(session.number)
            send_all(session.stream, bytes(out), self.loop.now() + self.fleet.timeouts.client_write_us)
            out.clear()
            self._tell_idle(session)

    # -- commands

    def _reply(self, session: Session, words: list[bytes]) -> Any:
        name = words[0].upper()
        found = self.commands.get(name)
        if found is None:
            return ErrorReply(f"ERR unknown command '{_plain(words[0])}'")
        method, least, most = found
        if not least <= len(words) - 1 <= most:
            return ErrorReply(f"ERR wrong number of arguments for '{_plain(name).lower()}' command")
        if not session.authorized and name not in (b"AUTH", b"HELLO", b"QUIT", b"RESET"):
            return ErrorReply("NOAUTH Authentication required.")
        try:
            return method(session, words[1:])
        except CommandError as wrong:
            return ErrorReply(str(wrong))
        except PeersUnreachableError as wrong:
            return ErrorReply(f"TRYAGAIN {wrong}; nothing was counted by this command")
        except GrantStoreFullError as wrong:
            return ErrorReply(f"BUSY {wrong}")

    def _ping(self, _session: Session, words: list[bytes]) -> Any:
        return words[0] if words else Simple("PONG")

    def _auth(self, session: Session, words: list[bytes]) -> Any:
        if not self.terms.passwords:
            raise CommandError("ERR AUTH called without any password configured")
        shown = hashlib.sha256(words[-1]).hexdigest()
        if len(words) == 2 and words[0] != b"default":
            raise CommandError("WRONGPASS invalid username-password pair")
        matches = sum(hmac.compare_digest(shown, known) for known in self.terms.passwords)
        if not matches:
            raise CommandError("WRONGPASS invalid username-password pair")
        session.authorized = True
        return OK

    def _hello(self, session: Session, words: list[bytes]) -> Any:
        version = session.version
        if words:
            if words[0] not in (b"2", b"3"):
                raise CommandError("NOPROTO unsupported protocol version")
            version = int(words[0])
        rest = list(words[1:])
        while rest:
            option = rest.pop(0).upper()
            if option == b"AUTH" and len(rest) >= 2:
                self._auth(session, [rest.pop(0), rest.pop(0)])
            elif option == b"SETNAME" and rest:
                session.name = rest.pop(0)
            else:
                raise CommandError("ERR syntax error in HELLO")
        if not session.authorized:
            raise CommandError("NOAUTH HELLO must be called with the client already authenticated")
        session.version = version
        facts = {"server": "orchidlane", "version": "7.0.0", "proto": version, "id": session.number}
        return {**facts, "mode": "standalone", "role": "master", "modules": []}

    def _reset(self, session: Session, _words: list[bytes]) -> Any:
        session.version, session.name = 2, b""
        session.authorized = not self.terms.passwords
        return Simple("RESET")

    def _select(self, _session: Session, words: list[bytes]) -> Any:
        if words[0] != b"0":
            raise CommandError("ERR DB index is out of range")
        return OK

    def _client_command(self, session: Session, words: list[bytes]) -> Any:
        what = words[0].upper()
        if what == b"SETNAME" and len(words) == 2:
            session.name = words[1]
        elif what == b"GETNAME":
            return session.name or None
        elif what == b"ID":
            return session.number
        elif what not in (b"SETINFO", b"NO-EVICT", b"NO-TOUCH", b"TRACKING", b"MAINT_NOTIFICATIONS"):
            raise CommandError(f"ERR unknown subcommand '{_plain(words[0])}'")
        elif what == b"MAINT_NOTIFICATIONS":
            raise CommandError("ERR maintenance notifications are not sent here")
        return OK

    def _command(self, _session: Session, words: list[bytes]) -> Any:
        what = words[0].upper() if words else b""
        if what == b"COUNT":
            return len(self.commands)
        if what == b"DOCS":
            return {
                name.decode().lower(): {"summary": "See docs/resp.md"} for name in self._chosen(words[1:])
            }
        if what in (b"", b"INFO"):
            return [self._describe(name) for name in self._chosen(words[1:])]
        raise CommandError(f"ERR unknown subcommand '{_plain(words[0])}'")

    def _chosen(self, words: list[bytes]) -> list[bytes]:
        return [word.upper() for word in words if word.upper() in self.commands] or list(self.commands)

    def _describe(self, name: bytes) -> list[Any]:
        _, least, most = self.commands[name]
        arity = least + 1 if least == most else -(least + 1)
        keyed = name.startswith((b"CL.", b"LIMIT.")) and name != b"LIMIT.INFO"
        return [name.decode().lower(), arity, [Simple("fast")], int(keyed), int(keyed), int(keyed)]

    # -- limits

    def _customer(self, key: bytes) -> Customer:
        customer = self.knowledge().customers.by_name_or_key(key)
        if customer is None:
            raise CommandError("NOCUSTOMER no customer has this name or key")
        why = "its set of gateways is on the move" if customer.migrating else self.why_not()
        if why:
            raise CommandError(f"TRYAGAIN {why}; nothing was counted by this command")
        return customer

    def _throttle(self, _session: Session, words: list[bytes]) -> Any:
        """CL.THROTTLE key max_burst count period [quantity]: limited, limit, remaining, retry, reset."""
        customer = self._customer(words[0])
        plan = self.service.host.settings.plans[customer.plan]
        max_burst, count, period = (_number(word, "max_burst, count and period") for word in words[1:4])
        quantity = _number(words[4], "quantity") if len(words) > 4 else 1
        if period == 0 or abs(count / period - plan.rate) > 1e-9 or max_burst + 1 != int(plan.burst):
            allowed = f"max_burst {int(plan.burst) - 1}, count/period {plan.rate:g}"
            raise CommandError(f"ERR the plan {customer.plan_name} decides: {allowed}")
        granted = quantity == 0 or self.service.try_take(customer, float(quantity), 0)
        room = self.service.remaining_units(customer)
        reset = int((plan.burst - room) / plan.rate) if plan.rate else 0
        retry = -1 if granted else max(1, -(-self.service.retry_after_us(customer, quantity) // 1_000_000))
        return [int(not granted), int(plan.burst), max(0, int(room)), retry, max(0, reset)]

    def _take(self, _session: Session, words: list[bytes]) -> Any:
        """LIMIT.TAKE key units [CLASS c] [WITHIN ms] [IDEMPOTENT token]: granted, remaining, retry in ms."""
        customer, units = self._customer(words[0]), _units(words[1])
        options = _options(words[2:], (b"CLASS", b"WITHIN", b"IDEMPOTENT"))
        kind = self._class(options.get(b"CLASS"))
        span = self._span(options.get(b"WITHIN"), "WITHIN", self.terms.max_wait_us)
        token = options.get(b"IDEMPOTENT")
        if token is None:
            granted = self.service.take_before_timeout(customer, units, kind, span)
        else:
            granted = self.service.take_idempotent(customer, units, kind, span, _token(token))
        room = self.service.remaining_units(customer)
        retry = 0 if granted else max(1, self.service.retry_after_us(customer, units) // 1_000)
        return [int(granted), max(0, int(room)), retry]

    def _class(self, name: bytes | None) -> int:
        if name is None:
            return 0
        names = self.generation.class_names
        if name.decode("utf-8", "replace") not in names:
            raise CommandError(f"ERR no such class, allowed: {', '.join(names)}")
        return names.index(name.decode())

    def _span(self, text: bytes | None, what: str, most: int) -> int:
        span = _number(text, what) * 1_000 if text is not None else 0
        if span > most:
            raise CommandError(f"ERR {what} is at most {most // 1_000} ms")
        return span

    def _peek(self, _session: Session, words: list[bytes]) -> Any:
        customer = self._customer(words[0])
        plan = self.service.host.settings.plans[customer.plan]
        facts = {"plan": customer.plan_name, "remaining": max(0, int(self.service.remaining_units(customer)))}
        credit = self.service.grants.credit(self.loop.now(), customer.number)
        return {**facts, "burst": int(plan.burst), "rate": plan.rate, "credit": credit}

    def _give_back(self, _session: Session, words: list[bytes]) -> Any:
        return self._told(self.service.refund(self._customer(words[0]), _token(words[1])))

    def _reserve(self, _session: Session, words: list[bytes]) -> Any:
        """LIMIT.RESERVE key units FOR ms: the reservation's name, or null beyond the quota."""
        customer, units = self._customer(words[0]), _units(words[1])
        if words[2].upper() != b"FOR":
            raise CommandError("ERR syntax error, allowed: LIMIT.RESERVE key units FOR ms")
        span = self._span(words[3], "FOR", self.terms.max_reservation_us)
        if not span:
            raise CommandError("ERR FOR is at least 1 ms")
        return self.service.reserve(customer, units, 0, span)

    def _end(self, words: list[bytes], commit: bool) -> Any:
        return self._told(self.service.end_reservation(self._customer(words[0]), words[1], commit))

    def _told(self, outcome: GrantOutcome) -> int:
        """1 done now, 0 done before; errors for the rest."""
        if outcome is GrantOutcome.EXPIRED:
            raise CommandError("EXPIRED its time was over; a reservation's units came back by themselves")
        if outcome is GrantOutcome.UNKNOWN:
            raise CommandError("NOGRANT nothing such is remembered: it never was, or too long ago")
        return int(outcome is GrantOutcome.DONE)

    def _info(self, _session: Session, _words: list[bytes]) -> Any:
        service = self.service
        facts = {"rank": service.rank, "gateways": service.gateway_count, "clients": len(self.sessions)}
        facts |= {"granted": service.granted, "refused": service.rejected}
        return {**facts, "tokens": len(service.token_owner), "grants": len(service.grants)}


def _plain(word: bytes) -> str:
    """A client's word as it may stand in an error: short and printable."""
    return "".join(c if c.isprintable() else "?" for c in word[:64].decode("utf-8", "replace"))


def _number(text: bytes, what: str) -> int:
    if not text.isdigit() or len(text) > 12:
        raise CommandError(f"ERR {what}: a whole number is wanted")
    return int(text)


def _units(text: bytes) -> float:
    units = _number(text, "units")
    if not 0 < units <= 1_000_000:
        raise CommandError("ERR units: found none, allowed: 1 to 1000000")
    return float(units)


def _token(token: bytes) -> bytes:
    if not 0 < len(token) <= TOKEN_MOST:
        raise CommandError(f"ERR a token has 1 to {TOKEN_MOST} bytes")
    return token


def _options(words: list[bytes], allowed: tuple[bytes, ...]) -> dict[bytes, bytes]:
    found: dict[bytes, bytes] = {}
    if len(words) % 2:
        raise CommandError("ERR syntax error")
    for name, value in zip(words[::2], words[1::2], strict=True):
        if name.upper() not in allowed or name.upper() in found:
            raise CommandError(f"ERR syntax error near '{_plain(name)}'")
        found[name.upper()] = value
    return found
