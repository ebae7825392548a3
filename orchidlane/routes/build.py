"""From a description's text to a generation.

The ``x-orchidlane`` extension stands at the root (defaults, and ``classes`` by name), on a path or on an
operation; the nearer one wins field by field. Defaults are the safe ones: an operation of unknown effect is
never run twice, and costs one unit.
"""

from __future__ import annotations

import json
from dataclasses import replace
from typing import Any
from urllib.parse import urlsplit

import msgspec
import yaml
from openapi_spec_validator import OpenAPIV30SpecValidator, OpenAPIV31SpecValidator

from orchidlane import policy
from orchidlane.config.quantity import Duration
from orchidlane.routes.errors import DescriptionError
from orchidlane.routes.generation import Generation, Operation
from orchidlane.routes.path import PathError, canonical_path
from orchidlane.routes.tree import TEMPLATE, Tree

METHODS = ("get", "put", "post", "delete", "options", "head", "patch", "trace")
SAFE_METHODS = ("get", "head", "options")  # RFC 9110 section 9.2.1
DESCRIPTION_MOST = 32 << 20  # bytes
EXTENSION = "x-orchidlane"


class Terms(msgspec.Struct, frozen=True, forbid_unknown_fields=True, omit_defaults=True):
    """One ``x-orchidlane``; what is left out comes from the one around it."""

    class_: str | None = msgspec.field(default=None, name="class")
    cost: float | None = None
    aim: str | None = None
    deadline: str | None = None
    effect: str | None = None
    group: str | None = None
    window: str | None = None
    worth: float | None = None
    late_worth: float | None = None
    classes: dict[str, Terms] | None = None
    give_up_header: str | None = None
    idempotency_header: str | None = None


def load_description(text: bytes, file: str) -> dict[str, Any]:
    """A description as plain values, JSON or YAML. Raises DescriptionError."""
    if len(text) > DESCRIPTION_MOST:
        raise DescriptionError(file, [("file", f"larger than {DESCRIPTION_MOST} bytes")])
    try:
        if text.lstrip()[:1] == b"{":
            value = json.loads(text)
        else:
            value = yaml.load(text, Loader=getattr(yaml, "CSafeLoader", yaml.SafeLoader))
    except json.JSONDecodeError as wrong:
        raise DescriptionError(file, [(f"line {wrong.lineno}", wrong.msg)]) from None
    except (yaml.YAMLError, UnicodeDecodeError, RecursionError) as wrong:
        mark = getattr(wrong, "problem_mark", None)
        place = f"line {mark.line + 1}" if mark else "file"
        raise DescriptionError(file, [(place, str(getattr(wrong, "problem", None) or "not YAML"))]) from None
    if not isinstance(value, dict):
        raise DescriptionError(file, [("file", "holds no object")])
    return _with_text_keys(value)


def _with_text_keys(value: Any) -> Any:
    """YAML reads the key 200 as a number; in a description every key is text."""
    if isinstance(value, dict):
        return {str(key): _with_text_keys(part) for key, part in value.items()}
    return [_with_text_keys(part) for part in value] if isinstance(value, list) else value


def build(description: dict[str, Any], file: str, number: int = 1, validate: bool = True) -> Generation:
    """The generation of a description. Raises DescriptionError with all that is wrong."""
    version = str(description.get("openapi", ""))
    validators = {"3.0": OpenAPIV30SpecValidator, "3.1": OpenAPIV31SpecValidator}
    validator = validators.get(version[:3])
    if validator is None:
        raise DescriptionError(file, [("openapi", f"found {version!r}, allowed: 3.0.x, 3.1.x")])
    builder = _Builder(description, file, number)
    builder.check_references(description, "")
    if builder.problems:
        raise DescriptionError(file, builder.problems)
    if validate:
        found = _violations(validator(description))
        if found:
            raise DescriptionError(file, found)
    return builder.generation()


def _violations(validator: Any) -> list[tuple[str, str]]:
    """All that the validator finds; its later checks stumble over what its earlier ones have told."""
    found: list[tuple[str, str]] = []
    try:
        for error in validator.iter_errors():
            found.append((_place(error), error.message[:300]))
    except Exception as stumble:
        found = found or [("file", f"can't be read as a description: {type(stumble).__name__} {stumble}")]
    return found


def _place(error: Any) -> str:
    return "/".join(str(part) for part in error.absolute_path) or "file"


