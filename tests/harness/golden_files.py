"""Golden files with the output of an earlier build, whose values every later build must reproduce.

The files in ``tests/corpus/golden_surface`` are rewritten only on purpose, by a run of the tests with
``GOLDEN_WRITE=1`` in the environment; where ``CI`` is set, nothing is written. A change of a file is a change
of a wire format, a command or a page, and its commit says why.
"""

from __future__ import annotations

import json
import os
from pathlib import Path
from typing import Any

FOLDER = Path(__file__).parent.parent / "corpus" / "golden_surface"


def check_golden(name: str, values: Any) -> None:
    """Check that plain values are equal to those in the golden file of this name."""
    path = FOLDER / f"{name}.json"
    text = json.dumps(values, indent=1, sort_keys=True) + "\n"
    if os.environ.get("GOLDEN_WRITE") == "1":
        assert "CI" not in os.environ, "golden files are not written in CI"
        FOLDER.mkdir(parents=True, exist_ok=True)
        path.write_text(text)
    assert json.loads(text) == json.loads(path.read_text()), f"differs from {path.name}"
