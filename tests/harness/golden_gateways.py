"""Golden values of endpoint lists, rolling upgrades, hot restarts and messages between gateways."""

from __future__ import annotations

import json
from typing import Any

import msgspec

from harness.golden_policy import BUILD, CLASS_NAMES, PLAN_NAMES, golden_state
from harness.policy_harness import START_US
from orchidlane.gateway.control import endpoint_list
from orchidlane.gateway.lifecycle.rolling_upgrade import StoredRoll
from orchidlane.gateway.peers import token_messages
from orchidlane.hot_restart import messages as restart_messages
from orchidlane.hot_restart import rolling_upgrade
from orchidlane.hot_restart.probation import ResponseCounts
from orchidlane.limits import GrantOutcome


def golden_endpoint_list_line() -> bytes:
    """Return a line of an endpoint watch, as a discovery service sends it."""
    nodes = [
        {"address": "10.0.0.1:80", "phase": "ready", "zone": "z1", "cell": "c1", "launched": 55, "size": 1.5},
        {
            "address": "10.0.0.2:80",
            "phase": "draining",
            "zone": "z2",
            "cell": "c2",
            "launched": 66,
            "size": 2,
        },
    ]
    line = {"kind": "whole", "epoch": "epoch-1", "version": 12, "nodes": nodes}
    return json.dumps(line).encode()


def golden_tracker() -> endpoint_list.EndpointListTracker:
    """Return a tracker to which the golden line is applied."""
    tracker = endpoint_list.EndpointListTracker("z1", 100)
    tracker.apply_line(golden_endpoint_list_line())
    return tracker


def golden_roll(phase: rolling_upgrade.Phase) -> StoredRoll:
    """Return a rolling upgrade in ``phase``, with one gateway in each of the gateways' phases."""
    gateways = [
        rolling_upgrade.GatewayState(
            gateway_phase,
            4_000 + number,
            START_US + number,
            2,
            ResponseCounts(900, 30, 4),
            3_000 + number,
            True,
            "done",
            True,
        )
        for number, gateway_phase in enumerate(rolling_upgrade.GatewayPhase)
    ]
    state = rolling_upgrade.RollState(
        gateways, phase, START_US + 99, True, 4, [3, 1, 2], "gateway-2: it serves less"
    )
    names = [f"gateway-{number}" for number in range(len(gateways))]
    return StoredRoll(
        names, ("orchidlane-old serve", "orchidlane-new serve"), [1.5, 2.5, 3.5, 0.5, 9.0], state
    )


def golden_limits_state() -> dict[str, Any]:
    """Return the state of tokens and grants that a new process receives besides the rows of tables."""
    return {
        "life": START_US - 1_000_000,
        "numbers": START_US - 999_000,
        "sure_from": START_US - 500_000,
        "credits": [[7, 2.5, START_US + 60_000_000]],
        "answered": [[1, 55, b"an answer told before"]],
    }


def golden_table_rows() -> dict[str, list[Any]]:
    """Return rows of each table that the old process sends to the new process."""
    outcomes = [outcome.value for outcome in GrantOutcome]
    return {
        "accounts": [
            [
                *(
                    7,
                    [2, 1, 3],
                    24.5,
                    START_US - 40,
                    [[0, 15_900, 3.25], [2, 15_950, 4.5]],
                    7.75,
                    9.25,
                    [2, 0],
                ),
                *(False, 2, [START_US - 9, START_US - 5], START_US - 3, 5.5, 1.5, True),
            ]
        ],
        "tokens": [[b"token-1", 1, 55, START_US + 5_000_000, True, 2.5]],
        "grants": [
            [b"grant-%d" % number, 7, 2.5, START_US + 6_000_000, True, outcome]
            for number, outcome in enumerate(["", *outcomes])
        ],
    }


def golden_peers() -> list[Any]:
    """Return each peer's rank, incarnation, last sequence number, and bits of earlier numbers received."""
    return [[1, START_US - 70, 900, bytes(range(128))], [2, START_US - 60, 800, bytes(range(127, -1, -1))]]


def golden_restart_messages() -> dict[str, Any]:
    """Return one message of each type of a hot restart; no field has its default value."""
    return {**_messages_of_new_process(), **_messages_of_old_process()}


def _messages_of_new_process() -> dict[str, Any]:
    return {
        "hello": restart_messages.Hello(1, BUILD, "gateway-1", 1, 3, PLAN_NAMES),
        "warm": restart_messages.Ready(),
        "started": restart_messages.Started(),
        "pulse": restart_messages.Heartbeat(900, 30, 4, 5_000, 6_000),
        "unfit": restart_messages.Failure("its settings are another fleet's"),
        "taken": restart_messages.UnitsReply(55, True),
        "heard": restart_messages.PeerReply(2, b"\x01an answer"),
        "count": restart_messages.CustomerCount(7, 2, 1, 3, 15_900, 3.25),
        "reading": restart_messages.ReadStarted(81),
        "began": restart_messages.RequestStarted(82),
        "answering": restart_messages.ResponseStarted(83),
        "idle": restart_messages.ConnectionIdle(84, True, b"GET / HT", (3, b"client", False)),
        "opened": restart_messages.ConnectionOpened(85, "resp"),
        "ended": restart_messages.ConnectionClosed(86),
        "took": restart_messages.ConnectionAdopted(87, True),
        "returned": restart_messages.ServingStopped(),
    }


def _messages_of_old_process() -> dict[str, Any]:
    table_rows = golden_table_rows()
    return {
        "offer": restart_messages.Offer(BUILD, START_US, START_US - 1_000_000, 4, ("http", "resp", "peers")),
        "place": restart_messages.InheritedSocket("http"),
        "rows of accounts": restart_messages.TableRows("accounts", table_rows["accounts"], [8, 9]),
        "rows of tokens": restart_messages.TableRows("tokens", table_rows["tokens"], [b"token-2"]),
        "rows of grants": restart_messages.TableRows("grants", table_rows["grants"], [b"grant-9"]),
        "whole": restart_messages.CopyComplete(),
        "final": restart_messages.FinalState(
            msgspec.structs.replace(golden_state(), accounts=[]),
            golden_limits_state(),
            msgspec.to_builtins(golden_tracker().export_state()),
            golden_peers(),
            5_000,
            6_000,
            CLASS_NAMES,
        ),
        "connection": restart_messages.ConnectionHandover(
            88, "resp", b"*1\r\n", START_US - 30, START_US - 20, (3, b"client", False)
        ),
        "take": restart_messages.UnitsRequest(56, 7, 2, 1, 2.5, 1, 3),
        "tell": restart_messages.SendDatagram(2, b"\x02a datagram's body"),
        "granted": restart_messages.GrantRecorded(b"grant-1", 7, 2.5, 60_000_000),
        "abort": restart_messages.Abort("it does not read"),
        "recall": restart_messages.Reclaim("it serves less"),
        "release": restart_messages.Release(),
        "ask": restart_messages.StatusRequest(),
        "status": restart_messages.Status("trial", BUILD, 4_001, "done", 900, 30, 4),
    }


def golden_token_messages() -> dict[str, Any]:
    """Return one message of each type of token requests between gateways."""
    return {
        "question": token_messages.TokenQuery(55, 1, b"token-1", 7, 66, 2.5),
        "reply": token_messages.TokenReply(55, 2, 1, 2.5, "done before"),
    }
