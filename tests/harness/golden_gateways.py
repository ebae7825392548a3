"""Golden values of node lists, hot restarts, rolls and messages between gateways."""

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
from orchidlane.hot_restart.probation import AnswerCounts
from orchidlane.limits import GrantOutcome


def golden_node_list() -> bytes:
    """A line of the watch for nodes, as a discovery service writes it."""
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
    """The list of nodes as one gateway knows it."""
    tracker = endpoint_list.EndpointListTracker("z1", 100)
    tracker.apply_line(golden_node_list())
    return tracker


def golden_roll(phase: rolling_upgrade.Phase) -> StoredRoll:
    """A roll's state in some phase, with one gateway in each place."""
    ones = [
        rolling_upgrade.GatewayState(
            place,
            4_000 + number,
            START_US + number,
            2,
            AnswerCounts(900, 30, 4),
            3_000 + number,
            True,
            "done",
            True,
        )
        for number, place in enumerate(rolling_upgrade.GatewayPhase)
    ]
    state = rolling_upgrade.RollState(
        ones, phase, START_US + 99, True, 4, [3, 1, 2], "gateway-2: it serves less"
    )
    names = [f"gateway-{number}" for number in range(len(ones))]
    return StoredRoll(
        names, ("orchidlane-old serve", "orchidlane-new serve"), [1.5, 2.5, 3.5, 0.5, 9.0], state
    )


def golden_limits_carried() -> dict[str, Any]:
    """What a successor is told of takes, tokens and reservations, beside the tables' rows."""
    return {
        "life": START_US - 1_000_000,
        "numbers": START_US - 999_000,
        "sure_from": START_US - 500_000,
        "credits": [[7, 2.5, START_US + 60_000_000]],
        "answered": [[1, 55, b"an answer told before"]],
    }


def golden_rows() -> dict[str, list[Any]]:
    """Rows of each table that a successor is told of."""
    ends = [outcome.value for outcome in GrantOutcome]
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
            [b"grant-%d" % number, 7, 2.5, START_US + 6_000_000, True, end]
            for number, end in enumerate(["", *ends])
        ],
    }


def golden_peers() -> list[Any]:
    """What came of each peer: rank, incarnation, latest number, which of those before it came."""
    return [[1, START_US - 70, 900, bytes(range(128))], [2, START_US - 60, 800, bytes(range(127, -1, -1))]]


def golden_restart_messages() -> dict[str, Any]:
    """One of each message of a hot restart; every field is other than its default."""
    told = restart_messages
    return {
        "hello": told.Hello(1, BUILD, "gateway-1", 1, 3, PLAN_NAMES),
        "warm": told.Ready(),
        "started": told.Started(),
        "pulse": told.Heartbeat(900, 30, 4, 5_000, 6_000),
        "unfit": told.Failure("its settings are another fleet's"),
        "taken": told.UnitsReply(55, True),
        "heard": told.PeerReply(2, b"\x01an answer"),
        "count": told.CustomerCount(7, 2, 1, 3, 15_900, 3.25),
        "reading": told.ReadStarted(81),
        "began": told.RequestStarted(82),
        "answering": told.ResponseStarted(83),
        "idle": told.ConnectionIdle(84, True, b"GET / HT", (3, b"client", False)),
        "opened": told.ConnectionOpened(85, "resp"),
        "ended": told.ConnectionClosed(86),
        "took": told.ConnectionAdopted(87, True),
        "returned": told.ServingStopped(),
        "offer": told.Offer(BUILD, START_US, START_US - 1_000_000, 4, ("http", "resp", "peers")),
        "place": told.InheritedSocket("http"),
        "rows of accounts": told.TableRows("accounts", golden_rows()["accounts"], [8, 9]),
        "rows of tokens": told.TableRows("tokens", golden_rows()["tokens"], [b"token-2"]),
        "rows of grants": told.TableRows("grants", golden_rows()["grants"], [b"grant-9"]),
        "whole": told.CopyComplete(),
        "final": told.FinalState(
            msgspec.structs.replace(golden_state(), accounts=[]),
            golden_limits_carried(),
            msgspec.to_builtins(golden_tracker().export_state()),
            golden_peers(),
            5_000,
            6_000,
            CLASS_NAMES,
        ),
        "connection": told.ConnectionHandover(
            88, "resp", b"*1\r\n", START_US - 30, START_US - 20, (3, b"client", False)
        ),
        "take": told.UnitsRequest(56, 7, 2, 1, 2.5, 1, 3),
        "tell": told.SendDatagram(2, b"\x02a datagram's body"),
        "granted": told.GrantRecorded(b"grant-1", 7, 2.5, 60_000_000),
        "abort": told.Abort("it does not read"),
        "recall": told.Reclaim("it serves less"),
        "release": told.Release(),
        "ask": told.StatusRequest(),
        "status": told.Status("trial", BUILD, 4_001, "done", 900, 30, 4),
    }


def golden_limit_messages() -> dict[str, Any]:
    """One of each message of the limits between gateways."""
    return {
        "question": token_messages.TokenQuery(55, 1, b"token-1", 7, 66, 2.5),
        "reply": token_messages.TokenReply(55, 2, 1, 2.5, "done before"),
    }
