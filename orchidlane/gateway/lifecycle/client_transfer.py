"""Client connections in a hot restart: handed over, retained during probation, reported, and taken back."""

from __future__ import annotations

import contextlib
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum

from orchidlane.gateway.forwarding.error_responses import failed
from orchidlane.gateway.lifecycle.restart_channel import Channel
from orchidlane.gateway.lifecycle.served_gateway import ServedGateway
from orchidlane.gateway.server.http_server import ClientConnection
from orchidlane.gateway.server.resp_server import Session
from orchidlane.hot_restart import messages
from orchidlane.hot_restart.messages import INITIAL_RESP_SESSION, RespSessionState
from orchidlane.runtime import REQUESTS, ConnectionClosedError, DeadlineExceededError, Stream, TaskGroup
from orchidlane.runtime.backend import Handle

HTTP = "http"
RESP = "resp"


def connection_id(protocol: str, number: int) -> int:
    """Return an identifier that is unique over the connections of both servers."""
    return number << 1 | (protocol == RESP)


def connection_number(identifier: int) -> int:
    """Return the number that a connection has in its own server."""
    return identifier >> 1


class ConnectionState(Enum):
    """What the new process last reported about a connection."""

    IDLE = "idle"
    READING = "reading"
    REQUEST_STARTED = "request started"
    RESPONDING = "responding"


@dataclass
class RetainedConnection:
    """A descriptor of a client's connection that the old process keeps during probation."""

    handle: Handle
    protocol: str
    state: ConnectionState = ConnectionState.IDLE
    unread: bytes = b""
    unread_since_us: int = 0
    last_received_at_us: int = 0
    session: RespSessionState = INITIAL_RESP_SESSION


class ClientTransfer:
    """The old process's part: hands clients over, and takes back those whose descriptors it has retained."""

    def __init__(self, gateway: ServedGateway, scope: TaskGroup, in_probation: Callable[[], bool]) -> None:
        self.gateway = gateway
        self.scope = scope
        self.in_probation = in_probation
        self.retained: dict[int, RetainedConnection] = {}

    # -- handing over

    def hand_over_http(self, channel: Channel, connection: ClientConnection) -> None:
        """Hand an idle HTTP connection over."""
        retained = RetainedConnection(
            connection.stream.duplicate(),
            HTTP,
            unread=connection.parser.unread,
            unread_since_us=connection.unread_since_us,
            last_received_at_us=connection.last_received_at_us,
        )
        self._hand_over(channel, connection.stream, connection_id(HTTP, connection.number), retained)

    def hand_over_resp(self, channel: Channel, session: Session) -> None:
        """Hand an idle RESP connection over; close it if its unread bytes can't be part of a command."""
        unread = session.decoder.unread_bytes()
        if unread is None:
            session.stream.close()
            return
        state = session.state
        retained = RetainedConnection(session.stream.duplicate(), RESP, unread=unread, session=state)
        self._hand_over(channel, session.stream, connection_id(RESP, session.number), retained)

    def _hand_over(
        self, channel: Channel, stream: Stream, identifier: int, retained: RetainedConnection
    ) -> None:
        message = messages.ConnectionHandover(
            identifier,
            retained.protocol,
            retained.unread,
            retained.unread_since_us,
            retained.last_received_at_us,
            retained.session,
        )
        channel.send(message, stream.duplicate())
        stream.release()
        if self.in_probation():
            self.retained[identifier] = retained
        else:
            self.gateway.loop.backend.close_handle(retained.handle)

    # -- reports of the new process

    def receive(self, channel: Channel, message: messages.AnyMessage) -> None:
        """Update the state of a connection from a report of the new process; ignore other messages."""
        match message:
            case messages.ReadStarted():
                self._set_state(message.connection_id, ConnectionState.READING)
            case messages.RequestStarted():
                self._set_state(message.connection_id, ConnectionState.REQUEST_STARTED)
            case messages.ResponseStarted():
                self._set_state(message.connection_id, ConnectionState.RESPONDING)
            case messages.ConnectionIdle():
                self._receive_idle(message)
            case messages.ConnectionOpened():
                self._receive_opened(channel, message)
            case messages.ConnectionClosed():
                self._release(message.connection_id)
            case messages.ConnectionAdopted():
                if not message.adopted:
                    self._close(message.connection_id)

    def _set_state(self, identifier: int, state: ConnectionState) -> None:
        retained = self.retained.get(identifier)
        if retained is not None:
            retained.state = state

    def _receive_idle(self, message: messages.ConnectionIdle) -> None:
        retained = self.retained.get(message.connection_id)
        if retained is None:
            return
        retained.state = ConnectionState.IDLE
        retained.unread = message.unread
        retained.unread_since_us = self.gateway.loop.now()
        retained.session = message.session or retained.session
        if message.returned and not self.in_probation():
            self._take_back(message.connection_id)

    def _receive_opened(self, channel: Channel, message: messages.ConnectionOpened) -> None:
        handle = channel.stream.receive_handle()
        if handle is None:
            return
        now = self.gateway.loop.now()
        needs_password = bool(self.gateway.fleet.quotas.passwords)
        self.retained[message.connection_id] = RetainedConnection(
            handle,
            message.protocol,
            unread_since_us=now,
            last_received_at_us=now,
            session=RespSessionState(2, b"", not needs_password),
        )

    def _release(self, identifier: int) -> None:
        """Close the retained descriptor; the new process keeps the connection open."""
        retained = self.retained.pop(identifier, None)
        if retained is not None:
            self.gateway.loop.backend.close_handle(retained.handle)

    def _close(self, identifier: int) -> None:
        """Close a connection whose descriptor did not reach the new process."""
        retained = self.retained.pop(identifier, None)
        if retained is not None:
            self.gateway.loop.backend.adopt_stream(retained.handle).close()

    def release_all(self) -> None:
        """Close all retained descriptors once probation has passed."""
        for identifier in list(self.retained):
            self._release(identifier)

    # -- taking back

    def take_back_idle(self) -> None:
        """Serve the idle clients in this process again."""
        for identifier, retained in list(self.retained.items()):
            if retained.state is ConnectionState.IDLE:
                self._take_back(identifier)

    def _take_back(self, identifier: int) -> None:
        retained = self.retained.pop(identifier)
        stream = self.gateway.loop.backend.adopt_stream(retained.handle)
        if retained.protocol == HTTP:
            server = self.gateway.http_server
            unread_since_us = retained.unread_since_us
            server.adopt(
                stream, retained.unread, unread_since_us, retained.last_received_at_us, server.next_number()
            )
        else:
            resp = self.gateway.resp_server
            resp.adopt(stream, retained.unread, retained.session, resp.next_number())

    def respond_to_orphans(self) -> None:
        """Respond to the clients whose requests were in progress in the new process when it died.

        The response does not say whether the request was carried out. If the new process had started its
        response, it is unknown how much of it was sent, so the connection is closed instead.
        """
        for identifier, retained in list(self.retained.items()):
            if retained.state is ConnectionState.IDLE:
                self._take_back(identifier)
                continue
            stream = self.gateway.loop.backend.adopt_stream(retained.handle)
            if retained.state is ConnectionState.RESPONDING:
                stream.close()
            else:
                self.scope.spawn(
                    self._respond_failed, retained, stream, priority=REQUESTS, name="orphan response"
                )
        self.retained.clear()

    def _respond_failed(self, retained: RetainedConnection, stream: Stream) -> None:
        try:
            if retained.protocol == HTTP:
                self.gateway.http_server.respond_to_orphan(stream, failed())
            else:
                resp = self.gateway.resp_server
                is_started = retained.state is ConnectionState.REQUEST_STARTED
                unread = retained.unread if is_started else None
                resp.respond_to_orphan(stream, unread, retained.session, resp.next_number())
        except (ConnectionClosedError, DeadlineExceededError):
            stream.close()


