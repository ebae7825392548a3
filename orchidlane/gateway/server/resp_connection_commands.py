"""RESP commands on the connection itself, as client libraries expect them (Redis specification)."""

from __future__ import annotations

import hashlib
import hmac
from typing import Any

from orchidlane.gateway.server.resp_arguments import CommandError, printable
from orchidlane.gateway.server.resp_session import DEFAULT_VERSION, Session
from orchidlane.resp import SimpleString

OK = SimpleString("OK")
EMULATED_VERSION = "7.0.0"  # the Redis version that HELLO reports to client libraries
IGNORED_SUBCOMMANDS = (b"SETINFO", b"NO-EVICT", b"NO-TOUCH", b"TRACKING")


class ConnectionCommands:
    """Commands for the handshake, authentication and settings of a client's session."""

    def __init__(self, passwords: tuple[str, ...]) -> None:
        self._passwords = passwords  # SHA-256 digests in hex; if there are none, clients need no password

    def ping(self, _session: Session, words: list[bytes]) -> Any:
        """PING [message]."""
        return words[0] if words else SimpleString("PONG")

    def echo(self, _session: Session, words: list[bytes]) -> Any:
        """ECHO message."""
        return words[0]

    def quit(self, _session: Session, _words: list[bytes]) -> Any:
        """QUIT; the server closes the connection after the reply."""
        return OK

    def auth(self, session: Session, words: list[bytes]) -> Any:
        """AUTH [username] password."""
        if not self._passwords:
            raise CommandError("ERR AUTH called without any password configured")
        digest = hashlib.sha256(words[-1]).hexdigest()
        if len(words) == 2 and words[0] != b"default":
            raise CommandError("WRONGPASS invalid username-password pair")
        # All digests are compared, so that the time taken reveals nothing about a match.
        matches = sum(hmac.compare_digest(digest, password_digest) for password_digest in self._passwords)
        if not matches:
            raise CommandError("WRONGPASS invalid username-password pair")
        session.is_authenticated = True
        return OK

    def hello(self, session: Session, words: list[bytes]) -> Any:
        """HELLO [protover [AUTH username password] [SETNAME clientname]]."""
        version = session.version
        if words:
            if words[0] not in (b"2", b"3"):
                raise CommandError("NOPROTO unsupported protocol version")
            version = int(words[0])
        rest = list(words[1:])
        while rest:
            option = rest.pop(0).upper()
            if option == b"AUTH" and len(rest) >= 2:
                self.auth(session, [rest.pop(0), rest.pop(0)])
            elif option == b"SETNAME" and rest:
                session.name = rest.pop(0)
            else:
                raise CommandError("ERR syntax error in HELLO")
        if not session.is_authenticated:
            raise CommandError("NOAUTH HELLO must be called with the client already authenticated")
        session.version = version
        return {
            "server": "orchidlane",
            "version": EMULATED_VERSION,
            "proto": version,
            "id": session.number,
            "mode": "standalone",
            "role": "master",
            "modules": [],
        }

    def reset(self, session: Session, _words: list[bytes]) -> Any:
        """RESET."""
        session.version = DEFAULT_VERSION
        session.name = b""
        session.is_authenticated = not self._passwords
        return SimpleString("RESET")

    def select(self, _session: Session, words: list[bytes]) -> Any:
        """SELECT index; there is one database."""
        if words[0] != b"0":
            raise CommandError("ERR DB index is out of range")
        return OK

    def client(self, session: Session, words: list[bytes]) -> Any:
        """CLIENT subcommand."""
        subcommand = words[0].upper()
        if subcommand == b"SETNAME" and len(words) == 2:
            session.name = words[1]
            return OK
        if subcommand == b"GETNAME":
            return session.name or None
        if subcommand == b"ID":
            return session.number
        if subcommand == b"MAINT_NOTIFICATIONS":
            raise CommandError("ERR maintenance notifications are not sent here")
        if subcommand not in IGNORED_SUBCOMMANDS:
            raise CommandError(f"ERR unknown subcommand '{printable(words[0])}'")
        return OK
