"""Injects the faults of a rollout scenario: see ``rollout_scenarios``."""

from __future__ import annotations

import random
from collections.abc import Callable, Iterator
from typing import Protocol

from orchidlane.gateway.lifecycle.process import GatewayProcess
from orchidlane.gateway.rollout_agent.agent import RolloutAgent
from orchidlane.runtime import EventLoop, Process
from orchidlane.runtime.simulated_backend import SimulatedBackend

SECOND_US = 1_000_000
NORMAL_DELAY_US = (100, 900)
LONG_DELAY_US = (100, 50_000)

FAULT_KINDS = ("kill", "still", "cut", "loss", "old", "empty", "broken", "full")


class Scenario(Protocol):
    """The part of a rollout scenario that the faults use."""

    gateways: int
    voters: int

    @property
    def event_counts(self) -> dict[str, int]:
        """The number of injected faults and of commands, by kind."""


class Fleet(Protocol):
    """The simulated fleet that faults affect."""

    random: random.Random
    loop: EventLoop
    backend: SimulatedBackend
    processes: dict[int, Process]
    programs: dict[int, GatewayProcess]

    @property
    def scenario(self) -> Scenario:
        """The scenario that runs."""

    def start(self, rank: int) -> None:
        """Start a gateway with the files that it has on disk."""

    def kill(self, rank: int) -> None:
        """Kill a gateway, as SIGKILL does."""

    def running_ranks(self) -> list[int]:
        """Return the ranks of the gateways that run, including those that are paused."""

    def agent(self, rank: int) -> RolloutAgent:
        """Return a gateway's rollout agent."""

    def files_of(self, rank: int) -> dict[str, bytes]:
        """Return the files that a gateway has on disk, by path."""


class FaultInjector:
    """Injects faults of each kind into a fleet, and removes them."""

    def __init__(self, fleet: Fleet) -> None:
        self.fleet = fleet

    def clear(self) -> None:
        """Remove all faults: heal the network and the disks, start or resume the gateways."""
        self.fleet.backend.heal_all()
        self.fleet.backend.processes_with_full_disk.clear()
        self._restore_network()
        for rank, process in self.fleet.processes.items():
            if process.is_dead:
                self.fleet.start(rank)
            elif process.is_frozen:
                self.fleet.loop.thaw(process)

    def _restore_network(self) -> None:
        faults = self.fleet.backend.faults
        faults.datagram_loss_probability = 0.0
        faults.datagram_duplication_probability = 0.0
        faults.delay_us = NORMAL_DELAY_US

    def inject(self, kind: str) -> None:
        """Inject a kind of fault repeatedly until cancelled.

        A fault is a generator that yields between its steps; a random time passes at each yield.
        """
        faults: dict[str, Callable[[int], Iterator[None]]] = {
            "kill": self._kill,
            "still": self._freeze,
            "cut": self._partition,
            "loss": self._lose_datagrams,
            "old": self._restore_old_files,
            "empty": self._lose_files,
            "broken": self._truncate_files,
            "full": self._fill_disk,
        }
        fault = faults[kind]
        while True:
            self.fleet.loop.sleep(self.fleet.random.randint(SECOND_US // 5, 3 * SECOND_US))
            self.fleet.scenario.event_counts[kind] += 1
            for _ in fault(self.fleet.random.randrange(self.fleet.scenario.gateways)):
                self.fleet.loop.sleep(self.fleet.random.randint(SECOND_US // 50, 3 * SECOND_US))

    def _kill(self, rank: int) -> Iterator[None]:
        if self.fleet.processes[rank].is_dead:
            return
        self.fleet.kill(rank)
        yield
        if self.fleet.processes[rank].is_dead:
            self.fleet.start(rank)

    def _freeze(self, rank: int) -> Iterator[None]:
        process = self.fleet.processes[rank]
        if process.is_dead or process.is_frozen:
            return
        self.fleet.loop.freeze(process)
        yield
        if not process.is_dead and process.is_frozen:
            self.fleet.loop.thaw(process)

    def _partition(self, rank: int) -> Iterator[None]:
        ranks = range(self.fleet.scenario.gateways)
        isolated = {rank, *(other for other in ranks if self.fleet.random.random() < 0.3)}
        pairs = [(f"gw-{a}", f"gw-{b}") for a in isolated for b in ranks if b not in isolated]
        for pair in pairs:
            self.fleet.backend.partition(*pair)
        yield
        for pair in pairs:
            self.fleet.backend.heal(*pair)

    def _lose_datagrams(self, _rank: int) -> Iterator[None]:
        faults = self.fleet.backend.faults
        faults.datagram_loss_probability = self.fleet.random.random() * 0.6
        faults.datagram_duplication_probability = 0.2
        faults.delay_us = self.fleet.random.choice((NORMAL_DELAY_US, LONG_DELAY_US))
        yield
        self._restore_network()

    def _fill_disk(self, rank: int) -> Iterator[None]:
        self.fleet.backend.processes_with_full_disk.add(f"gw-{rank}")
        yield
        self.fleet.backend.processes_with_full_disk.discard(f"gw-{rank}")

    def _restore_old_files(self, rank: int) -> Iterator[None]:
        """Restart a gateway with an older copy of its files, as a restored backup does."""
        files = self.fleet.files_of(rank)
        yield
        yield from self._restart_with(rank, files)

    def _lose_files(self, rank: int) -> Iterator[None]:
        yield from self._restart_with(rank, {})

    def _truncate_files(self, rank: int) -> Iterator[None]:
        files = {
            path: data[: self.fleet.random.randint(0, len(data))]
            for path, data in self.fleet.files_of(rank).items()
        }
        yield from self._restart_with(rank, files)

    def _restart_with(self, rank: int, files: dict[str, bytes]) -> Iterator[None]:
        if self.fleet.processes[rank].is_dead or not self._can_lose_disk(rank):
            return
        self.fleet.kill(rank)
        yield
        if not self.fleet.processes[rank].is_dead or not self._can_lose_disk(rank):
            return
        for path in self.fleet.files_of(rank):
            del self.fleet.backend.files[path]
        self.fleet.backend.files.update(files)
        self.fleet.start(rank)

    def _can_lose_disk(self, rank: int) -> bool:
        """Return whether a quorum of voters keeps its disks if a gateway loses its own.

        Without such a quorum the replicated state is lost, as documented.
        """
        if rank >= self.fleet.scenario.voters:
            return True
        states = [
            program.rollout_agent.state for program in self.fleet.programs.values() if program.rollout_agent
        ]
        if any(state.previous_members for state in states if state is not None):
            return False  # a membership change in progress needs the quorums of old and new members
        voting = [
            other
            for other in self.fleet.running_ranks()
            if other < self.fleet.scenario.voters and other != rank and self._may_vote(other)
        ]
        return len(voting) > self.fleet.scenario.voters // 2

    def _may_vote(self, rank: int) -> bool:
        leadership = self.fleet.agent(rank).leadership
        return leadership is not None and leadership.voter.may_vote
