"""Adoption of the target version, which the replicated state assigns to this gateway."""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple

import msgspec

from orchidlane.gateway.control.configuration import ConfigurationSnapshot, ContentError
from orchidlane.gateway.rollout_agent.agent_state import AgentState
from orchidlane.gateway.rollout_agent.background_tasks import BackgroundTasks
from orchidlane.gateway.rollout_agent.blob_fetcher import BlobFetcher, ContentUnavailableError
from orchidlane.gateway.rollout_agent.configuration_reader import ConfigurationReader, customer_assignments
from orchidlane.gateway.rollout_agent.process_interface import GatewayProcess
from orchidlane.gateway.rollout_agent.storage import CorruptFileError, RolloutStorage, RunningFile
from orchidlane.policy import ReplicaSetChanged
from orchidlane.rollout import replicated_state
from orchidlane.rollout.compatibility import customers_to_reset
from orchidlane.rollout.replicated_state import ReplicatedState
from orchidlane.rollout.version import Certificate, certificate_error


class CustomersToReset(NamedTuple):
    """Numbers of customers whose quotas are reset, by whether the new version suspends or serves them."""

    suspended: list[int]
    served: list[int]


class RestoredVersion(NamedTuple):
    """The configuration and replicated state that an earlier process of this gateway stored."""

    snapshot: ConfigurationSnapshot
    state: ReplicatedState
    encoded_state: bytes


class Adoption:
    """Replaces the configuration by that of the target version.

    ``error`` says why the last attempt failed, "" if it succeeded.
    """

    def __init__(
        self,
        process: GatewayProcess,
        agent_state: AgentState,
        storage: RolloutStorage,
        fetcher: BlobFetcher,
        reader: ConfigurationReader,
        background: BackgroundTasks,
        on_adopted: Callable[[], None],
    ) -> None:
        self.process = process
        self.agent_state = agent_state
        self.storage = storage
        self.fetcher = fetcher
        self.reader = reader
        self.background = background
        self.on_adopted = on_adopted
        self.error = ""
        self._must_persist = False

    # -- restart

    def restore(self, generation: int) -> RestoredVersion | None:
        """Return what an earlier process stored; None if its files are missing or cannot be used."""
        try:
            file = self.storage.read_running()
            if file is None:
                return None
            state = replicated_state.decode(file.state)
            self._check_certificate(file)
            snapshot = self.reader.restore_version(file.running.version, generation)
        except (CorruptFileError, msgspec.DecodeError, OSError, ContentError, ValueError) as error:
            self.process.log.error("version not restored", reason=str(error))
            return None
        self.agent_state.running = file.running
        return RestoredVersion(snapshot, state, file.state)

    def _check_certificate(self, file: RunningFile) -> None:
        error = certificate_error(self.process.secret, file.running)
        if error:
            raise CorruptFileError(f"invalid certificate: {error}")

    # -- adoption

    def tick(self, state: ReplicatedState) -> None:
        """Start to adopt the target version if another version is running."""
        target = state.target_certificate(self.process.rank)
        running = self.agent_state.running
        is_behind = running is None or running.version != target.version
        if is_behind and not self.background.is_running("adopt") and self.background.is_due("adopt"):
            self.background.start("adopt", lambda: self._adopt(target))

    def _adopt(self, target: Certificate) -> None:
        """Adopt a version if a quorum's certificate approves it and its contents are valid."""
        version = target.version
        log = self.process.log
        try:
            snapshot = self._read_target(target)
        except (ContentUnavailableError, ContentError, OSError) as error:
            if str(error) != self.error:
                log.error("version not adopted", version=version.label(), reason=str(error))
            self.error = str(error)
            return
        reset = self._customers_to_reset(self.process.configuration, snapshot)
        state = self.agent_state.replicated
        if state is None or state.target_certificate(self.process.rank) != target:
            return  # the target changed while this task waited for the contents
        self._reset_quotas(reset.served, snapshot)  # before the new configuration serves these customers
        self.process.configuration = snapshot
        self._reset_quotas(reset.suspended, snapshot)  # after these customers are no longer served
        self.agent_state.running = target
        self.error = ""
        log.info("version adopted", version=version.label(), base=version.base, author=version.author)
        self.on_adopted()

    def _read_target(self, target: Certificate) -> ConfigurationSnapshot:
        """Return the target's configuration. Raises ContentUnavailableError, ContentError, OSError."""
        error = certificate_error(self.process.secret, target)
        if error:
            raise ContentError(f"invalid certificate: {error}")
        self.fetcher.ensure_contents(target.version.contents)
        generation = self.process.configuration.generation.number + 1
        snapshot = self.reader.read_version(target.version, generation)
        if snapshot.generation.classes != self.process.configuration.generation.classes:
            raise ContentError(
                "the request classes differ from the running ones; that needs a restart of the gateway"
            )
        return snapshot

    def _customers_to_reset(self, old: ConfigurationSnapshot, new: ConfigurationSnapshot) -> CustomersToReset:
        """Compare all customers of both configurations in a separate thread."""

        def compare() -> CustomersToReset:
            before = customer_assignments(old, self.process.fleet)
            after = customer_assignments(new, self.process.fleet)
            numbers = customers_to_reset(before, after)
            return CustomersToReset(
                suspended=[number for number in numbers if after[number].is_suspended],
                served=[number for number in numbers if not after[number].is_suspended],
            )

        reset: CustomersToReset = self.storage.backend.run_in_thread(compare)
        return reset

    def _reset_quotas(self, numbers: list[int], snapshot: ConfigurationSnapshot) -> None:
        for number in numbers:
            customer = snapshot.customers.by_number(b"%d" % number)
            assert customer is not None
            event = ReplicaSetChanged(
                number, customer.plan, customer.replica_set_start, customer.replica_set_size
            )
            self.process.policy_driver.feed(event)

    # -- disk

    def persist(self) -> None:
        """Write the replicated state and the running version in a background task.

        If either changes during the write, the task writes again, so that the file ends up with the latest.
        """
        if not self.background.is_started:
            return
        self._must_persist = True
        if not self.background.is_running("persist"):
            self.background.start("persist", self._write_running)

    def _write_running(self) -> None:
        while (
            self._must_persist
            and self.agent_state.replicated is not None
            and self.agent_state.running is not None
        ):
            self._must_persist = False
            state = self.agent_state.replicated
            running = self.agent_state.running
            referenced_hashes = {name for version in state.versions() for name in version.contents.hashes()}
            self.storage.remove_unreferenced_contents(
                referenced_hashes | set(running.version.contents.hashes())
            )
            file = RunningFile(replicated_state.encode(state), running, tuple(self.storage.contents))
            try:
                self.storage.write_running(file)
            except OSError as error:
                self.process.log.error("running version not written", reason=str(error))
                return
