"""Contents named by their hash, versions of them, and the certificate of a quorum.

The replicated state assigns the number of a version, and its contents never change. A return to earlier
contents is therefore a new version with the same hashes, and numbers only grow. All seals are made with the
key that the fleet shares.
"""

from __future__ import annotations

import hashlib
import hmac
from collections.abc import Iterable, Sequence

import msgspec
from blake3 import blake3

CONTENT_HASH_CHARACTERS = 64
MAX_TEXT_CHARACTERS = 200  # of a reason or an author
SEAL_BYTES = 16
MAX_KEY_BYTES = 64  # the longest key of BLAKE2b
HEXADECIMAL_DIGITS = frozenset("0123456789abcdef")


def content_hash(data: bytes) -> str:
    """Return the BLAKE3 hash of a content in hexadecimal; it names the content."""
    return blake3(data).hexdigest()


def is_content_hash(text: str) -> bool:
    """Return whether a text from outside has the form of a content hash."""
    return len(text) == CONTENT_HASH_CHARACTERS and not set(text) - HEXADECIMAL_DIGITS


class ContentHashes(msgspec.Struct, frozen=True):
    """The hashes of all contents of a version; "" where the fleet has no content of a kind."""

    rules: str  # the OpenAPI description
    customers: str  # the customers' file: customers, their plans and their replica sets
    plans: str = ""
    program: str = ""

    @property
    def combined_hash(self) -> str:
        """One hash of all contents together."""
        return content_hash(msgspec.msgpack.encode(self))

    def hashes(self) -> list[str]:
        """Return the hashes of all kinds of which there is a content."""
        return [value for value in msgspec.structs.astuple(self) if value]


class Version(msgspec.Struct, frozen=True):
    """One version of the fleet's configuration.

    ``base`` is the number of the version that it was made from, ``reverts`` the number of the version that it
    reverts (0: none). A proposal that is sent again has the same ``proposal_id``. ``followed_by`` lists the
    contents of further versions; each is put to the vote once every gateway runs the one before it.
    """

    number: int
    contents: ContentHashes = msgspec.field(name="parts")
    base: int
    author: str = ""
    reason: str = ""
    reverts: int = msgspec.field(default=0, name="undoes")
    proposal_id: str = msgspec.field(default="", name="proposal")
    followed_by: tuple[ContentHashes, ...] = msgspec.field(default=(), name="then")

    @property
    def combined_hash(self) -> str:
        """One hash of all its contents together."""
        return self.contents.combined_hash

    def label(self) -> str:
        """Return the number and a prefix of the hash, by which logs and responses name the version."""
        return f"{self.number}:{self.combined_hash[:12]}"


class VotingMember(msgspec.Struct, frozen=True, array_like=True):
    """A gateway that votes: its rank, and the identifier of the store that it votes with."""

    rank: int
    store_id: int


class Vote(msgspec.Struct, frozen=True):
    """One member's vote on a version; the seal binds it to the version, its base and the term."""

    rank: int
    store_id: int = msgspec.field(name="store")
    approves: bool = msgspec.field(name="yes")
    reason: str = msgspec.field(name="why")
    seal: bytes

    @property
    def member(self) -> VotingMember:
        """The member that voted."""
        return VotingMember(self.rank, self.store_id)


class Certificate(msgspec.Struct, frozen=True):
    """Proof that a quorum approved a version."""

    version: Version
    term: int
    members: tuple[VotingMember, ...] = msgspec.field(name="seats")
    votes: tuple[Vote, ...]


def compute_seal(secret: bytes, purpose: str, *values: object) -> bytes:
    """Return a keyed BLAKE2b digest (RFC 7693) of the values, bound to its purpose."""
    data = msgspec.msgpack.encode((purpose, values))
    return hashlib.blake2b(data, key=secret[:MAX_KEY_BYTES], digest_size=SEAL_BYTES).digest()


def verify_seal(secret: bytes, seal: bytes, purpose: str, *values: object) -> bool:
    """Return whether a seal was made with the fleet's key for these values and this purpose."""
    return hmac.compare_digest(seal, compute_seal(secret, purpose, *values))


def cast_vote(
    secret: bytes, member: VotingMember, version: Version, term: int, approves: bool, reason: str
) -> Vote:
    """Return a sealed vote of a member."""
    seal = compute_seal(secret, "vote", *_sealed_values(member, version, term, approves))
    return Vote(member.rank, member.store_id, approves, reason[:MAX_TEXT_CHARACTERS], seal)


def is_valid_vote(secret: bytes, vote: Vote, version: Version, term: int) -> bool:
    """Return whether the seal proves that this vote was cast on this version in this term."""
    values = _sealed_values(vote.member, version, term, vote.approves)
    return verify_seal(secret, vote.seal, "vote", *values)


def _sealed_values(member: VotingMember, version: Version, term: int, approves: bool) -> tuple[object, ...]:
    return (
        member.rank,
        member.store_id,
        approves,
        term,
        version.number,
        version.combined_hash,
        version.base,
    )


def quorum_size(members: Sequence[VotingMember]) -> int:
    """Return how many members make a majority."""
    return len(members) // 2 + 1


def has_quorum(members: Sequence[VotingMember], voters: Iterable[VotingMember]) -> bool:
    """Return whether the voters include a majority of the members."""
    return len(set(members) & set(voters)) >= quorum_size(members)


def certificate_error(secret: bytes, certificate: Certificate) -> str:
    """Return why a certificate does not prove that its version was approved; "" where it does."""
    version = certificate.version
    votes = [vote for vote in certificate.votes if vote.approves]
    if not certificate.members:
        return "the certificate has no members"
    if not all(is_valid_vote(secret, vote, version, certificate.term) for vote in votes):
        return "the seal of a vote does not match this version and term"
    if not has_quorum(certificate.members, {vote.member for vote in votes}):
        return f"{len(votes)} of {len(certificate.members)} members approved, which is not a quorum"
    return ""
