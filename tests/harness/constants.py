"""Constants of all tests: units of time in microseconds, and the folder of the example service."""

from __future__ import annotations

from pathlib import Path

MS = 1_000
SECOND = 1_000_000
MATERIALS = Path(__file__).parent.parent.parent / "examples" / "materials"
