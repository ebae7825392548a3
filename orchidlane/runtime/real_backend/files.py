"""File operations: read a whole file, replace it atomically, remove it, or append in one write."""

from __future__ import annotations

import contextlib
import os


def read_file(path: str) -> bytes | None:
    """Return a file's content, None where there is no such file. Raises OSError."""
    try:
        with open(path, "rb") as file:
            return file.read()
    except FileNotFoundError:
        return None


def write_file(path: str, data: bytes) -> None:
    """Replace a file atomically and durably: a crash leaves either the old or the new content.

    Raises OSError.
    """
    temporary_path = f"{path}.new"
    with open(temporary_path, "wb") as file:
        file.write(data)
        file.flush()
        os.fsync(file.fileno())
    os.replace(temporary_path, path)
    directory = os.open(os.path.dirname(path) or ".", os.O_RDONLY)
    try:
        os.fsync(directory)  # makes the rename durable
    finally:
        os.close(directory)


def remove_file(path: str) -> None:
    """Remove a file, if there is one. Raises OSError."""
    with contextlib.suppress(FileNotFoundError):
        os.remove(path)


def append_file(path: str, data: bytes) -> None:
    """Append to a file with a single write; create it if there is none. Raises OSError."""
    descriptor = os.open(path, os.O_WRONLY | os.O_APPEND | os.O_CREAT, 0o644)
    try:
        os.write(descriptor, data)
    finally:
        os.close(descriptor)