class _Builder:
    def __init__(self, description: dict[str, Any], file: str, number: int) -> None:
        self.description = description
        self.file = file
        self.number = number
        self.problems: list[tuple[str, str]] = []
        self.classes: dict[str, tuple[policy.RequestClass, str]] = {}
        self.methods: list[dict[str, Operation]] = []  # of each path, as the tree has them
        self.root = Terms()

    def generation(self) -> Generation:
        self.root = self._terms(self.description, "")
        tree: Tree[dict[str, Operation]] = Tree()
        for template, item in self.description.get("paths", {}).items():
            if template.startswith("/"):
                self._path(tree, template, self._resolve(item, f"paths/{template}"))
        if self.problems:
            raise DescriptionError(self.file, self.problems)
        names = self._class_names()
        for methods in self.methods:
            for name, operation in methods.items():
                methods[name] = replace(operation, kind=names.index(operation.class_name))
        operations = tuple(operation for methods in self.methods for operation in methods.values())
        classes = tuple(self.classes[name][0] for name in names)
        title = str(self.description.get("info", {}).get("title", ""))
        return Generation(self.number, title, classes, names, operations, tree)

    def _class_names(self) -> tuple[str, ...]:
        """As declared, then by first use: operations that move about leave the classes' numbers alone."""
        declared = {name: number for number, name in enumerate(self.root.classes or {})}
        return tuple(sorted(self.classes, key=lambda name: declared.get(name, len(declared))))

    def check_references(self, value: Any, place: str) -> None:
        """Every ``$ref`` must point at something within the document."""
        if isinstance(value, list):
            value = dict(enumerate(value))
        if isinstance(value, dict):
            if isinstance(value.get("$ref"), str):
                self._pointed(value["$ref"], place)
            for key, part in value.items():
                self.check_references(part, f"{place}/{key}".lstrip("/"))

    def _wrong(self, place: str, what: str) -> None:
        self.problems.append((place, what))

    def _resolve(self, value: Any, place: str) -> dict[str, Any]:
        """What a ``$ref`` within the document points at."""
        for _ in range(16):
            if not isinstance(value, dict):
                self._wrong(place, "is no object")
                return {}
            if "$ref" not in value:
                return value
            value = self._pointed(str(value["$ref"]), place)
        self._wrong(place, "a $ref that leads to itself")
        return {}

    def _pointed(self, reference: str, place: str) -> Any:
        if not reference.startswith("#/"):
            self._wrong(place, f"$ref {reference!r} leaves the document")
            return {}
        value: Any = self.description
        for part in reference[2:].split("/"):
            part = part.replace("~1", "/").replace("~0", "~")
            if isinstance(value, list):
                value = {str(index): one for index, one in enumerate(value)}
            if not isinstance(value, dict) or part not in value:
                self._wrong(place, f"$ref {reference!r} points nowhere")
                return {}
            value = value[part]
        return value

    def _terms(self, holder: dict[str, Any], place: str) -> Terms:
        if EXTENSION not in holder:
            return Terms()
        try:
            return msgspec.convert(holder[EXTENSION], Terms)
        except msgspec.ValidationError as wrong:
            self._wrong(f"{place}/{EXTENSION}".lstrip("/"), str(wrong))
            return Terms()

    # -- paths and operations

    def _path(self, tree: Tree[dict[str, Operation]], template: str, item: dict[str, Any]) -> None:
        place = f"paths/{template}"
        around = self._terms(item, place)
        made: dict[str, tuple[Operation, tuple[str, ...]]] = {}
        for method in METHODS:
            if method in item:
                made[method.upper()] = self._operation(template, method, item, around, f"{place}/{method}")
        by_base: dict[str, dict[str, Operation]] = {}
        for name, (operation, bases) in made.items():
            for base in bases:
                full = self._full_path(base, template, place)
                by_base.setdefault(full, {})[name] = replace(operation, path=full)
        for full, methods in by_base.items():
            try:
                tree.add(full, methods)
            except ValueError as wrong:
                self._wrong(place, str(wrong))
            self.methods.append(methods)

    def _full_path(self, base: str, template: str, place: str) -> str:
        """Base path and template in the one form in which requests are matched."""
        parts = TEMPLATE.split(base + template)
        literal = "\x01".join(parts[::2])
        try:
            fixed = canonical_path(literal.replace("\x01", "~t~").encode("utf-8")).replace("~t~", "\x01")
        except PathError as wrong:
            self._wrong(place, str(wrong))
            return base + template
        pieces = fixed.split("\x01")
        return "".join(a + b for a, b in zip(pieces, [f"{{{n}}}" for n in parts[1::2]] + [""], strict=True))

    def _operation(
        self, template: str, method: str, item: dict[str, Any], around: Terms, place: str
    ) -> tuple[Operation, tuple[str, ...]]:
        holder = item[method]
        own = self._terms(holder, place)
        name = str(holder.get("operationId") or f"{method.upper()} {template}")
        class_name = own.class_ or around.class_ or self.root.class_ or name
        kind = self._class(class_name, method, (own, around), place)
        cost = _first("cost", own, around, self._named(class_name), self.root)
        cost = 1.0 if cost is None else cost
        if not 0 < cost <= 1e6:
            self._wrong(place, f"found cost {cost}, allowed: above 0, at most 1000000")
        headers = self._header_parameters(item, holder, place)
        key_headers, key_queries, anonymous = self._keys(holder, place)
        operation = Operation(
            method=method.upper(),
            path=template,
            name=name,
            class_name=class_name,
            kind=kind,
            cost=float(cost),
            key_headers=key_headers,
            key_queries=key_queries,
            idempotency_header=self._declared("idempotency_header", own, around, headers, "idempotency-key"),
            give_up_header=self._declared("give_up_header", own, around, headers, "give-up-after-ms"),
            anonymous=anonymous,
        )
        return operation, self._bases(holder, item)

    def _bases(self, holder: dict[str, Any], item: dict[str, Any]) -> tuple[str, ...]:
        servers = holder.get("servers") or item.get("servers") or self.description.get("servers") or []
        bases = []
        for server in servers:
            url = str(server.get("url", "/"))
            for name, variable in (server.get("variables") or {}).items():
                url = url.replace(f"{{{name}}}", str(variable.get("default", "")))
            bases.append(urlsplit(url).path.rstrip("/"))
        return tuple(dict.fromkeys(bases)) or ("",)

    def _header_parameters(self, item: dict[str, Any], holder: dict[str, Any], place: str) -> set[str]:
        """Names of the header parameters: an operation's own go before the path's."""
        found: set[str] = set()
        for parameter in [*item.get("parameters", ()), *holder.get("parameters", ())]:
            resolved = self._resolve(parameter, place)
            if resolved.get("in") == "header":
                found.add(str(resolved.get("name", "")).lower())
        return found

    def _declared(self, which: str, own: Terms, around: Terms, headers: set[str], usual: str) -> bytes | None:
        name = (_first(which, own, around, self.root) or usual).lower()
        return name.encode("latin-1") if name in headers else None

    def _keys(self, holder: dict[str, Any], place: str) -> tuple[tuple[bytes, ...], tuple[str, ...], bool]:
        needs = holder.get("security", self.description.get("security", []))
        schemes = self.description.get("components", {}).get("securitySchemes", {})
        headers: list[bytes] = []
        queries: list[str] = []
        for need in needs:
            for name in need:
                scheme = self._resolve(schemes.get(name, {}), f"{place}/security/{name}")
                if scheme.get("type") == "apiKey" and scheme.get("in") == "header":
                    headers.append(str(scheme["name"]).lower().encode("latin-1"))
                elif scheme.get("type") == "apiKey" and scheme.get("in") == "query":
                    queries.append(str(scheme["name"]))
                elif scheme.get("type") == "http" and str(scheme.get("scheme", "")).lower() == "bearer":
                    headers.append(b"authorization")
                else:
                    self._wrong(f"{place}/security/{name}", "allowed: apiKey in header or query, http bearer")
        anonymous = not needs or any(not need for need in needs)
        return tuple(dict.fromkeys(headers)), tuple(dict.fromkeys(queries)), anonymous

    # -- classes

    def _named(self, name: str) -> Terms:
        return (self.root.classes or {}).get(name, Terms())

    def _class(self, name: str, method: str, nearer: tuple[Terms, ...], place: str) -> int:
        sources = (*nearer, self._named(name), self.root)
        made = self._make_class(name, method, sources, place)
        known = self.classes.setdefault(name, (made, place))
        if known[0] != made:
            self._wrong(place, f"class {name} differs from the one at {known[1]}")
        return list(self.classes).index(name)

    def _make_class(
        self, name: str, method: str, sources: tuple[Terms, ...], place: str
    ) -> policy.RequestClass:
        safe = "safe" if method in SAFE_METHODS else "unsafe"
        effect = self._choice("effect", sources, safe, policy.Idempotency, place)
        group = self._choice("group", sources, "all", policy.DeduplicationScope, place)
        deadline = self._span("deadline", sources, "10s", place)
        aim = self._span("aim", sources, None, place) or deadline // 4
        window = self._span("window", sources, "0s", place)
        if effect is policy.Idempotency.IDEMPOTENT_WITH_KEY and not window:
            self._wrong(place, f"class {name} is keyed and states no window")
        if aim > deadline:
            self._wrong(place, f"class {name} has an aim beyond its deadline")
        worth = _first("worth", *sources)
        late = _first("late_worth", *sources)
        return policy.RequestClass(
            aim,
            deadline,
            1.0 if worth is None else float(worth),
            0.0 if late is None else float(late),
            effect,
            group,
            window,
        )

    def _choice(self, which: str, sources: tuple[Terms, ...], usual: str, of: Any, place: str) -> Any:
        value = _first(which, *sources) or usual
        try:
            return of(value)
        except ValueError:
            allowed = ", ".join(one.value for one in of)
            self._wrong(place, f"found {which} {value!r}, allowed: {allowed}")
            return of(usual)

    def _span(self, which: str, sources: tuple[Terms, ...], usual: str | None, place: str) -> int:
        text = _first(which, *sources) or usual
        if text is None:
            return 0
        try:
            return int(Duration.parse(text))
        except ValueError as wrong:
            self._wrong(place, f"{which}: {wrong}")
            return 1_000_000


def _first(name: str, *sources: Terms) -> Any:
    return next((v for source in sources if (v := getattr(source, name)) is not None), None)
