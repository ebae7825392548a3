"""Tells a response that an endpoint sent twice from the response to the next request. Does no I/O.

An endpoint may send a response a second time, some milliseconds late. On a connection that is reused before
that, the second copy would be read as the response to the next request. A connection is *settled* once it was
idle for so long that no second copy can still be on its way; then, and on a new connection, every response is
genuine. On a connection that is not settled, a response with the same body as the one before may be a copy
and is not accepted. So that few genuine responses are taken for copies, such a connection is reused only
while genuine responses have bodies unlike the ones before.
"""

from __future__ import annotations

REQUIRED_DISTINCT_RESPONSES = 16  # in a row; services with few different bodies rarely reach it
UNKNOWN = None  # no response that a later one could be told from


class ResponseHistory:
    """Counts the genuine responses in a row that differ from the one before on their connection."""

    def __init__(self) -> None:
        self._distinct_count = 0

    @property
    def are_distinct(self) -> bool:
        """Whether a copy can be told from the next response."""
        return self._distinct_count >= REQUIRED_DISTINCT_RESPONSES

    def accept(self, previous: int | None, latest: int | None, is_settled: bool) -> bool:
        """Count a response, given its hash and that of the one before; return False if it may be a copy."""
        if previous is UNKNOWN or latest is UNKNOWN:
            return True
        is_distinct = previous != latest
        self._distinct_count = self._distinct_count + 1 if is_distinct else 0
        return is_distinct or is_settled


def hash_of(body: bytes) -> int | None:
    """Return a hash of a response's body; ``UNKNOWN`` for an empty one, since empty ones are all alike."""
    return hash(body) if body else UNKNOWN
