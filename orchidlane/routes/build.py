"""Build a generation of routes, request classes and costs from an OpenAPI description.

The defaults are safe: an operation whose idempotency is unknown is never executed twice, and costs one unit.
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
    """Return the generation that a description defines. Raises DescriptionError with all problems."""
    description = Description(values, file)
    description.check_version()
    description.check_references()
    description.raise_problems()
    if validate:
        description.validate()
        description.raise_problems()
    return _GenerationBuilder(description, number).build()


class _ApiKeys(NamedTuple):
    """Where a request may carry its API key, and whether it may come without one."""

    headers: tuple[bytes, ...]
    queries: tuple[str, ...]
    anonymous: bool


class _GenerationBuilder:
    def __init__(self, description: Description, number: int) -> None:
        self._description = description
        self._number = number
        self._methods: list[dict[str, Operation]] = []  # one for each path; the same objects as in the tree
        self._root = read_extension(description, description.values, "")
        self._classes = RequestClasses(description, self._root)

    def build(self) -> Generation:
        """Return the generation of all operations. Raises DescriptionError with all problems."""
        values = self._description.values
        tree: Tree[dict[str, Operation]] = Tree()
        for template, path_item in values.get("paths", {}).items():
            if template.startswith("/"):
                self._add_path(tree, template, self._description.resolve(path_item, f"paths/{template}"))
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

    def _add_path(self, tree: Tree[dict[str, Operation]], template: str, path_item: dict[str, Any]) -> None:
        location = f"paths/{template}"
        path_extension = read_extension(self._description, path_item, location)
        operations = {
            method: self._operation(template, method, path_item, path_extension)
            for method in METHODS
            if method in path_item
        }
        methods_by_path: dict[str, dict[str, Operation]] = {}
        for method, operation in operations.items():
            for base_path in self._base_paths(path_item[method], path_item):
                path = self._full_path(base_path, template, location)
                methods_by_path.setdefault(path, {})[operation.method] = replace(operation, path=path)
        for path, methods in methods_by_path.items():
            try:
                tree.add(path, methods)
            except ValueError as error:
                self._description.report(location, str(error))
            self._methods.append(methods)

    def _full_path(self, base_path: str, template: str, location: str) -> str:
        """Return base path and template in the canonical form that request paths are converted to."""
        parts = TEMPLATE.split(base_path + template)
        # Only the literal parts are normalized. Each parameter is replaced by "~t~" in the meantime: its
        # characters are unreserved, so normalization leaves them as they are.
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
        self, template: str, method: str, path_item: dict[str, Any], path_extension: Extension
    ) -> Operation:
        operation_object = path_item[method]
        location = f"paths/{template}/{method}"
        operation_extension = read_extension(self._description, operation_object, location)
        inner_extensions = (operation_extension, path_extension)
        name = str(operation_object.get("operationId") or f"{method.upper()} {template}")
        class_name = (
            operation_extension.class_name or path_extension.class_name or self._root.class_name or name
        )
        self._classes.add(class_name, method, inner_extensions, location)
        cost = self._cost(class_name, inner_extensions, location)
        headers = self._header_parameters(path_item, operation_object, location)
        sources = (*inner_extensions, self._root)
        idempotency_header = inherit(sources, lambda source: source.idempotency_header) or IDEMPOTENCY_HEADER
        give_up_header = inherit(sources, lambda source: source.give_up_header) or GIVE_UP_HEADER
        api_keys = self._api_keys(operation_object, location)
        return Operation(
            method=method.upper(),
            path=template,
            name=name,
            class_name=class_name,
            class_index=0,  # set by ``build`` once all classes are collected
            cost=cost,
            key_headers=api_keys.headers,
            key_queries=api_keys.queries,
            idempotency_header=_if_declared(idempotency_header, headers),
            give_up_header=_if_declared(give_up_header, headers),
            anonymous=api_keys.anonymous,
        )

    def _cost(self, class_name: str, inner_extensions: tuple[Extension, ...], location: str) -> float:
        sources = (*inner_extensions, self._classes.declared(class_name), self._root)
        declared_cost = inherit(sources, lambda source: source.cost)
        cost = DEFAULT_COST_UNITS if declared_cost is None else declared_cost
        if not 0 < cost <= MAX_COST_UNITS:
            self._description.report(location, f"found cost {cost}, allowed: above 0, at most 1000000")
        return float(cost)

    def _base_paths(self, operation_object: dict[str, Any], path_item: dict[str, Any]) -> tuple[str, ...]:
        """Return the path of each server URL of an operation, without a trailing slash."""
        values = self._description.values
        servers = operation_object.get("servers") or path_item.get("servers") or values.get("servers") or []
        paths = []
        for server in servers:
            url = str(server.get("url", "/"))
            for name, variable in (server.get("variables") or {}).items():
                url = url.replace(f"{{{name}}}", str(variable.get("default", "")))
            paths.append(urlsplit(url).path.rstrip("/"))
        return tuple(dict.fromkeys(paths)) or ("",)

    def _header_parameters(
        self, path_item: dict[str, Any], operation_object: dict[str, Any], location: str
    ) -> set[str]:
        """Return the names, in lower case, of the header parameters of an operation and of its path."""
        names: set[str] = set()
        for parameter in [*path_item.get("parameters", ()), *operation_object.get("parameters", ())]:
            resolved = self._description.resolve(parameter, location)
            if resolved.get("in") == "header":
                names.add(str(resolved.get("name", "")).lower())
        return names

    def _api_keys(self, operation_object: dict[str, Any], location: str) -> _ApiKeys:
        values = self._description.values
        requirements = operation_object.get("security", values.get("security", []))
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
                        scheme_location, "unsupported scheme, allowed: apiKey in header or query, http bearer"
                    )
        anonymous = not requirements or any(not requirement for requirement in requirements)
        return _ApiKeys(tuple(dict.fromkeys(headers)), tuple(dict.fromkeys(queries)), anonymous)


def _if_declared(name: str, header_parameters: set[str]) -> bytes | None:
    """Return a header's name in lower case, or None where the description does not declare it."""
    lower = name.lower()
    return lower.encode("latin-1") if lower in header_parameters else None
