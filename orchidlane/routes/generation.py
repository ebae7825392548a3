"""One generation of routes, classes and costs: immutable; a request keeps the one that it arrived under."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import NamedTuple

from orchidlane import http1, policy
from orchidlane.routes.path import PathError, canonical_path
from orchidlane.routes.tree import Tree


@dataclass(frozen=True, slots=True, eq=False)
class Operation:
    """What one method of one path means to the gateway; spans in microseconds."""

    method: str
    path: str  # the template, base path included
    name: str
    class_name: str
    kind: int  # place of the class in the generation's ``classes``
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
    classes: tuple[policy.RequestClass, ...]
    class_names: tuple[str, ...]
    operations: tuple[Operation, ...]
    tree: Tree[dict[str, Operation]] = field(repr=False)

    def match(self, method: str, target: bytes) -> Match | Miss:
        """The operation of a request target in origin, absolute or asterisk form."""
        if target == b"*":
            return Miss(204, ("OPTIONS",))
        try:
            path = canonical_path(path_of(target))
        except PathError as wrong:
            return Miss(400, detail=str(wrong))
        found = self.tree.match(path)
        if found is None:
            return Miss(404, detail="no path of the description")
        methods, parameters = found
        operation = methods.get(method)
        if operation is None and method == "HEAD":
            operation = methods.get("GET")
        if operation is not None:
            return Match(operation, parameters, path)
        allow = allowed(methods)
        return Miss(204 if method == "OPTIONS" else 405, allow, "the path has no such method")


def allowed(methods: dict[str, Operation]) -> tuple[str, ...]:
    """The methods that a path takes, those answered by the gateway itself too."""
    return tuple(sorted({*methods, "OPTIONS", *(("HEAD",) if "GET" in methods else ())}))


def path_of(target: bytes) -> bytes:
    """The path part of a request target."""
    if not target.startswith(b"/"):
        rest = target.split(b"://", 1)[-1]
        slash = rest.find(b"/")
        query = rest.find(b"?")
        target = rest[slash:] if slash >= 0 and not 0 <= query < slash else b"/"
    return target.partition(b"?")[0]


def give_up_after(operation: Operation, headers: http1.Headers, deadline: int) -> int | None:
    """The client's time in microseconds: what it states in ms, at most the deadline; None: no number."""
    if operation.give_up_header is None:
        return deadline
    told = http1.header(headers, operation.give_up_header)
    if told is None:
        return deadline
    if not told.isdigit() or len(told) > 9 or int(told) == 0:
        return None
    return min(deadline, int(told) * 1_000)
