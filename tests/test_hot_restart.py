"""Hot restarts of a gateway in the simulated backend: outcomes, rejection, probation and handover."""

from __future__ import annotations

import msgspec
import pytest
from harness.constants import MS, SECOND
from harness.gateway_harness import GET, good
from harness.hot_restart_harness import HotRestartHarness, counted_units, slow

from orchidlane import recording
from orchidlane.gateway.lifecycle.new_side import NewSide
from orchidlane.hot_restart import messages, new_process, old_process
from orchidlane.policy import admission, quota
from orchidlane.policy.gateway import Gateway

pytestmark = pytest.mark.usefixtures("quiet_log")


def test_hot_restart_passes_probation_and_answers_every_request_once():
    def test(harness: HotRestartHarness) -> None:
        harness.start_load(5 * SECOND, clients=6)
        harness.loop.sleep(SECOND)
        harness.start_hot_restart()
        gateway = harness.await_settled()
        assert set(harness.statuses) == {200}
        assert harness.statuses[200] > 400
        assert harness.longest_response_us < 60 * MS
        assert counted_units(gateway) == harness.forwarded_units()
        old, new = harness.gateways
        assert (old.old_side.machine.phase, old.old_side.machine.last_outcome) == (
            old_process.Phase.ENDED,
            "passed",
        )
        assert new.new_side.machine.phase is new_process.Phase.INDEPENDENT
        assert new is gateway
        assert not harness.processes[0].tasks
        assert new.incarnation == old.incarnation
        assert old.old_side.handover_pause_us < 10 * MS

    HotRestartHarness(slow, slow, slow, slow).run(test)


def test_consecutive_hot_restarts_lose_no_request():
    def test(harness: HotRestartHarness) -> None:
        harness.start_load(12 * SECOND)
        for number in range(1, 6):
            harness.loop.sleep(200 * MS)
            harness.hot_restart()
            harness.wait_until(lambda n=number: not harness.processes[n - 1].tasks)
        gateway = harness.await_settled()
        assert gateway is harness.gateways[-1]
        assert set(harness.statuses) == {200}
        assert counted_units(gateway) == harness.forwarded_units()

    HotRestartHarness(slow, slow, slow, slow, probation=300 * MS).run(test)


def test_second_hot_restart_is_rejected_while_one_is_in_progress():
    def test(harness: HotRestartHarness) -> None:
        harness.start_load(3 * SECOND)
        harness.start_hot_restart()
        harness.start_hot_restart()
        gateway = harness.await_settled()
        assert set(harness.statuses) == {200}
        accepted, rejected = sorted(harness.gateways[1:], key=lambda process: bool(process.failure))
        assert "another hot restart is in progress" in rejected.failure
        assert gateway is accepted

    HotRestartHarness(slow, slow, slow, slow).run(test)


@pytest.mark.parametrize(
    ("change", "reason"),
    [
        ({"protocol_version": 99}, "protocol version 99"),
        ({"rank": 1}, "rank 0"),
        ({"gateway_count": 5}, "need a restart"),
        ({"plan_names": ("other",)}, "need a restart"),
    ],
)
def test_mismatched_new_process_is_rejected_with_the_reason(monkeypatch, change, reason):
    def send_mismatched_hello(self) -> None:
        plans = tuple(self.gateway.fleet.plans)
        hello = messages.Hello(messages.PROTOCOL_VERSION, "b", "gw-0", 0, 3, plans)
        self.channel.send(msgspec.structs.replace(hello, **change))

    monkeypatch.setattr(NewSide, "_send_hello", send_mismatched_hello)

    def test(harness: HotRestartHarness) -> None:
        harness.start_hot_restart()
        harness.loop.sleep(SECOND)
        assert reason in harness.gateways[1].failure
        assert harness.serving() == [harness.gateways[0]]

    HotRestartHarness(good).run(test)


def test_build_that_rejects_everything_is_reclaimed_with_its_clients(monkeypatch):
    """A new build that admits no request fails probation, and its clients return to the old process."""
    admits = admission.admits
    broken_gateways: list[Gateway] = []

    def rejects_if_broken(state, event, account) -> bool:
        return False if state in broken_gateways else admits(state, event, account)

    monkeypatch.setattr(admission, "admits", rejects_if_broken)
    start_probation = NewSide._start_probation

    def start_broken(self) -> None:
        broken_gateways.append(self.gateway.policy_driver.gateway)
        start_probation(self)

    monkeypatch.setattr(NewSide, "_start_probation", start_broken)

    def test(harness: HotRestartHarness) -> None:
        harness.start_load(6 * SECOND, clients=4)
        harness.loop.sleep(SECOND)
        harness.start_hot_restart()
        gateway = harness.await_settled()
        assert gateway is harness.gateways[0]
        assert gateway.old_side.machine.last_outcome.startswith("recalled: served 0 of")
        assert harness.gateways[1].failure == "recalled"
        assert set(harness.statuses) == {200, 429}
        assert harness.statuses[429] < 60
        assert counted_units(gateway) == harness.forwarded_units()

    HotRestartHarness(slow, slow, slow, slow, probation=3 * SECOND).run(test)


