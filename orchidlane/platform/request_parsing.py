"""What a client's head means on the platform: a call, or why it can't be used. Decides without I/O.

All of it is checked before anything reaches the module, an account or a node: each number is finite, in range
and given once, the class fits the method, the gateway is of the customer's set.
"""

from __future__ import annotations

import re
from dataclasses import dataclass

from orchidlane import policy
from orchidlane.gateway.forwarding.protocol_adapter import Call
from orchidlane.http1 import Request
from orchidlane.platform.configuration import Names
from orchidlane.policy import Idempotency

ID = re.compile(rb"[0-9A-Za-z_.\-]{1,64}")
KEY = re.compile(rb"[\x21-\x7e]{1,128}")
CLIENT = re.compile(rb"[0-9a-f]{16}")
SECONDS = re.compile(rb"[0-9]{1,6}(?:\.[0-9]{1,9})?")
EXTRAS = re.compile(rb"units=([0-9]{1,9}(?:\.[0-9]{1,6})?),\s*spread=([0-9]{1,6}),\s*first=([0-9]{1,6})")
CUSTOMER_MOST = 1 << 33  # customers' numbers lie below it
ROUNDING = 1_000  # microseconds that a time may lie beyond its class's, by its last digit
OURS = frozenset((b"x-request-id", b"plan", b"x-timeout", b"quota-info", b"idempotency-key", b"x-retried"))
METHODS = {
    Idempotency.IDEMPOTENT: "GET",
    Idempotency.IDEMPOTENT_WITH_KEY: "POST",
    Idempotency.NOT_IDEMPOTENT: "POST",
}


class Wrong(Exception):
    """The request can't be used; ``status`` is what its client is told."""

    def __init__(self, status: int, detail: str) -> None:
        super().__init__(detail)
        self.status = status
        self.detail = detail


@dataclass(frozen=True, slots=True, kw_only=True)
class PlatformCall(Call):
    """A call with what passes on unchanged."""

    id: bytes
    key: bytes


class Reader:
    """Reads heads by one gateway's settings."""

    def __init__(self, settings: policy.Settings, names: Names) -> None:
        self.settings = settings
        self.units_most = names.family_info.units_top
        pairs = zip(names.classes, settings.classes, strict=True)
        self.kinds = {name.name.encode(): (kind, cls) for kind, (name, cls) in enumerate(pairs)}
        self.plans = {plan.name.encode(): number for number, plan in enumerate(names.packages)}

    def read(self, head: Request) -> PlatformCall:
        """The call of a head. Raises Wrong."""
        ours = _ours(head)
        path, _, query = head.target.partition(b"?")
        kind, cls = self._class(head.method, path)
        key = ours.get(b"idempotency-key", b"")
        self._check_effect(head, cls.idempotency, key)
        plan = self.plans.get(ours.get(b"plan", b""))
        if plan is None:
            raise Wrong(400, "no such plan")
        number = ours.get(b"x-request-id", b"")
        if not ID.fullmatch(number):
            raise Wrong(400, "no request id")
        retried = ours.get(b"x-retried")
        if retried not in (None, b"0", b"1"):
            raise Wrong(400, "X-Retried is 0 or 1")
        units, size, first = self._extras(ours.get(b"quota-info", b""))
        return PlatformCall(
            kind=kind,
            cls=cls,
            customer=_customer(query),
            plan=plan,
            units=units,
            replica_set_start=first,
            replica_set_size=size,
            patience=_patience(ours.get(b"x-timeout", b""), cls.deadline_us),
            target=head.target,
            is_repeat=retried == b"1",
            id=number,
            key=key,
        )

    def _class(self, method: str, path: bytes) -> tuple[int, policy.RequestClass]:
        found = self.kinds.get(path[1:].partition(b"/")[0]) if path.startswith(b"/") else None
        if found is None:
            raise Wrong(404, "no such class")
        if method != METHODS[found[1].idempotency]:
            raise Wrong(405, "the class has another method")
        return found

    def _check_effect(self, head: Request, effect: Idempotency, key: bytes) -> None:
        if effect is Idempotency.IDEMPOTENT and head.length != 0:
            raise Wrong(400, "a request that is safe to repeat has no body")
        if effect is Idempotency.IDEMPOTENT_WITH_KEY and not KEY.fullmatch(key):
            raise Wrong(400, "the class needs an idempotency key")
        if effect is not Idempotency.IDEMPOTENT_WITH_KEY and key:
            raise Wrong(400, "the class takes no idempotency key")

    def _extras(self, text: bytes) -> tuple[float, int, int]:
        """Units, size of the set, its first gateway; this gateway is one of it."""
        match = EXTRAS.fullmatch(text)
        if match is None:
            raise Wrong(400, "Quota-Info is units, spread and first")
        units, size, first, s = float(match[1]), int(match[2]), int(match[3]), self.settings
        if not 0 < units <= self.units_most:
            raise Wrong(400, "units out of range")
        if (
            not 1 <= size <= s.replica_count
            or first >= s.replica_count
            or (s.replica - first) % s.replica_count >= size
        ):
            raise Wrong(400, "a set that this gateway is not of")
        return units, size, first


def _ours(head: Request) -> dict[bytes, bytes]:
    """The headers that the platform gives a meaning, each at most once."""
    ours: dict[bytes, bytes] = {}
    for name, value in head.headers:
        if name in OURS:
            if name in ours:
                raise Wrong(400, "a header given twice")
            ours[name] = value
    return ours


def _customer(query: bytes) -> int:
    found = [part[7:] for part in query.split(b"&") if part.startswith(b"client=")]
    if len(found) != 1 or not CLIENT.fullmatch(found[0]):
        raise Wrong(400, "client is 16 hexadecimal digits")
    number = int(found[0], 16)
    if number >= CUSTOMER_MOST:
        raise Wrong(400, "client is out of range")
    return number


def _patience(text: bytes, deadline: int) -> int:
    if not SECONDS.fullmatch(text):
        raise Wrong(400, "X-Timeout is no number of seconds")
    span = round(float(text) * 1_000_000)
    if not 0 < span <= deadline + ROUNDING:
        raise Wrong(400, "X-Timeout is out of range")
    return span
