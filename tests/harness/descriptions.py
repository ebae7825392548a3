"""API descriptions with other costs of operations."""

from __future__ import annotations

from harness.constants import MATERIALS
from orchidlane.routes import build, load_description

DESCRIPTION = (MATERIALS / "openapi.yaml").read_bytes()


def with_cost(data: bytes, operation: bytes, cost: int) -> bytes:
    """Return a description in which an operation has another cost."""
    start = data.index(b"x-orchidlane: {", data.index(b"operationId: " + operation))
    end = data.index(b"}", start)
    without_cost = data[start:end].split(b", cost")[0]
    return data[:start] + without_cost + b", cost: %d" % cost + data[end:]


def operation_costs(data: bytes) -> dict[str, float]:
    """Return the cost of each operation by its name."""
    generation = build(load_description(data, "o"), "o")
    return {operation.name: operation.cost for operation in generation.operations}
