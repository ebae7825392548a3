"""Adoption of the version that the replicated state wants at this gateway."""

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
    """Customers whose quotas begin anew, by whether the new version serves them."""

    suspended: list[int]
    served: list[int]


class RestoredVersion(NamedTuple):
    """What an earlier process of this gateway ran."""

    snapshot: ConfigurationSnapshot
    state: ReplicatedState
    encoded_state: bytes


class Adoption:
    """Replaces the configuration by that of the target version; ``error`` tells why it could not."""

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
        """Return what an earlier process ran, by its own files; None where nothing of it can be used."""
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
            raise CorruptFileError(f"its certificate: {error}")

    # -- adoption

    def tick(self, state: ReplicatedState) -> None:
        """Begin to adopt the target version, if another one runs."""
        target = state.target_certificate(self.process.rank)
        running = self.agent_state.running
        is_behind = running is None or running.version != target.version
        if is_behind and not self.background.is_running("adopt") and self.background.is_due("adopt"):
            self.background.start("adopt", lambda: self._adopt(target))

    def _adopt(self, target: Certificate) -> None:
        """Adopt a version, if a quorum's certificate proves it and its contents can be used."""
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
            return  # the target changed meanwhile
        self._reset_quotas(reset.served, snapshot)  # before these customers are served again
        self.process.configuration = snapshot
        self._reset_quotas(reset.suspended, snapshot)  # once they are served no more
        self.agent_state.running = target
        self.error = ""
        log.info("adopted", version=version.label(), base=version.base, author=version.author)
        self.on_adopted()

    def _read_target(self, target: Certificate) -> ConfigurationSnapshot:
        """Return the target's configuration. Raises ContentUnavailableError, ContentError, OSError."""
        error = certificate_error(self.process.secret, target)
        if error:
            raise ContentError(f"no certificate: {error}")
        self.fetcher.ensure_contents(target.version.contents)
        generation = self.process.configuration.generation.number + 1
        snapshot = self.reader.read_version(target.version, generation)
        if snapshot.generation.classes != self.process.configuration.generation.classes:
            raise ContentError("other classes need a restart of the gateway")
        return snapshot

    def _customers_to_reset(self, old: ConfigurationSnapshot, new: ConfigurationSnapshot) -> CustomersToReset:
        """Compare all customers, beside the loop."""

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
        """Write the latest state and the version that runs in the background, the latest at the end."""
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
            referenced = {name for version in state.versions() for name in version.contents.hashes()}
            self.storage.remove_unreferenced_contents(referenced | set(running.version.contents.hashes()))
            file = RunningFile(replicated_state.encode(state), running, tuple(self.storage.contents))
            try:
                self.storage.write_running(file)
            except OSError as error:
                self.process.log.error("running version not written", reason=str(error))
                return
