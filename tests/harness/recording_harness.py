"""Random events for a policy, the segments that record them, and the command that reads segments."""

from __future__ import annotations

import random
from pathlib import Path
from typing import Any, NamedTuple

from click.testing import CliRunner

from harness.constants import SECOND
from harness.policy_harness import PolicyHarness, actions_of, endpoint_entry, endpoint_list
from orchidlane import policy, recording
from orchidlane.cli.main import main
from orchidlane.policy import EndpointState, Outcome
from orchidlane.policy.gossip_codec import CustomerRow, encode_message, encode_row

COUNT_TICK_US = 62_500  # one tick of the counts in messages, 1/16 s


class LoggedEvent(NamedTuple):
    """An event, when it was fed, and the resulting actions."""

    fed_at_us: int
    event: policy.Event
    actions: list[policy.Action]


class AttemptInFlight(NamedTuple):
    """An attempt that has no outcome yet."""

    request: int
    number: int
    endpoint: bytes


class PolicyFuzzer:
    """Feeds a policy random events: requests, outcomes, timers, endpoint lists and peers' messages."""

    def __init__(self, seed: int, **changes: Any) -> None:
        self.rng = random.Random(seed)
        self.harness = PolicyHarness(endpoints=5, seed=seed, **changes)
        self.number = 0
        self.attempts_in_flight: list[AttemptInFlight] = []
        self.last_attempts: dict[int, int] = {}  # number of the last attempt, by request
        self.log: list[LoggedEvent] = []

    def feed(self, event: policy.Event) -> None:
        """Feed one event, and log it with its actions."""
        actions = self.harness.feed(event)
        self.log.append(LoggedEvent(self.harness.now, event, actions))
        for send in actions_of(actions, policy.SendAttempt):
            number = self.last_attempts[send.request] = self.last_attempts.get(send.request, -1) + 1
            self.attempts_in_flight.append(AttemptInFlight(send.request, number, send.endpoint))

    def step(self) -> None:
        """Advance the clock by a random time; feed the first timer that is due, else a random event."""
        self.harness.now += self.rng.randrange(40_000)
        due = sorted(timer for timer in self.harness.timers if timer[0] <= self.harness.now)
        if due:
            self.harness.timers.remove(due[0])
            self.feed(policy.TimerFired(due[0][1]))
        else:
            self.feed(self._random_event())

    def _random_event(self) -> policy.Event:
        sample = self.rng.random()
        if sample < 0.4:
            return self._request()
        if sample < 0.5:
            return self._quota_request()
        if sample < 0.8 and self.attempts_in_flight:
            return self._attempt_outcome()
        if sample < 0.85:
            return policy.ClientDisconnected(self.rng.randrange(1, self.number + 2))
        if sample < 0.92:
            return self._endpoint_change()
        return self._peer_message()

    def _request(self) -> policy.RequestArrived:
        self.number += 1
        customer, plan = self.rng.randrange(6), self.rng.randrange(4)
        request_class = self.rng.randrange(5)
        return policy.RequestArrived(
            self.number, customer, plan, request_class, 1.0, 2 * SECOND, 0, 3, is_retry=False
        )

    def _quota_request(self) -> policy.QuotaRequested:
        self.number += 1
        return policy.QuotaRequested(self.number, self.rng.randrange(6), 0, 0, 1.0, 0, 3)

    def _attempt_outcome(self) -> policy.AttemptFinished:
        index = self.rng.randrange(len(self.attempts_in_flight))
        attempt = self.attempts_in_flight.pop(index)
        outcome = self.rng.choice(list(Outcome))
        served = outcome is Outcome.SERVED
        return policy.AttemptFinished(*attempt, outcome, 50_000, served, 0, 0.0, ())

    def _endpoint_change(self) -> policy.EndpointListReceived:
        state = self.rng.choice(list(EndpointState))
        started_at_us = self.rng.choice((0, self.harness.now))
        entry = endpoint_entry(self.rng.randrange(5), state, started_at_us=started_at_us)
        return endpoint_list(entry, kind=policy.EndpointListKind.DELTA)

    def _peer_message(self) -> policy.PeerMessageReceived:
        rng, now_us = self.rng, self.harness.now
        counts = ((1, now_us // COUNT_TICK_US, float(rng.randrange(9))),)
        row = CustomerRow(rng.randrange(6), 0, 0, 3, 0, 4.0, float(rng.randrange(30)), 0.0, counts)
        wants_reply, to_token_owner = rng.random() < 0.5, rng.random() < 0.5
        now_ms = now_us // 1000
        rows = [encode_row(row, now_ms, 3)]
        return policy.PeerMessageReceived(1, encode_message(now_ms, wants_reply, to_token_owner, rows))


def write_segment(
    fuzzer: PolicyFuzzer, steps: int, path: Path, number: int = 0, started_at_us: int = 1
) -> list[LoggedEvent]:
    """Run ``steps`` further steps of the fuzzer and write them to a segment; return their events."""
    header = recording.Header(
        format=recording.FORMAT_VERSION,
        build="x",
        gateway="gw",
        started_at_us=started_at_us,
        number=number,
        settings=recording.settings_to_stored(fuzzer.harness.settings),
        state=recording.dump_state(fuzzer.harness.gateway),
        class_names=("a", "b", "c", "d", "e"),
        plan_names=("p", "q", "r", "s"),
    )
    first = len(fuzzer.log)
    for _ in range(steps):
        fuzzer.step()
    data = recording.pack_header(header) + recording.pack_account_page(1, [], last=True)
    for logged in fuzzer.log[first:]:
        data += recording.pack_entry(logged.fed_at_us, logged.event, logged.actions)
    path.write_bytes(data)
    return fuzzer.log[first:]


def run_command(*arguments: str) -> tuple[int, str]:
    """Run the orchidlane command with arguments; return its exit code and output."""
    result = CliRunner().invoke(main, arguments)
    assert result.exception is None or isinstance(result.exception, SystemExit), result.exception
    return result.exit_code, result.output
