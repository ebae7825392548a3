"""The RESP server: accepts clients and answers their commands in order; ``resp_commands`` carries them out.

A connection's commands are answered in their order. Replies gather until nothing more was sent along or a
bound is reached; a client that reads nothing is not read from either, and closed after the time for a write.
Each command gives others their turn, so a long pipeline holds nobody up.
"""

from __future__ import annotations

from collections.abc import Callable

from orchidlane import resp
from orchidlane.gateway.control.configuration import ConfigurationSnapshot
from orchidlane.gateway.control.settings import FleetSettings
from orchidlane.gateway.peers.token_requests import LimitService
from orchidlane.gateway.server.accept_loop import accept_clients
from orchidlane.gateway.server.client_connection import Watcher, recv_watched, send_all
from orchidlane.gateway.server.resp_commands import CommandTable
from orchidlane.gateway.server.resp_connection_commands import ConnectionCommands
from orchidlane.gateway.server.resp_quota_commands import QuotaCommands
from orchidlane.gateway.server.resp_session import Session
from orchidlane.resp import ErrorReply
from orchidlane.runtime import (
    REQUESTS,
    ConnectionClosedError,
    DeadlineExceededError,
    EventLoop,
    LingeringConnections,
    Listener,
    Stream,
    Task,
    TaskGroup,
)

FLUSH_BYTES = 16_384  # of replies that are written at once
MAX_REPORTED_BYTES = 65_536  # of unread commands that another process is told of
MAX_NESTING = 4
LOST = ErrorReply("ERR the process that took this command ended; whether it took effect is not known")


class RespServer:
    """Accepts clients and carries out their commands."""

    def __init__(
        self,
        loop: EventLoop,
        fleet: FleetSettings,
        service: LimitService,
        knowledge: Callable[[], ConfigurationSnapshot],
        scope: TaskGroup,
        why_not: Callable[[], str] = str,
    ) -> None:
        self.loop = loop
        self.fleet = fleet
        self.terms = fleet.quotas
        self.service = service
        self.scope = scope
        self.limits = resp.Limits(
            max_bulk_bytes=self.terms.max_bulk_bytes,
            max_items=self.terms.max_command_words,
            max_total_items=self.terms.max_command_words,
            max_depth=MAX_NESTING,
        )
        self.sessions: dict[Session, None] = {}
        self.lingering = LingeringConnections(
            loop, scope, fleet.timeouts.linger_us, fleet.resource_limits.max_lingering_connections
        )
        self.draining = False
        self.listener: Listener
        self.pass_on: Callable[[Session], None] | None = None  # gets each session between two commands
        self.watcher: Watcher | None = None  # is told of sessions while another process may need them
        self._accepting: Task
        self._numbers = loop.now()  # a later process of this gateway numbers on from later
        self._commands = CommandTable(
            ConnectionCommands(fleet.quotas.passwords),
            QuotaCommands(fleet.quotas, service, knowledge, why_not, lambda: len(self.sessions)),
        )

    # -- connections

    def listen(self, listener: Listener) -> None:
        """Take clients from a listener."""
        self.listener = listener
        self._accepting = self.scope.spawn(self._accept, priority=REQUESTS, name="accept resp")

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
        self._accepting = self.scope.spawn(self._accept, priority=REQUESTS, name="accept resp")

    def _pass(self, session: Session) -> None:
        assert self.pass_on is not None
        assert session.task is not None
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
            self.scope.spawn(self._turn_away, stream, priority=REQUESTS, name="resp turned away")
            return
        session = Session(stream, self.next_number(), self.limits, not self.terms.passwords)
        if self.watcher is not None:
            self.watcher.opened(session.number, stream)
        self._begin(session)

    def _begin(self, session: Session) -> None:
        self.sessions[session] = None
        session.task = self.scope.spawn(self._client, session, priority=REQUESTS, name="resp client")

    def _turn_away(self, stream: Stream) -> None:
        try:
            reply = ErrorReply("ERR max number of clients reached")
            stream.send(resp.encode(reply), self.loop.now() + self.fleet.timeouts.client_write_us)
        except (ConnectionClosedError, DeadlineExceededError):
            pass
        finally:
            self.lingering.close(stream)

    def drain(self) -> None:
        """Take no more clients; the idle ones are ended, the others once they were answered."""
        self.draining = True
        self.listener.close()
        for session in list(self.sessions):
            if not (session.decoder.pending_bytes or session.busy or session.stream.has_input()):
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
        except (ConnectionClosedError, DeadlineExceededError):
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
        span = times.body_progress_us if session.decoder.pending_bytes else times.client_idle_us
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
            unread = session.decoder.unread_bytes()
            if unread is not None and len(unread) <= MAX_REPORTED_BYTES:
                self.watcher.idle(session.number, unread, session.facts)

    def _answer_all(self, session: Session) -> None:
        out = bytearray()
        try:
            while self.pass_on is None and (words := session.decoder.next_command()) is not None:
                if not words:
                    continue
                if self.watcher is not None:
                    self.watcher.began(session.number)
                out += resp.encode(self._commands.execute(session, words), session.version)
                quits = words[0].upper() == b"QUIT"
                if len(out) >= FLUSH_BYTES or quits:
                    self._write(session, out)
                if quits:
                    raise ConnectionClosedError("the client quit")
                self.loop.yield_sometimes()
        except resp.ProtocolError as wrong:
            out += resp.encode(ErrorReply(f"ERR Protocol error: {wrong}"))
            self._write(session, out)
            raise ConnectionClosedError("out of step") from None
        self._write(session, out)
        if self.draining:
            raise ConnectionClosedError("draining")
        self.loop.yield_sometimes()

    def _write(self, session: Session, out: bytearray) -> None:
        if out:
            if self.watcher is not None:
                self.watcher.answering(session.number)
            send_all(session.stream, bytes(out), self.loop.now() + self.fleet.timeouts.client_write_us)
            out.clear()
            self._tell_idle(session)
