"""From an OpenAPI description to a generation of routes, classes and costs.

Defaults are the safe ones: an operation of unknown effect is never run twice, and costs one unit.
"""

from __future__ import annotations

from dataclasses import replace
from typing import Any, NamedTuple
from urllib.parse import urlsplit

from orchidlane.routes.description import Description
from orchidlane.routes.extension import Extension, inherit, read_extension
from orchidlane.routes.generation import Generation, Operation
from orchidlane.routes.path import PathError, canonical_path
from orchidlane.routes.request_classes import RequestClasses
from orchidlane.routes.tree import TEMPLATE, Tree

METHODS = ("get", "put", "post", "delete", "options", "head", "patch", "trace")
DEFAULT_COST_UNITS = 1.0
MAX_COST_UNITS = 1e6
IDEMPOTENCY_HEADER = "idempotency-key"
GIVE_UP_HEADER = "give-up-after-ms"


def build(values: dict[str, Any], file: str, number: int = 1, validate: bool = True) -> Generation:
    """Return the generation of a description. Raises DescriptionError with all problems."""
    description = Description(values, file)
    description.check_version()
    description.check_references()
    description.raise_problems()
    if validate:
        description.validate()
        description.raise_problems()
    return _GenerationBuilder(description, number).build()


class _ApiKeys(NamedTuple):
    """Where an operation's API key may stand."""

    headers: tuple[bytes, ...]
    queries: tuple[str, ...]
    anonymous: bool


