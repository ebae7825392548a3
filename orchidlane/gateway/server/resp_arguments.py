"""Arguments of RESP commands: numbers, units, tokens and options, checked before a command is carried out."""

from __future__ import annotations

MAX_TOKEN_BYTES = 256
MAX_NUMBER_DIGITS = 12
MAX_UNITS = 1_000_000
MAX_QUOTED_BYTES = 64  # of a client's word in an error


class CommandError(Exception):
    """A command that can't be carried out; its text is the error reply."""


def printable(word: bytes) -> str:
    """Return a client's word as it may stand in an error: short and printable."""
    text = word[:MAX_QUOTED_BYTES].decode("utf-8", "replace")
    return "".join(character if character.isprintable() else "?" for character in text)


def parse_number(text: bytes, name: str) -> int:
    """Return a whole number. Raises CommandError that names the argument."""
    if not text.isdigit() or len(text) > MAX_NUMBER_DIGITS:
        raise CommandError(f"ERR {name}: a whole number is wanted")
    return int(text)


def parse_units(text: bytes) -> float:
    """Return a number of units. Raises CommandError."""
    units = parse_number(text, "units")
    if not 0 < units <= MAX_UNITS:
        raise CommandError("ERR units: found none, allowed: 1 to 1000000")
    return float(units)


def parse_token(token: bytes) -> bytes:
    """Return an idempotency token. Raises CommandError where it is empty or too long."""
    if not 0 < len(token) <= MAX_TOKEN_BYTES:
        raise CommandError(f"ERR a token has 1 to {MAX_TOKEN_BYTES} bytes")
    return token


def parse_duration_us(text: bytes | None, name: str, maximum_us: int) -> int:
    """Return a duration stated in milliseconds, 0 where there is none. Raises CommandError."""
    duration_us = parse_number(text, name) * 1_000 if text is not None else 0
    if duration_us > maximum_us:
        raise CommandError(f"ERR {name} is at most {maximum_us // 1_000} ms")
    return duration_us


def parse_options(words: list[bytes], allowed: tuple[bytes, ...]) -> dict[bytes, bytes]:
    """Return pairs of name and value, each name once and in upper case. Raises CommandError."""
    options: dict[bytes, bytes] = {}
    if len(words) % 2:
        raise CommandError("ERR syntax error")
    for word, value in zip(words[::2], words[1::2], strict=True):
        name = word.upper()
        if name not in allowed or name in options:
            raise CommandError(f"ERR syntax error near '{printable(word)}'")
        options[name] = value
    return options
