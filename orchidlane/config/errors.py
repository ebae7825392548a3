"""Problems of a settings file, each with its position."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True, order=True)
class SourcePosition:
    """A position in a file; line and column count from 1."""

    file: str
    line: int
    column: int

    def __str__(self) -> str:
        return f"{self.file}:{self.line}:{self.column}"


@dataclass(frozen=True, slots=True)
class Problem:
    """One problem: its position, the path of the field, and what was found and what is allowed."""

    position: SourcePosition
    path: str
    message: str

    def __str__(self) -> str:
        return f"{self.position}: {self.path or 'file'}: {self.message}"


class ConfigError(Exception):
    """All problems of a file, in the order of their positions."""

    def __init__(self, problems: list[Problem]) -> None:
        unique = dict.fromkeys(problems)
        self.problems = sorted(unique, key=lambda problem: (problem.position, problem.path))
        super().__init__("\n".join(str(problem) for problem in self.problems))