class _GenerationBuilder:
    def __init__(self, description: Description, number: int) -> None:
        self._description = description
        self._number = number
        self._methods: list[dict[str, Operation]] = []  # of each path, the same objects as in the tree
        self._root = read_extension(description, description.values, "")
        self._classes = RequestClasses(description, self._root)

    def build(self) -> Generation:
        """Return the generation of all operations; problems go to the description."""
        values = self._description.values
        tree: Tree[dict[str, Operation]] = Tree()
        for template, item in values.get("paths", {}).items():
            if template.startswith("/"):
                self._add_path(tree, template, self._description.resolve(item, f"paths/{template}"))
        self._description.raise_problems()
        class_names = self._classes.names()
        for methods in self._methods:
            for method, operation in methods.items():
                methods[method] = replace(operation, class_index=class_names.index(operation.class_name))
        return Generation(
            number=self._number,
            title=str(values.get("info", {}).get("title", "")),
            classes=self._classes.values(),
            class_names=class_names,
            operations=tuple(operation for methods in self._methods for operation in methods.values()),
            tree=tree,
        )

    def _add_path(self, tree: Tree[dict[str, Operation]], template: str, item: dict[str, Any]) -> None:
        location = f"paths/{template}"
        path_extension = read_extension(self._description, item, location)
        operations = {
            method: self._operation(template, method, item, path_extension)
            for method in METHODS
            if method in item
        }
        methods_by_path: dict[str, dict[str, Operation]] = {}
        for method, operation in operations.items():
            for base_path in self._base_paths(item[method], item):
                path = self._full_path(base_path, template, location)
                methods_by_path.setdefault(path, {})[operation.method] = replace(operation, path=path)
        for path, methods in methods_by_path.items():
            try:
                tree.add(path, methods)
            except ValueError as error:
                self._description.report(location, str(error))
            self._methods.append(methods)

    def _full_path(self, base_path: str, template: str, location: str) -> str:
        """Return base path and template in the canonical form in which requests are matched."""
        parts = TEMPLATE.split(base_path + template)
        literal = "\x01".join(parts[::2])
        try:
            canonical = canonical_path(literal.replace("\x01", "~t~").encode("utf-8")).replace("~t~", "\x01")
        except PathError as error:
            self._description.report(location, str(error))
            return base_path + template
        literals = canonical.split("\x01")
        parameters = [f"{{{name}}}" for name in parts[1::2]]
        return "".join(text + name for text, name in zip(literals, [*parameters, ""], strict=True))

    def _operation(
        self, template: str, method: str, item: dict[str, Any], path_extension: Extension
    ) -> Operation:
        holder = item[method]
        location = f"paths/{template}/{method}"
        own = read_extension(self._description, holder, location)
        nearer = (own, path_extension)
        name = str(holder.get("operationId") or f"{method.upper()} {template}")
        class_name = own.class_name or path_extension.class_name or self._root.class_name or name
        self._classes.add(class_name, method, nearer, location)
        cost = self._cost(class_name, nearer, location)
        headers = self._header_parameters(item, holder, location)
        sources = (*nearer, self._root)
        idempotency_header = inherit(sources, lambda source: source.idempotency_header) or IDEMPOTENCY_HEADER
        give_up_header = inherit(sources, lambda source: source.give_up_header) or GIVE_UP_HEADER
        api_keys = self._api_keys(holder, location)
        return Operation(
            method=method.upper(),
            path=template,
            name=name,
            class_name=class_name,
            class_index=0,  # known once all classes are
            cost=cost,
            key_headers=api_keys.headers,
            key_queries=api_keys.queries,
            idempotency_header=_if_declared(idempotency_header, headers),
            give_up_header=_if_declared(give_up_header, headers),
            anonymous=api_keys.anonymous,
        )

    def _cost(self, class_name: str, nearer: tuple[Extension, ...], location: str) -> float:
        sources = (*nearer, self._classes.declared(class_name), self._root)
        stated = inherit(sources, lambda source: source.cost)
        cost = DEFAULT_COST_UNITS if stated is None else stated
        if not 0 < cost <= MAX_COST_UNITS:
            self._description.report(location, f"found cost {cost}, allowed: above 0, at most 1000000")
        return float(cost)

    def _base_paths(self, holder: dict[str, Any], item: dict[str, Any]) -> tuple[str, ...]:
        """Return the paths of the servers that an operation has, without a slash at their end."""
        values = self._description.values
        servers = holder.get("servers") or item.get("servers") or values.get("servers") or []
        paths = []
        for server in servers:
            url = str(server.get("url", "/"))
            for name, variable in (server.get("variables") or {}).items():
                url = url.replace(f"{{{name}}}", str(variable.get("default", "")))
            paths.append(urlsplit(url).path.rstrip("/"))
        return tuple(dict.fromkeys(paths)) or ("",)

    def _header_parameters(self, item: dict[str, Any], holder: dict[str, Any], location: str) -> set[str]:
        """Return the names of the header parameters of an operation and of its path, in lower case."""
        names: set[str] = set()
        for parameter in [*item.get("parameters", ()), *holder.get("parameters", ())]:
            resolved = self._description.resolve(parameter, location)
            if resolved.get("in") == "header":
                names.add(str(resolved.get("name", "")).lower())
        return names

    def _api_keys(self, holder: dict[str, Any], location: str) -> _ApiKeys:
        values = self._description.values
        requirements = holder.get("security", values.get("security", []))
        schemes = values.get("components", {}).get("securitySchemes", {})
        headers: list[bytes] = []
        queries: list[str] = []
        for name in (name for requirement in requirements for name in requirement):
            scheme_location = f"{location}/security/{name}"
            scheme = self._description.resolve(schemes.get(name, {}), scheme_location)
            match scheme:
                case {"type": "apiKey", "in": "header"}:
                    headers.append(str(scheme["name"]).lower().encode("latin-1"))
                case {"type": "apiKey", "in": "query"}:
                    queries.append(str(scheme["name"]))
                case {"type": "http"} if str(scheme.get("scheme", "")).lower() == "bearer":
                    headers.append(b"authorization")
                case _:
                    self._description.report(
                        scheme_location, "allowed: apiKey in header or query, http bearer"
                    )
        anonymous = not requirements or any(not requirement for requirement in requirements)
        return _ApiKeys(tuple(dict.fromkeys(headers)), tuple(dict.fromkeys(queries)), anonymous)


def _if_declared(name: str, header_parameters: set[str]) -> bytes | None:
    """Return a header's name in lower case, None where the description does not declare it."""
    lower = name.lower()
    return lower.encode("latin-1") if lower in header_parameters else None
