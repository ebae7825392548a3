"""The table of RESP commands: how each is executed, its number of arguments, and the replies to COMMAND."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from orchidlane.gateway.peers.token_requests import PeersUnreachableError
from orchidlane.gateway.server.resp_arguments import CommandError, printable
from orchidlane.gateway.server.resp_connection_commands import ConnectionCommands
from orchidlane.gateway.server.resp_quota_commands import QuotaCommands
from orchidlane.gateway.server.resp_session import Session
from orchidlane.limits import GrantStoreFullError
from orchidlane.resp import ErrorReply, SimpleString

ALLOWED_BEFORE_AUTH = (b"AUTH", b"HELLO", b"QUIT", b"RESET")


@dataclass(frozen=True, slots=True)
class Command:
    """A command: its implementation and the minimum and maximum number of arguments after its name."""

    execute: Callable[[Session, list[bytes]], Any]
    min_arguments: int
    max_arguments: int


class CommandTable:
    """Executes commands and describes them."""

    def __init__(self, connection: ConnectionCommands, quota: QuotaCommands) -> None:
        self._commands = {
            b"PING": Command(connection.ping, 0, 1),
            b"ECHO": Command(connection.echo, 1, 1),
            b"AUTH": Command(connection.auth, 1, 2),
            b"HELLO": Command(connection.hello, 0, 7),
            b"QUIT": Command(connection.quit, 0, 0),
            b"RESET": Command(connection.reset, 0, 0),
            b"SELECT": Command(connection.select, 1, 1),
            b"CLIENT": Command(connection.client, 1, 8),
            b"COMMAND": Command(self._describe_commands, 0, 64),
            b"CL.THROTTLE": Command(quota.throttle, 4, 5),
            b"LIMIT.TAKE": Command(quota.take, 2, 8),
            b"LIMIT.PEEK": Command(quota.peek, 1, 1),
            b"LIMIT.GIVEBACK": Command(quota.give_back, 2, 2),
            b"LIMIT.RESERVE": Command(quota.reserve, 4, 4),
            b"LIMIT.COMMIT": Command(quota.commit, 2, 2),
            b"LIMIT.RELEASE": Command(quota.release, 2, 2),
            b"LIMIT.INFO": Command(quota.info, 0, 0),
        }

    def execute(self, session: Session, words: list[bytes]) -> Any:
        """Execute a command; return its reply, which is an ``ErrorReply`` if it can't be executed."""
        name = words[0].upper()
        command = self._commands.get(name)
        if command is None:
            return ErrorReply(f"ERR unknown command '{printable(words[0])}'")
        if not command.min_arguments <= len(words) - 1 <= command.max_arguments:
            return ErrorReply(f"ERR wrong number of arguments for '{printable(name).lower()}' command")
        if not session.is_authenticated and name not in ALLOWED_BEFORE_AUTH:
            return ErrorReply("NOAUTH Authentication required.")
        try:
            return command.execute(session, words[1:])
        except CommandError as error:
            return ErrorReply(str(error))
        except PeersUnreachableError as error:
            return ErrorReply(f"TRYAGAIN {error}; nothing was counted by this command")
        except GrantStoreFullError as error:
            return ErrorReply(f"BUSY {error}")

    def _describe_commands(self, _session: Session, words: list[bytes]) -> Any:
        """COMMAND [COUNT | DOCS [name ...] | INFO [name ...]]."""
        subcommand = words[0].upper() if words else b""
        if subcommand == b"COUNT":
            return len(self._commands)
        if subcommand == b"DOCS":
            summary = {"summary": "See docs/resp.md"}
            return {name.decode().lower(): summary for name in self._selected_names(words[1:])}
        if subcommand in (b"", b"INFO"):
            return [self._describe(name) for name in self._selected_names(words[1:])]
        raise CommandError(f"ERR unknown subcommand '{printable(words[0])}'")

    def _selected_names(self, words: list[bytes]) -> list[bytes]:
        return [word.upper() for word in words if word.upper() in self._commands] or list(self._commands)

    def _describe(self, name: bytes) -> list[Any]:
        command = self._commands[name]
        arity = command.min_arguments + 1
        if command.min_arguments != command.max_arguments:
            arity = -arity  # a negative arity is a minimum in the reply to COMMAND
        has_key = name.startswith((b"CL.", b"LIMIT.")) and name != b"LIMIT.INFO"
        key_position = int(has_key)
        return [
            name.decode().lower(),
            arity,
            [SimpleString("fast")],
            key_position,
            key_position,
            key_position,
        ]
