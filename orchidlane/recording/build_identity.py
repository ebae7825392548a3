"""The name of this build: its version and a digest over the sources of the policy.

Two builds of one version may still decide differently, as while a change is tried out. A tool that judges by
a copy of the policy may only do so for a gateway with the very same policy, so the name holds both.
"""

from __future__ import annotations

import hashlib
from functools import cache
from pathlib import Path

from orchidlane import __version__

POLICY_FOLDER = Path(__file__).parent.parent / "policy"
DIGEST_BYTES = 6


@cache
def build_name() -> str:
    """Return ``version+digest``: equal where the decisions are."""
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for source in sorted(POLICY_FOLDER.glob("*.py")):
        digest.update(source.read_bytes())
    return f"{__version__}+{digest.hexdigest()}"
