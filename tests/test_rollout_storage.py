"""Detection of damage to a gateway's stored rollout files."""

from __future__ import annotations

import pytest

from orchidlane.gateway.rollout_agent.storage import CorruptFileError, RolloutStorage, VoterFile
from orchidlane.rollout.messages import Ballot
from orchidlane.rollout.voter_state import SeenVoteCount, VoterState
from orchidlane.runtime import EventLoop
from orchidlane.runtime.simulated_backend import SimulatedBackend

PATH = "state/gw-0.voter"
VOTER_FILE = VoterFile(VoterState(7, Ballot(3, 1, 7), Ballot(2, 0, 5), "n" * 64, 4, {1: SeenVoteCount(8, 2)}))


def test_a_truncated_or_damaged_voter_file_raises_an_error():
    backend = SimulatedBackend(1)

    def read_damaged_files() -> None:
        storage = RolloutStorage(backend, "state/gw-0")
        assert storage.read_voter() is None
        storage.write_voter(VOTER_FILE)
        encoded = backend.files[PATH]
        assert storage.read_voter() == VOTER_FILE
        for size in range(len(encoded)):
            backend.files[PATH] = encoded[:size]
            with pytest.raises(CorruptFileError):
                storage.read_voter()
        for position in range(len(encoded)):
            damaged = bytearray(encoded)
            damaged[position] ^= 1
            backend.files[PATH] = bytes(damaged)
            with pytest.raises(CorruptFileError):
                storage.read_voter()

    EventLoop(backend).run(read_damaged_files)
