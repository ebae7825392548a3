"""One generation of routes, classes and costs: immutable; a request keeps the one it arrived under."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import NamedTuple

from orchidlane import http1
from orchidlane.policy import RequestClass
from orchidlane.routes.path import PathError, canonical_path
from orchidlane.routes.tree import Tree

ASTERISK_FORM = b"*"  # RFC 9112 section 3.2.4
MAX_TIMEOUT_DIGITS = 9


@dataclass(frozen=True, slots=True, eq=False)
class Operation:
    """One method of one path: its request class, its cost, and which header fields and queries it reads."""

    method: str
    path: str  # the template, base path included
    name: str
    class_name: str
    class_index: int  # in the generation's ``classes``
    cost: float  # units of the quota
    key_headers: tuple[bytes, ...]  # names of headers that may carry the API key, in lower case
    key_queries: tuple[str, ...]
    idempotency_header: bytes | None
    give_up_header: bytes | None
    anonymous: bool = False  # the description allows requests without an API key


class Match(NamedTuple):
    """A request's operation, the parameters in its path, and its path in canonical form."""

    operation: Operation
    parameters: dict[str, str]
    path: str


@dataclass(frozen=True, slots=True)
class Miss:
    """The response to a request without an operation: 204 to OPTIONS, else 400, 404 or 405.

    ``allow`` holds the methods that the path allows.
    """

    status: int
    allow: tuple[str, ...] = ()
    detail: str = ""


@dataclass(frozen=True)
class Generation:
    """All operations and request classes of a description."""

    number: int
    title: str
    classes: tuple[RequestClass, ...]
    class_names: tuple[str, ...]
    operations: tuple[Operation, ...]
    tree: Tree[dict[str, Operation]] = field(repr=False)

    def match(self, method: str, target: bytes) -> Match | Miss:
        """Return the operation for a request target in origin, absolute or asterisk form."""
        if target == ASTERISK_FORM:
            return Miss(204, ("OPTIONS",))
        try:
            path = canonical_path(request_path(target))
        except PathError as error:
            return Miss(400, detail=str(error))
        path_match = self.tree.match(path)
        if path_match is None:
            return Miss(404, detail="no path of the description")
        operations, parameters = path_match
        operation = operations.get(method)
        if operation is None and method == "HEAD":
            operation = operations.get("GET")
        if operation is not None:
            return Match(operation, parameters, path)
        status = 204 if method == "OPTIONS" else 405
        return Miss(status, allowed_methods(operations), "the path has no such method")


def allowed_methods(operations: dict[str, Operation]) -> tuple[str, ...]:
    """Return the methods that a path allows, with those that the gateway itself provides."""
    implied = ("OPTIONS", "HEAD") if "GET" in operations else ("OPTIONS",)
    return tuple(sorted({*operations, *implied}))


def request_path(target: bytes) -> bytes:
    """Return the path of a request target (RFC 9112 section 3.2), without its query."""
    if not target.startswith(b"/"):
        rest = target.split(b"://", 1)[-1]
        slash = rest.find(b"/")
        query = rest.find(b"?")
        target = rest[slash:] if slash >= 0 and not 0 <= query < slash else b"/"
    return target.partition(b"?")[0]


def client_timeout_us(operation: Operation, headers: http1.Headers, deadline_us: int) -> int | None:
    """Return the client's timeout in microseconds, at most the deadline.

    The client sends it in milliseconds, in the header that the operation declares; without the header, the
    deadline applies. Return None where the value is not a positive integer of at most MAX_TIMEOUT_DIGITS
    digits.
    """
    if operation.give_up_header is None:
        return deadline_us
    value = http1.header(headers, operation.give_up_header)
    if value is None:
        return deadline_us
    if not value.isdigit() or len(value) > MAX_TIMEOUT_DIGITS or int(value) == 0:
        return None
    return min(deadline_us, int(value) * 1_000)
