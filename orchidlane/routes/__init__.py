"""Routes, request classes and costs, read from an OpenAPI description."""

from orchidlane.routes.build import build
from orchidlane.routes.description import load_description
from orchidlane.routes.errors import DescriptionError, DescriptionProblem
from orchidlane.routes.generation import Generation, Match, Miss, Operation
from orchidlane.routes.path import PathError, canonical_path
from orchidlane.routes.tree import Tree

__all__ = [
    "DescriptionError",
    "DescriptionProblem",
    "Generation",
    "Match",
    "Miss",
    "Operation",
    "PathError",
    "Tree",
    "build",
    "canonical_path",
    "load_description",
]
