"""One generation of routes, classes and costs: immutable; a request keeps the one that it arrived under."""

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
    """What one method of one path means to the gateway."""

    method: str
    path: str  # the template, base path included
    name: str
    class_name: str
    class_index: int  # in the generation's ``classes``
    cost: float  # units of the quota
    key_headers: tuple[bytes, ...]  # where the API key may stand; lower case
    key_queries: tuple[str, ...]
    idempotency_header: bytes | None
    give_up_header: bytes | None
    anonymous: bool = False  # the description asks for no key


class Match(NamedTuple):
    """A request's operation and the parameters in its path."""

    operation: Operation
    parameters: dict[str, str]
    path: str


@dataclass(frozen=True, slots=True)
class Miss:
    """No operation: 400, 404, or 405 with what is allowed; 204 answers OPTIONS."""

    status: int
    allow: tuple[str, ...] = ()
    detail: str = ""


@dataclass(frozen=True)
class Generation:
    """All operations of a description."""

    number: int
    title: str
    classes: tuple[RequestClass, ...]
    class_names: tuple[str, ...]
    operations: tuple[Operation, ...]
    tree: Tree[dict[str, Operation]] = field(repr=False)

    def match(self, method: str, target: bytes) -> Match | Miss:
        """Return the operation of a request target in origin, absolute or asterisk form."""
        if target == ASTERISK_FORM:
            return Miss(204, ("OPTIONS",))
        try:
            path = canonical_path(request_path(target))
        except PathError as error:
            return Miss(400, detail=str(error))
        found = self.tree.match(path)
        if found is None:
            return Miss(404, detail="no path of the description")
        operations, parameters = found
        operation = operations.get(method)
        if operation is None and method == "HEAD":
            operation = operations.get("GET")
        if operation is not None:
            return Match(operation, parameters, path)
        status = 204 if method == "OPTIONS" else 405
        return Miss(status, allowed_methods(operations), "the path has no such method")


def allowed_methods(operations: dict[str, Operation]) -> tuple[str, ...]:
    """Return the methods that a path takes, with those that the gateway itself answers."""
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
    """Return the client's time in microseconds, at most the deadline.

    The client states it in milliseconds, in the header that the operation declares; None stands for a value
    that is no positive number.
    """
    if operation.give_up_header is None:
        return deadline_us
    value = http1.header(headers, operation.give_up_header)
    if value is None:
        return deadline_us
    if not value.isdigit() or len(value) > MAX_TIMEOUT_DIGITS or int(value) == 0:
        return None
    return min(deadline_us, int(value) * 1_000)
