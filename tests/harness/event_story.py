"""Random events for a policy, and what a gateway would record of them."""

from __future__ import annotations

import random

from click.testing import CliRunner

from harness.policy_harness import SECOND, PolicyHarness, actions_of, endpoint_entry, endpoint_list
from orchidlane import policy, recording
from orchidlane.cli.main import main
from orchidlane.policy import EndpointState, Outcome
from orchidlane.policy.gossip_codec import CustomerRow, encode_message, encode_row

DELTA = policy.EndpointListKind.DELTA


class EventStory:
    """Random events for a module: requests, takes, outcomes, timers, lists and peers' messages."""

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.bench = PolicyHarness(endpoints=5, seed=seed)
        self.number = 0
        self.attempts_in_flight: list[tuple[int, int, bytes]] = []
        self.last_attempts: dict[int, int] = {}
        self.log: list[tuple[int, policy.Event, list[policy.Action]]] = []

    def feed(self, event: policy.Event) -> None:
        actions = self.bench.feed(event)
        self.log.append((self.bench.now, event, actions))
        for send in actions_of(actions, policy.SendAttempt):
            number = self.last_attempts[send.request] = self.last_attempts.get(send.request, -1) + 1
            self.attempts_in_flight.append((send.request, number, send.endpoint))

    def step(self) -> None:
        rng, bench = self.rng, self.bench
        bench.now += rng.randrange(40_000)
        due = sorted(t for t in bench.timers if t[0] <= bench.now)
        if due:
            bench.timers.remove(due[0])
            return self.feed(policy.TimerFired(due[0][1]))
        what = rng.random()
        if what < 0.4:
            self.number += 1
            customer, plan = rng.randrange(6), rng.randrange(4)
            args = (self.number, customer, plan, rng.randrange(5), 1.0, 2 * SECOND, 0, 3, False)
            self.feed(policy.RequestArrived(*args))
        elif what < 0.5:
            self.number += 1
            self.feed(policy.QuotaRequested(self.number, rng.randrange(6), 0, 0, 1.0, 0, 3))
        elif what < 0.8 and self.attempts_in_flight:
            request, attempt, server = self.attempts_in_flight.pop(
                rng.randrange(len(self.attempts_in_flight))
            )
            outcome = rng.choice(list(Outcome))
            served = outcome is Outcome.SERVED
            self.feed(policy.AttemptEnded(request, attempt, server, outcome, 50_000, served, 0, 0.0, ()))
        elif what < 0.85:
            self.feed(policy.ClientDisconnected(rng.randrange(1, self.number + 2)))
        elif what < 0.92:
            phase = rng.choice(list(EndpointState))
            launched = rng.choice((0, bench.now))
            self.feed(
                endpoint_list(
                    endpoint_entry(rng.randrange(5), phase, started_at_us=launched),
                    kind=policy.EndpointListKind.DELTA,
                )
            )
        else:
            counts = ((1, bench.now // 62_500, float(rng.randrange(9))),)
            row = CustomerRow(rng.randrange(6), 0, 0, 3, 0, 4.0, float(rng.randrange(30)), 0.0, counts)
            body = encode_message(
                bench.now // 1000,
                rng.random() < 0.5,
                rng.random() < 0.5,
                [encode_row(row, bench.now // 1000, 3)],
            )
            self.feed(policy.PeerMessageReceived(1, body))


def write_segment(
    story: EventStory, steps: int, path, number=0, life=1
) -> list[tuple[int, policy.Event, list[policy.Action]]]:
    header = recording.Header(
        format=recording.FORMAT_VERSION,
        build="x",
        gateway="gw",
        started_at_us=life,
        number=number,
        settings=recording.settings_to_stored(story.bench.settings),
        state=recording.dump_state(story.bench.gateway),
        class_names=("a", "b", "c", "d", "e"),
        plan_names=("p", "q", "r", "s"),
    )
    begun = len(story.log)
    for _ in range(steps):
        story.step()
    data = recording.pack_header(header) + recording.pack_account_page(1, [], last=True)
    for now, event, actions in story.log[begun:]:
        data += recording.pack_entry(now, event, actions)
    path.write_bytes(data)
    return story.log[begun:]


def run_command(*arguments: str) -> tuple[int, str]:
    result = CliRunner().invoke(main, arguments)
    assert result.exception is None or isinstance(result.exception, SystemExit), result.exception
    return result.exit_code, result.output
