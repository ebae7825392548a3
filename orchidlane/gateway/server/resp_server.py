"""The RESP server: accepts clients and replies to their commands in order; ``resp_commands`` executes them.

Replies are buffered until no further command has arrived or ``FLUSH_BYTES`` is reached. While a client does
not read its replies, its commands are not read either, and it is closed after the write timeout. The task
yields between commands, so that a long pipeline does not delay other clients.
"""

from __future__ import annotations

from collections.abc import Callable

from orchidlane import resp
from orchidlane.gateway.control.configuration import ConfigurationSnapshot
from orchidlane.gateway.control.settings import FleetSettings
from orchidlane.gateway.peers.token_requests import LimitService
from orchidlane.gateway.server.accept_loop import accept_clients
from orchidlane.gateway.server.client_connection import receive_observed, send_all
from orchidlane.gateway.server.connection_server import ConnectionServer
from orchidlane.gateway.server.resp_commands import CommandTable
from orchidlane.gateway.server.resp_connection_commands import ConnectionCommands
from orchidlane.gateway.server.resp_quota_commands import QuotaCommands
from orchidlane.gateway.server.resp_session import Session
from orchidlane.hot_restart.messages import RespSessionState
from orchidlane.resp import ErrorReply
from orchidlane.runtime import (
    REQUESTS,
    ConnectionClosedError,
    DeadlineExceededError,
    EventLoop,
    Stream,
    TaskGroup,
)

FLUSH_BYTES = 16_384  # buffered replies are written from this size on
MAX_REPORTED_BYTES = 65_536  # the observer is not notified of more unread bytes than this
MAX_NESTING_DEPTH = 4
POSSIBLY_EXECUTED = ErrorReply(
    "ERR the process that took this command ended; whether it took effect is not known"
)


