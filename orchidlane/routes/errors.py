"""Problems of an API description, each with its location in the document."""

from __future__ import annotations

from typing import NamedTuple


class DescriptionProblem(NamedTuple):
    """One problem: the path of keys to it, joined by slashes, and what is wrong there."""

    location: str
    message: str


class DescriptionError(Exception):
    """All problems of one description; the text has a line ``file: location: message`` for each."""

    def __init__(self, file: str, problems: list[DescriptionProblem]) -> None:
        self.file = file
        self.problems = problems
        super().__init__("\n".join(f"{file}: {problem.location}: {problem.message}" for problem in problems))
