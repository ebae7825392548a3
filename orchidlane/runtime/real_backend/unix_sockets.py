"""Paths of Unix sockets, and the processes of their peers."""

from __future__ import annotations

import contextlib
import errno
import os
import socket
import stat
import struct

PEER_CREDENTIALS = struct.Struct("3i")  # struct ucred of unix(7): process, user and group identifiers
OWNER_ONLY_UMASK = 0o177


def bind_path(sock: socket.socket, path: str) -> None:
    """Bind a socket to a path that only this user may access, replacing the socket of a process that exited.

    Raises OSError.
    """
    with contextlib.suppress(FileNotFoundError):
        if stat.S_ISSOCK(os.stat(path).st_mode) and _is_stale(path):
            os.remove(path)
    previous_umask = os.umask(OWNER_ONLY_UMASK)
    try:
        sock.bind(path)
    finally:
        os.umask(previous_umask)


def _is_stale(path: str) -> bool:
    """Return whether no process listens on the socket at a path."""
    with socket.socket(socket.AF_UNIX, socket.SOCK_STREAM) as probe:
        probe.setblocking(False)
        return probe.connect_ex(path) == errno.ECONNREFUSED


def open_peer_pidfd(sock: socket.socket) -> int | None:
    """Return a pidfd of the peer's process, or None if that process has exited or is this one.

    Call this right after the connection is made: later the process identifier could belong to another process
    (see pidfd_open(2)).
    """
    credentials = sock.getsockopt(socket.SOL_SOCKET, socket.SO_PEERCRED, PEER_CREDENTIALS.size)
    pid, _user, _group = PEER_CREDENTIALS.unpack(credentials)
    if pid <= 0 or pid == os.getpid():
        return None
    try:
        return os.pidfd_open(pid)
    except OSError:
        return None