class RespServer(ConnectionServer[Session]):
    """Accepts clients and executes their commands."""

    accept_task_name = "accept resp"
    client_task_name = "resp client"

    def __init__(
        self,
        loop: EventLoop,
        fleet: FleetSettings,
        service: LimitService,
        configuration: Callable[[], ConfigurationSnapshot],
        scope: TaskGroup,
        unready_reason: Callable[[], str] = str,
    ) -> None:
        super().__init__(loop, fleet, scope)
        self.fleet = fleet
        self.quotas = fleet.quotas
        self.service = service
        self.decoder_limits = resp.Limits(
            max_bulk_bytes=self.quotas.max_bulk_bytes,
            max_items=self.quotas.max_command_words,
            max_total_items=self.quotas.max_command_words,
            max_depth=MAX_NESTING_DEPTH,
        )
        self._commands = CommandTable(
            ConnectionCommands(fleet.quotas.passwords),
            QuotaCommands(
                fleet.quotas, service, configuration, unready_reason, lambda: len(self.connections)
            ),
        )

    def _can_hand_over(self, session: Session) -> bool:
        return not session.is_busy

    def adopt(self, stream: Stream, unread: bytes, state: RespSessionState, number: int) -> None:
        """Serve a client that another process handed over between two commands."""
        session = Session(stream, number, self.decoder_limits, state.authorized)
        session.version, session.name = state.version, state.name
        session.decoder.receive(unread)
        self._start_serving(session)

    def respond_to_orphan(
        self, stream: Stream, unread: bytes | None, state: RespSessionState, number: int
    ) -> None:
        """Reply to the commands of a client whose process crashed: they were possibly executed.

        Each command in ``unread`` gets an error. If ``unread`` is None, one error is sent and the connection
        closed. Raises ConnectionClosedError, DeadlineExceededError.
        """
        session = Session(stream, number, self.decoder_limits, state.authorized)
        session.version, session.name = state.version, state.name
        command_count = 1
        if unread is not None:
            session.decoder.receive(unread)
            command_count = sum(bool(words) for words in iter(session.decoder.next_command, None))
        replies = resp.encode(POSSIBLY_EXECUTED, session.version) * command_count
        stream.send(replies, self.loop.now() + self.fleet.timeouts.client_write_us)
        if unread is None:
            self.lingering.close(stream)
        else:
            self._start_serving(session)

    def _accept(self) -> None:
        accept_clients(self.loop, self.listener, self._accept_client)

    def _accept_client(self, stream: Stream) -> None:
        if len(self.connections) >= self.quotas.max_connections:
            self.scope.spawn(self._reject_client, stream, priority=REQUESTS, name="reject resp client")
            return
        session = Session(stream, self.next_number(), self.decoder_limits, not self.quotas.passwords)
        if self.observer is not None:
            self.observer.connection_opened(session.number, stream)
        self._start_serving(session)

    def _reject_client(self, stream: Stream) -> None:
        try:
            reply = ErrorReply("ERR max number of clients reached")
            stream.send(resp.encode(reply), self.loop.now() + self.fleet.timeouts.client_write_us)
        except (ConnectionClosedError, DeadlineExceededError):
            pass
        finally:
            self.lingering.close(stream)

    def drain(self) -> None:
        """Accept no more clients; close idle sessions now and the others after the replies they wait for."""
        self.draining = True
        self.listener.close()
        for session in list(self.connections):
            if not (session.decoder.pending_bytes or session.is_busy or session.stream.has_input()):
                self._close(session)

    def _serve(self, session: Session) -> None:
        try:
            session.is_busy = True  # a session that was handed over may hold unread commands
            self._execute_commands(session)
            session.is_busy = False
            while self.hand_over is None and self._receive(session):
                session.is_busy = True
                self._execute_commands(session)
                session.is_busy = False
            if self.hand_over is not None and not session.is_detached:
                self._hand_over(session)
        except (ConnectionClosedError, DeadlineExceededError):
            pass
        except BaseException:
            self._release_if_observed(session)
            raise
        finally:
            self._close(session)

    def _receive(self, session: Session) -> bool:
        """Receive once; return False at the end of input.

        The rest of an incomplete command has the timeout ``body_progress_us``, a new one ``client_idle_us``.
        """
        timeouts = self.fleet.timeouts
        timeout_us = timeouts.body_progress_us if session.decoder.pending_bytes else timeouts.client_idle_us
        deadline = self.loop.now() + timeout_us
        if self.observer is None:
            data = session.stream.recv(deadline=deadline)
        else:
            data = receive_observed(session.stream, self.observer, session.number, deadline)
        session.decoder.receive(data)
        self._report_idle(session)
        return bool(data)

    def _report_idle(self, session: Session) -> None:
        """Notify the observer that no command is in flight, if another process could continue the session."""
        if self.observer is not None:
            unread = session.decoder.unread_bytes()
            if unread is not None and len(unread) <= MAX_REPORTED_BYTES:
                self.observer.connection_idle(session.number, unread, session.state)

    def _execute_commands(self, session: Session) -> None:
        replies = bytearray()
        try:
            while self.hand_over is None and (words := session.decoder.next_command()) is not None:
                if not words:
                    continue
                if self.observer is not None:
                    self.observer.request_started(session.number)
                replies += resp.encode(self._commands.execute(session, words), session.version)
                is_quit = words[0].upper() == b"QUIT"
                if len(replies) >= FLUSH_BYTES or is_quit:
                    self._write(session, replies)
                if is_quit:
                    raise ConnectionClosedError("the client sent QUIT")
                self.loop.yield_if_due()
        except resp.ProtocolError as error:
            replies += resp.encode(ErrorReply(f"ERR Protocol error: {error}"))
            self._write(session, replies)
            raise ConnectionClosedError("the client sent an invalid command") from None
        self._write(session, replies)
        if self.draining:
            raise ConnectionClosedError("the server is draining")
        self.loop.yield_if_due()

    def _write(self, session: Session, replies: bytearray) -> None:
        if replies:
            if self.observer is not None:
                self.observer.response_started(session.number)
            send_all(session.stream, bytes(replies), self.loop.now() + self.fleet.timeouts.client_write_us)
            replies.clear()
            self._report_idle(session)
