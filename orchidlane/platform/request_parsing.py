"""Parse the head of a client's request into a call. Does no I/O.

Every field is validated before the request reaches the policy, an account or an endpoint: each number is
finite, in range and given once, the method fits the request class, and the gateway belongs to the customer's
replica set.
"""

from __future__ import annotations

import re
from dataclasses import dataclass
from typing import NamedTuple

from orchidlane import policy
from orchidlane.gateway.forwarding.call import Call
from orchidlane.http1 import Request
from orchidlane.platform.configuration import PlatformSettings
from orchidlane.policy import Idempotency

REQUEST_ID = re.compile(rb"[0-9A-Za-z_.\-]{1,64}")
IDEMPOTENCY_KEY = re.compile(rb"[\x21-\x7e]{1,128}")
CLIENT_PARAMETER = b"client="
CLIENT = re.compile(rb"[0-9a-f]{16}")
SECONDS = re.compile(rb"[0-9]{1,6}(?:\.[0-9]{1,9})?")
QUOTA_INFO = re.compile(rb"units=([0-9]{1,9}(?:\.[0-9]{1,6})?),\s*spread=([0-9]{1,6}),\s*first=([0-9]{1,6})")
CUSTOMER_NUMBER_LIMIT = 1 << 33  # exclusive
TIMEOUT_ROUNDING_US = 1_000  # a timeout rounded to milliseconds may exceed the deadline of its class by this
PLATFORM_HEADERS = frozenset(
    (b"x-request-id", b"plan", b"x-timeout", b"quota-info", b"idempotency-key", b"x-retried")
)
METHODS = {
    Idempotency.IDEMPOTENT: "GET",
    Idempotency.IDEMPOTENT_WITH_KEY: "POST",
    Idempotency.NOT_IDEMPOTENT: "POST",
}


class InvalidRequestError(Exception):
    """The client's request is not valid; ``status`` and ``detail`` become the response."""

    def __init__(self, status: int, detail: str) -> None:
        super().__init__(detail)
        self.status = status
        self.detail = detail


@dataclass(frozen=True, slots=True, kw_only=True)
class PlatformCall(Call):
    """A call with the identifiers that are forwarded unchanged.

    ``idempotency_key`` is empty if the request has none.
    """

    request_id: bytes
    idempotency_key: bytes


class QuotaInfo(NamedTuple):
    """The units of quota that a request costs, and the replica set that accounts for it."""

    units: float
    replica_set_size: int
    replica_set_start: int


class ClassEntry(NamedTuple):
    """A request class and its index."""

    class_index: int
    request_class: policy.RequestClass


