"""Arguments of RESP commands: numbers, units, tokens and options, checked before a command is executed."""

from __future__ import annotations

MAX_TOKEN_BYTES = 256
MAX_NUMBER_DIGITS = 12
MAX_UNITS = 1_000_000
MAX_QUOTED_BYTES = 64  # of a command's word that an error reply quotes


class CommandError(Exception):
    """Raised for a command that can't be executed; its text is the error reply."""


def printable(word: bytes) -> str:
    """Return a command's word for an error reply: shortened, with '?' for unprintable characters."""
    text = word[:MAX_QUOTED_BYTES].decode("utf-8", "replace")
    return "".join(character if character.isprintable() else "?" for character in text)


def parse_number(text: bytes, name: str) -> int:
    """Return a whole number of at most 12 digits. Raises CommandError, which names the argument."""
    if not text.isdigit() or len(text) > MAX_NUMBER_DIGITS:
        raise CommandError(f"ERR {name}: a whole number is wanted")
    return int(text)


def parse_units(text: bytes) -> float:
    """Return a whole number of units, 1 to ``MAX_UNITS``. Raises CommandError."""
    units = parse_number(text, "units")
    if not 0 < units <= MAX_UNITS:
        raise CommandError("ERR units: found none, allowed: 1 to 1000000")
    return float(units)


def parse_token(token: bytes) -> bytes:
    """Return an idempotency token. Raises CommandError if it is empty or too long."""
    if not 0 < len(token) <= MAX_TOKEN_BYTES:
        raise CommandError(f"ERR a token has 1 to {MAX_TOKEN_BYTES} bytes")
    return token


def parse_duration_us(text: bytes | None, name: str, maximum_us: int) -> int:
    """Return the microseconds of a duration in milliseconds, 0 without a text. Raises CommandError."""
    duration_us = parse_number(text, name) * 1_000 if text is not None else 0
    if duration_us > maximum_us:
        raise CommandError(f"ERR {name} is at most {maximum_us // 1_000} ms")
    return duration_us


def parse_options(words: list[bytes], allowed: tuple[bytes, ...]) -> dict[bytes, bytes]:
    """Return options by their upper-case names, each of which may occur once. Raises CommandError."""
    options: dict[bytes, bytes] = {}
    if len(words) % 2:
        raise CommandError("ERR syntax error")
    for word, value in zip(words[::2], words[1::2], strict=True):
        name = word.upper()
        if name not in allowed or name in options:
            raise CommandError(f"ERR syntax error near '{printable(word)}'")
        options[name] = value
    return options
