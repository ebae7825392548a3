"""What a gateway knows about the fleet's versions, and which version it runs."""

from __future__ import annotations

from dataclasses import dataclass, field

from orchidlane.rollout.replicated_state import ReplicatedState
from orchidlane.rollout.version import Certificate, ContentHashes


@dataclass
class AgentState:
    """State shared by the parts of the rollout agent.

    ``replicated`` is the latest replicated state that this gateway knows. ``running`` is the version by which
    it handles requests; None means the gateway's own files. ``own_contents`` has the hashes of those files.
    """

    replicated: ReplicatedState | None = None
    running: Certificate | None = None
    own_contents: ContentHashes = field(default_factory=lambda: ContentHashes("", ""))

    @property
    def running_number(self) -> int:
        """The number of the running version, 0 for the gateway's own files."""
        return self.running.version.number if self.running is not None else 0

    @property
    def running_label(self) -> str:
        """The label of the running version in logs and responses."""
        if self.running is not None:
            return self.running.version.label()
        return f"0:{self.own_contents.combined_hash[:12]}"
