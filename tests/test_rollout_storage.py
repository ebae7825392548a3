"""Files of a gateway for fleet versions."""

from __future__ import annotations

import pytest

from orchidlane.gateway.rollout_agent.storage import CorruptFileError, RolloutStorage, VoterFile
from orchidlane.rollout.messages import Ballot
from orchidlane.rollout.voter_state import SeenVoteCount, VoterState
from orchidlane.runtime import Loop, SimWorld

PATH = "state/gw-0.voter"
VOTER_FILE = VoterFile(VoterState(7, Ballot(3, 1, 7), Ballot(2, 0, 5), "n" * 64, 4, {1: SeenVoteCount(8, 2)}))


def test_a_truncated_or_damaged_voter_file_is_recognized():
    world = SimWorld(1)

    def read_damaged_files() -> None:
        storage = RolloutStorage(world, "state/gw-0")
        assert storage.read_voter() is None
        storage.write_voter(VOTER_FILE)
        encoded = world.files[PATH]
        assert storage.read_voter() == VOTER_FILE
        for size in range(len(encoded)):
            world.files[PATH] = encoded[:size]
            with pytest.raises(CorruptFileError):
                storage.read_voter()
        for position in range(len(encoded)):
            damaged = bytearray(encoded)
            damaged[position] ^= 1
            world.files[PATH] = bytes(damaged)
            with pytest.raises(CorruptFileError):
                storage.read_voter()

    Loop(world).run(read_damaged_files)