class RequestParser:
    """Parses and validates request heads by the settings of one gateway."""

    def __init__(self, settings: policy.Settings, platform_settings: PlatformSettings) -> None:
        self.settings = settings
        self.max_units = platform_settings.family_info.max_units
        pairs = zip(platform_settings.classes, settings.classes, strict=True)
        self.classes = {
            named.name.encode(): ClassEntry(class_index, request_class)
            for class_index, (named, request_class) in enumerate(pairs)
        }
        self.plans = {plan.name.encode(): number for number, plan in enumerate(platform_settings.plans)}

    def parse(self, head: Request) -> PlatformCall:
        """Return the call that a request head describes. Raises InvalidRequestError."""
        headers = _platform_headers(head)
        path, _, query = head.target.partition(b"?")
        class_index, request_class = self._find_class(head.method, path)
        key = headers.get(b"idempotency-key", b"")
        _check_idempotency(head, request_class.idempotency, key)
        plan = self.plans.get(headers.get(b"plan", b""))
        if plan is None:
            raise InvalidRequestError(400, "no such plan")
        request_id = headers.get(b"x-request-id", b"")
        if not REQUEST_ID.fullmatch(request_id):
            raise InvalidRequestError(400, "no request id")
        retried = headers.get(b"x-retried")
        if retried not in (None, b"0", b"1"):
            raise InvalidRequestError(400, "X-Retried is 0 or 1")
        quota = self._parse_quota_info(headers.get(b"quota-info", b""))
        return PlatformCall(
            class_index=class_index,
            request_class=request_class,
            customer=_parse_customer(query),
            plan=plan,
            units=quota.units,
            replica_set_start=quota.replica_set_start,
            replica_set_size=quota.replica_set_size,
            timeout_us=_parse_timeout(headers.get(b"x-timeout", b""), request_class.deadline_us),
            target=head.target,
            is_retry=retried == b"1",
            request_id=request_id,
            idempotency_key=key,
        )

    def _find_class(self, method: str, path: bytes) -> ClassEntry:
        entry = self.classes.get(path[1:].partition(b"/")[0]) if path.startswith(b"/") else None
        if entry is None:
            raise InvalidRequestError(404, "no such class")
        if method != METHODS[entry.request_class.idempotency]:
            raise InvalidRequestError(405, "the class has another method")
        return entry

    def _parse_quota_info(self, text: bytes) -> QuotaInfo:
        match = QUOTA_INFO.fullmatch(text)
        if match is None:
            raise InvalidRequestError(400, "Quota-Info is units, spread and first")
        quota = QuotaInfo(float(match[1]), int(match[2]), int(match[3]))
        if not 0 < quota.units <= self.max_units:
            raise InvalidRequestError(400, "units out of range")
        if not self._is_member(quota.replica_set_size, quota.replica_set_start):
            raise InvalidRequestError(400, "a set that this gateway is not of")
        return quota

    def _is_member(self, size: int, start: int) -> bool:
        """Return whether a replica set is valid and this gateway belongs to it."""
        count = self.settings.replica_count
        if not 1 <= size <= count or start >= count:
            return False
        return (self.settings.replica - start) % count < size


def _check_idempotency(head: Request, idempotency: Idempotency, key: bytes) -> None:
    if idempotency is Idempotency.IDEMPOTENT and head.body_length != 0:
        raise InvalidRequestError(400, "a request that is safe to repeat has no body")
    if idempotency is Idempotency.IDEMPOTENT_WITH_KEY and not IDEMPOTENCY_KEY.fullmatch(key):
        raise InvalidRequestError(400, "the class needs an idempotency key")
    if idempotency is not Idempotency.IDEMPOTENT_WITH_KEY and key:
        raise InvalidRequestError(400, "the class takes no idempotency key")


def _platform_headers(head: Request) -> dict[bytes, bytes]:
    """Return the headers that the platform defines. Raises InvalidRequestError if one is repeated."""
    headers: dict[bytes, bytes] = {}
    for name, value in head.headers:
        if name in PLATFORM_HEADERS:
            if name in headers:
                raise InvalidRequestError(400, "a header given twice")
            headers[name] = value
    return headers


def _parse_customer(query: bytes) -> int:
    """Return the customer's number from the query parameter ``client``. Raises InvalidRequestError."""
    values = [
        part[len(CLIENT_PARAMETER) :] for part in query.split(b"&") if part.startswith(CLIENT_PARAMETER)
    ]
    if len(values) != 1 or not CLIENT.fullmatch(values[0]):
        raise InvalidRequestError(400, "client is 16 hexadecimal digits")
    number = int(values[0], 16)
    if number >= CUSTOMER_NUMBER_LIMIT:
        raise InvalidRequestError(400, "client is out of range")
    return number


def _parse_timeout(text: bytes, deadline_us: int) -> int:
    """Return the microseconds of the header X-Timeout. Raises InvalidRequestError."""
    if not SECONDS.fullmatch(text):
        raise InvalidRequestError(400, "X-Timeout is no number of seconds")
    timeout_us = round(float(text) * 1_000_000)
    if not 0 < timeout_us <= deadline_us + TIMEOUT_ROUNDING_US:
        raise InvalidRequestError(400, "X-Timeout is out of range")
    return timeout_us