def test_hanging_old_process_never_serves_beside_the_new_one():
    """The old process is stopped at different moments of a hot restart and continues 12 s later."""

    def run(delay_us: int) -> str:
        harness = HotRestartHarness(slow, slow, slow, slow)

        def test(harness: HotRestartHarness) -> None:
            harness.start_load(2 * SECOND)
            harness.start_hot_restart()
            harness.loop.sleep(delay_us)
            harness.loop.freeze(harness.processes[0])
            harness.loop.sleep(12 * SECOND)
            harness.loop.thaw(harness.processes[0])
            harness.wait_until(lambda: not harness.running_clients, 90 * SECOND)
            harness.loop.sleep(4 * SECOND)
            (gateway,) = harness.serving()
            harness.wait_until(lambda: harness.ask(GET)[0] == 200)
            # Requests that were admitted and could not be sent any more are counted as well
            assert counted_units(gateway) >= harness.forwarded_units()
            outcomes.append(
                gateway.old_side.machine.last_outcome + (" new" if gateway.is_hot_restart else " old")
            )

        outcomes: list[str] = []
        harness.run(test)
        return outcomes[0]

    outcomes = {run(delay_us) for delay_us in (300, 600, 900, 1_200, 2_000, 300 * MS, 900 * MS)}
    assert {outcome.split()[-1] for outcome in outcomes} == {"old", "new"}, outcomes


@pytest.mark.parametrize("side", ["old", "new"])
def test_stop_in_probation_leaves_the_other_process_serving_without_loss(side):
    def test(harness: HotRestartHarness) -> None:
        harness.start_load(4 * SECOND)
        harness.hot_restart()
        harness.loop.sleep(100 * MS)
        stopped = harness.gateways[0 if side == "old" else 1]
        stopped.stop()
        gateway = harness.await_settled()
        assert gateway is not stopped
        assert set(harness.statuses) == {200}
        assert counted_units(gateway) == harness.forwarded_units()

    HotRestartHarness(slow, slow, slow, slow).run(test)


def test_old_process_keeps_serving_if_descriptors_are_lost():
    """The kernel drops a descriptor on its way if the receiver may not open any more."""

    def test(harness: HotRestartHarness) -> None:
        harness.start_load(3 * SECOND)
        harness.backend.is_out_of_descriptors = True
        harness.start_hot_restart()
        gateway = harness.await_settled()
        assert gateway is harness.gateways[0]
        assert "no descriptor left" in gateway.old_side.machine.last_outcome
        assert set(harness.statuses) == {200}

    HotRestartHarness(slow, slow, slow, slow).run(test)


def test_hundred_thousand_accounts_are_handed_over_under_traffic():
    def test(harness: HotRestartHarness) -> None:
        policy_gateway = harness.program.policy_driver.gateway
        for customer in range(100_000):
            account = quota.update_account_key(policy_gateway, customer + 10, 0, 0, 3)
            account.spent_total, account.unconfirmed = 1.0, True  # unconfirmed accounts are not evicted
        harness.start_load(2 * SECOND)
        harness.start_hot_restart()
        gateway = harness.await_settled()
        assert gateway is harness.gateways[1]
        assert set(harness.statuses) == {200}
        assert len(gateway.policy_driver.gateway.accounts) == 100_001
        assert counted_units(gateway) == harness.forwarded_units()

    HotRestartHarness(slow, slow, slow, slow, single_gateway=True).run(test)


def test_recording_across_a_hot_restart_replays_without_difference(tmp_path):
    """Each process of a gateway writes its own recording, which starts with the state that it had."""

    def test(harness: HotRestartHarness) -> None:
        harness.start_load(3 * SECOND)
        harness.start_hot_restart()
        harness.await_settled()

    harness = HotRestartHarness(slow, slow, slow, slow, record_to="rec")
    harness.run(test)
    for name, data in harness.backend.files.items():
        if name.startswith("rec/"):
            (tmp_path / name[4:]).write_bytes(data)
    replays = [
        recording.replay(segments)
        for segments in recording.group_by_incarnation(recording.list_segments(str(tmp_path)))
    ]
    assert len(replays) == 2
    assert all(
        replay.difference is None and not replay.unchecked_parts and replay.events > 100 for replay in replays
    )
    assert recording.audit_records(recording.list_segments(str(tmp_path))).faults == {}