class ConnectionReporter:
    """Reports the new process's connections to the old one, each step before it happens.

    If the new process dies, the old one knows from the reports which clients it can take back.

    Implements ``client_connection.ConnectionObserver``.
    """

    def __init__(self, channel: Channel, protocol: str) -> None:
        self.channel = channel
        self.protocol = protocol

    def connection_opened(self, number: int, stream: Stream) -> None:
        """Report a new connection, with a descriptor of it."""
        identifier = connection_id(self.protocol, number)
        self.channel.send(messages.ConnectionOpened(identifier, self.protocol), stream.duplicate())

    def read_started(self, number: int) -> None:
        """Report that bytes are about to be read, and wait until the report is sent.

        Bytes that this process has read are lost if it dies, so the old process must know about them.
        """
        self.channel.send(messages.ReadStarted(connection_id(self.protocol, number)))
        if self.channel.has_backlog:
            with contextlib.suppress(DeadlineExceededError):
                self.channel.flush()

    def request_started(self, number: int) -> None:
        """Report that a request is in progress."""
        self.channel.send(messages.RequestStarted(connection_id(self.protocol, number)))

    def response_started(self, number: int) -> None:
        """Report that a response is about to be written."""
        self.channel.send(messages.ResponseStarted(connection_id(self.protocol, number)))

    def connection_idle(self, number: int, unread: bytes, session: RespSessionState | None = None) -> None:
        """Report that no request is in progress, with the bytes read of the next one."""
        identifier = connection_id(self.protocol, number)
        self.channel.send(messages.ConnectionIdle(identifier, unread=unread, session=session))

    def connection_closed(self, number: int) -> None:
        """Report that a connection is closed."""
        self.channel.send(messages.ConnectionClosed(connection_id(self.protocol, number)))


class ClientReturn:
    """The new process's part: adopts clients, and on reclaim returns each as it becomes idle."""

    def __init__(self, gateway: ServedGateway, channel: Channel) -> None:
        self.gateway = gateway
        self.channel = channel

    def adopt(self, message: messages.ConnectionHandover) -> None:
        """Serve a client that the old process hands over."""
        handle = self.channel.stream.receive_handle()
        self.channel.send(messages.ConnectionAdopted(message.connection_id, handle is not None))
        if handle is None:
            return
        stream = self.gateway.loop.backend.adopt_stream(handle)
        number = connection_number(message.connection_id)
        if message.protocol == HTTP:
            unread_since_us = message.unread_since_us
            self.gateway.http_server.adopt(
                stream, message.unread, unread_since_us, message.last_received_at_us, number
            )
        else:
            self.gateway.resp_server.adopt(stream, message.unread, message.session, number)

    def return_http(self, connection: ClientConnection) -> None:
        """Return an idle HTTP connection."""
        identifier = connection_id(HTTP, connection.number)
        self.channel.send(messages.ConnectionIdle(identifier, True, connection.parser.unread))
        connection.stream.release()

    def return_resp(self, session: Session) -> None:
        """Return an idle RESP connection; close it if its unread bytes can't be part of a command."""
        identifier = connection_id(RESP, session.number)
        unread = session.decoder.unread_bytes()
        if unread is None:
            self.channel.send(messages.ConnectionClosed(identifier))
            session.stream.close()
            return
        state = session.state
        self.channel.send(messages.ConnectionIdle(identifier, True, unread, state))
        session.stream.release()
