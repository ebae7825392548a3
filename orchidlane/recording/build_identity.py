"""What this build is called: its version and a digest over the sources that decide.

Two builds of one version may still decide differently, as while a change is tried out. A tool that judges by
a copy of the module may only do so for a gateway whose module is the very same, so the name holds both.
"""

from __future__ import annotations

import hashlib
from functools import cache
from pathlib import Path

from orchidlane import __version__


@cache
def build_name() -> str:
    """``version+digest``: equal where the decisions are."""
    digest = hashlib.blake2b(digest_size=6)
    for source in sorted((Path(__file__).parent.parent / "policy").glob("*.py")):
        digest.update(source.read_bytes())
    return f"{__version__}+{digest.hexdigest()}"
