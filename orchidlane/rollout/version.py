"""Contents named by their hash, versions of them, and the quorum's certificate.

A version's number comes from the ledger; its contents never change, so a version with the prior contents is a
new version that names the same hashes. Numbers only grow. All seals are made under the fleet's key.
"""

from __future__ import annotations

import hashlib
import hmac
from collections.abc import Iterable, Sequence

import msgspec
from blake3 import blake3

NAME = 64  # hexadecimal digits of a content's name
TEXT_MOST = 200  # characters of a reason or a name
SEAL = 16  # bytes


def name_of(data: bytes) -> str:
    """The name of a content: its BLAKE3 hash in hexadecimal."""
    return blake3(data).hexdigest()


def is_name(text: str) -> bool:
    """Whether a text from outside can be a content's name."""
    return len(text) == NAME and not set(text) - set("0123456789abcdef")


class Parts(msgspec.Struct, frozen=True):
    """The names of all contents that a version has; "" where the fleet has none of the kind."""

    rules: str  # the description
    customers: str  # customers and the map of their sets
    plans: str = ""
    program: str = ""

    @property
    def content(self) -> str:
        """One name for all of it."""
        return name_of(msgspec.msgpack.encode(self))

    def names(self) -> list[str]:
        """Those that have a content."""
        return [name for name in msgspec.structs.astuple(self) if name]


class Version(msgspec.Struct, frozen=True):
    """One version of what the fleet goes by."""

    number: int
    parts: Parts
    base: int  # the number of the version that it was made from
    author: str = ""
    reason: str = ""
    undoes: int = 0  # the number of the version whose edit it takes back
    proposal: str = ""  # told again, a proposal is the same
    then: tuple[Parts, ...] = ()  # versions that follow it by themselves, each once all run the one before

    @property
    def content(self) -> str:
        """One name for all its contents."""
        return self.parts.content

    def show(self) -> str:
        """As logs and answers name it."""
        return f"{self.number}:{self.content[:12]}"


class Seat(msgspec.Struct, frozen=True, array_like=True):
    """A voter: its rank, and the store that it may vote with."""

    rank: int
    store: int


class Vote(msgspec.Struct, frozen=True):
    """What one voter said of one version; bound to it, its base and the term by the seal."""

    rank: int
    store: int
    yes: bool
    why: str
    seal: bytes


class Certificate(msgspec.Struct, frozen=True):
    """What proves that a quorum approved a version."""

    version: Version
    term: int
    seats: tuple[Seat, ...]
    votes: tuple[Vote, ...]


def seal_of(secret: bytes, purpose: str, *words: object) -> bytes:
    """A seal under the fleet's key (BLAKE2b, keyed; RFC 7693), bound to its purpose."""
    data = msgspec.msgpack.encode((purpose, words))
    return hashlib.blake2b(data, key=secret[:64], digest_size=SEAL).digest()


def is_sealed(secret: bytes, seal: bytes, purpose: str, *words: object) -> bool:
    """Whether a seal is the fleet's."""
    return hmac.compare_digest(seal, seal_of(secret, purpose, *words))


def cast(secret: bytes, seat: Seat, version: Version, term: int, yes: bool, why: str) -> Vote:
    """A voter's vote."""
    seal = seal_of(secret, "vote", *_bound(seat, version, term, yes))
    return Vote(seat.rank, seat.store, yes, why[:TEXT_MOST], seal)


def is_cast(secret: bytes, vote: Vote, version: Version, term: int) -> bool:
    """Whether a vote is of a gateway of ours, for this very version and term."""
    bound = _bound(Seat(vote.rank, vote.store), version, term, vote.yes)
    return is_sealed(secret, vote.seal, "vote", *bound)


def _bound(seat: Seat, version: Version, term: int, yes: bool) -> tuple[object, ...]:
    return seat.rank, seat.store, yes, term, version.number, version.content, version.base


def majority(seats: Sequence[Seat]) -> int:
    """How many of so many seats are a quorum."""
    return len(seats) // 2 + 1


def has_quorum(seats: Sequence[Seat], those: Iterable[Seat]) -> bool:
    """Whether these seats hold a majority of those that there are."""
    return len(set(seats) & set(those)) >= majority(seats)


def why_not_certified(secret: bytes, certificate: Certificate) -> str:
    """Why a certificate proves nothing; "" where it proves that its version was approved."""
    version, votes = certificate.version, [vote for vote in certificate.votes if vote.yes]
    if not certificate.seats:
        return "it names no voters"
    if not all(is_cast(secret, vote, version, certificate.term) for vote in votes):
        return "a vote is not sealed for this version"
    if not has_quorum(certificate.seats, {Seat(vote.rank, vote.store) for vote in votes}):
        return f"{len(votes)} of {len(certificate.seats)} voters are no quorum"
    return ""
