"""What a gateway knows of the fleet's versions, and which one it runs."""

from __future__ import annotations

from dataclasses import dataclass, field

from orchidlane.rollout.replicated_state import ReplicatedState
from orchidlane.rollout.version import Certificate, ContentHashes


@dataclass
class AgentState:
    """Shared by the parts of the rollout agent.

    ``replicated`` is the latest replicated state that is known, ``running`` the version that requests are
    handled by (None: the gateway's own files) and ``own_contents`` the hashes of its own files.
    """

    replicated: ReplicatedState | None = None
    running: Certificate | None = None
    own_contents: ContentHashes = field(default_factory=lambda: ContentHashes("", ""))

    @property
    def running_number(self) -> int:
        """The number of the version that runs, 0 for the gateway's own files."""
        return self.running.version.number if self.running is not None else 0

    @property
    def running_label(self) -> str:
        """The version that runs, as logs and answers name it."""
        if self.running is not None:
            return self.running.version.label()
        return f"0:{self.own_contents.combined_hash[:12]}"
