"""The name of this build: its version and a digest over the sources of the policy.

Two builds of one version may decide differently, for example during development. A tool may predict a
gateway's decisions with its own copy of the policy only if both policies are the same, so the name has both
parts.
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
    """Return ``version+digest``; builds with the same name make the same decisions."""
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for source in sorted(POLICY_FOLDER.glob("*.py")):
        digest.update(source.read_bytes())
    return f"{__version__}+{digest.hexdigest()}"
