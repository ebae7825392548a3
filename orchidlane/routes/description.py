"""Parse and validate an OpenAPI description, and resolve references within the document."""

from __future__ import annotations

import json
from typing import Any

import yaml
from openapi_spec_validator import OpenAPIV30SpecValidator, OpenAPIV31SpecValidator

from orchidlane.routes.errors import DescriptionError, DescriptionProblem

MAX_DESCRIPTION_BYTES = 32 << 20
MAX_REFERENCE_CHAIN = 16  # references that ``resolve`` follows from one object
MAX_MESSAGE_CHARACTERS = 300
VALIDATORS = {"3.0": OpenAPIV30SpecValidator, "3.1": OpenAPIV31SpecValidator}


def load_description(text: bytes, file: str) -> dict[str, Any]:
    """Return a description, JSON or YAML, as plain values. Raises DescriptionError."""
    if len(text) > MAX_DESCRIPTION_BYTES:
        raise _error(file, "file", f"larger than {MAX_DESCRIPTION_BYTES} bytes")
    try:
        value = _parse(text)
    except json.JSONDecodeError as error:
        raise _error(file, f"line {error.lineno}", error.msg) from None
    except (yaml.YAMLError, UnicodeDecodeError, RecursionError) as error:
        mark = getattr(error, "problem_mark", None)
        location = f"line {mark.line + 1}" if mark else "file"
        raise _error(file, location, str(getattr(error, "problem", None) or "not valid YAML")) from None
    if not isinstance(value, dict):
        raise _error(file, "file", "the document is not an object")
    return _with_text_keys(value)


def _parse(text: bytes) -> Any:
    if text.lstrip()[:1] == b"{":
        return json.loads(text)
    return yaml.load(text, Loader=getattr(yaml, "CSafeLoader", yaml.SafeLoader))


def _error(file: str, location: str, message: str) -> DescriptionError:
    return DescriptionError(file, [DescriptionProblem(location, message)])


def _with_text_keys(value: Any) -> Any:
    """Convert all keys to strings: YAML reads the key 200 as a number."""
    if isinstance(value, dict):
        return {str(key): _with_text_keys(part) for key, part in value.items()}
    if isinstance(value, list):
        return [_with_text_keys(part) for part in value]
    return value


class Description:
    """A description as plain values, and the problems found in it so far."""

    def __init__(self, values: dict[str, Any], file: str) -> None:
        self.values = values
        self.file = file
        self.problems: list[DescriptionProblem] = []

    def report(self, location: str, message: str) -> None:
        """Add a problem; ``raise_problems`` raises all of them together."""
        self.problems.append(DescriptionProblem(location, message))

    def raise_problems(self) -> None:
        """Raise DescriptionError with all reported problems, if there are any."""
        if self.problems:
            raise DescriptionError(self.file, self.problems)

    def check_version(self) -> None:
        """Raise DescriptionError where the version of OpenAPI is not supported."""
        version = str(self.values.get("openapi", ""))
        if version[:3] not in VALIDATORS:
            raise _error(self.file, "openapi", f"found {version!r}, allowed: 3.0.x, 3.1.x")

    def validate(self) -> None:
        """Report violations of the OpenAPI specification. All references must be valid."""
        validator = VALIDATORS[str(self.values["openapi"])[:3]](self.values)
        try:
            for error in validator.iter_errors():
                location = "/".join(str(part) for part in error.absolute_path) or "file"
                self.report(location, error.message[:MAX_MESSAGE_CHARACTERS])
        except Exception as error:
            # The validator's later checks raise on values that its earlier checks have already reported.
            if not self.problems:
                self.report("file", f"the OpenAPI validator failed: {type(error).__name__} {error}")

    def check_references(self) -> None:
        """Report each ``$ref`` that has no target within the document."""
        self._check_references(self.values, "")

    def _check_references(self, value: Any, location: str) -> None:
        if isinstance(value, list):
            value = dict(enumerate(value))
        if not isinstance(value, dict):
            return
        if isinstance(value.get("$ref"), str):
            self._target(value["$ref"], location)
        for key, part in value.items():
            self._check_references(part, f"{location}/{key}".lstrip("/"))

    def resolve(self, value: Any, location: str) -> dict[str, Any]:
        """Return an object after following its references; report a failure and return an empty object."""
        for _ in range(MAX_REFERENCE_CHAIN):
            if not isinstance(value, dict):
                self.report(location, "is not an object")
                return {}
            if "$ref" not in value:
                return value
            value = self._target(str(value["$ref"]), location)
        self.report(location, "the chain of $refs is circular or too long")
        return {}

    def _target(self, reference: str, location: str) -> Any:
        """Return the value that a JSON pointer (RFC 6901) refers to; report a failure and return ``{}``."""
        if not reference.startswith("#/"):
            self.report(
                location, f"$ref {reference!r} does not start with #/, so it is not within the document"
            )
            return {}
        value: Any = self.values
        for token in reference[2:].split("/"):
            key = token.replace("~1", "/").replace("~0", "~")
            if isinstance(value, list):
                value = {str(index): item for index, item in enumerate(value)}
            if not isinstance(value, dict) or key not in value:
                self.report(location, f"$ref {reference!r} has no target in the document")
                return {}
            value = value[key]
        return value
