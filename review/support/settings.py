"""Settings of a small deployment, in the form that the simulator's first message has."""

from __future__ import annotations

from typing import Any

ZONE = "hall-a"
PLAN = {
    "beyondEarns": 0.0,
    "capDepth": 0.0,
    "capSlack": 0.0,
    "hardRate": 0.0,
    "open": 0,
    "overrunCost": 1.0,
    "pays": 1.0,
}


REQUEST_CLASS = {"group": "all", "credit": 3.0, "dedupWindow": 5_000_000, "lateWorth": 0.0, "stream": False}


def shared_hosting(gateways: int) -> dict[str, Any]:
    """Return settings of a calm day at shared-hosting; the quotas are wide, so that they reject nothing."""
    return {
        "balancers": gateways,
        "callers": {"marksRetry": True},
        "charges": {"peer": 0.01, "probe": 0.01, "waste": 0.03, "crossZone": 0.01, "lateFail": 0.05},
        "classes": [
            {
                **REQUEST_CLASS,
                "name": "sheet-read",
                "effect": "repeatable",
                "target": 800_000,
                "deadline": 2_000_000,
            },
            {
                **REQUEST_CLASS,
                "name": "test-upload",
                "effect": "by_key",
                "group": "cell",
                "target": 1_200_000,
                "deadline": 5_000_000,
            },
            {
                **REQUEST_CLASS,
                "name": "report-issue",
                "effect": "once",
                "target": 800_000,
                "deadline": 2_500_000,
            },
        ],
        "discovery": "pushed",
        "familyInfo": {
            "costAfter": False,
            "countFee": 0.0,
            "countLimit": 0,
            "peerIntake": 40.0,
            "sharedCounter": False,
            "unitsTop": 1,
            "usePeriod": 0,
        },
        "goal": {"whole": 0.55, "worstClass": 0.0, "worstTenant": 0.25, "worstWindow": 0.2},
        "kinds": ["std-2core"],
        "layers": ["matdb-nodes"],
        "loadReport": {"how": "inline", "names": ["util", "latency_ms", "inflight"]},
        "locality": 0,
        "packages": [{**PLAN, "name": "basico", "perSecond": 1.0, "peakUnits": 5.0}],
        "permissions": {
            "cancel": True,
            "connectTimeout": 250_000,
            "cpuUsPerRequest": 0.0,
            "cpuUsPerS": 400_000,
            "idleClose": 30_000_000,
            "maxAttempts": 4,
            "maxRetryAfter": 1_000_000,
            "openCap": 20_000,
            "peers": True,
            "probes": True,
            "retryAfter": True,
            "secondCopies": True,
            "streamsPerConn": 32,
        },
        "rank": 0,
        "resolution": 2_000,
        "rules": {
            "answerSlack": 8_000,
            "askWithin": 10_000_000,
            "coldFrom": 0.23,
            "drainGrace": 1_000_000,
            "fallMultiple": 3.0,
            "overloadFor": 3_000_000,
            "warmWithin": 18_000_000,
        },
        "serviceType": "gate",
        "tier": 0,
        "weightSource": "off",
        "zones": [ZONE],
    }


def kingston_main(gateways: int) -> dict[str, Any]:
    """Return settings of a calm day at kingston-main, where the grace of drains is half a second."""
    settings = shared_hosting(gateways)
    return {
        **settings,
        "classes": [
            {
                **REQUEST_CLASS,
                "name": "status-check",
                "effect": "repeatable",
                "target": 300_000,
                "deadline": 750_000,
            },
        ],
        "kinds": ["small-2core"],
        "layers": ["send-fleet"],
        "loadReport": {"how": "inline", "names": ["inflight", "queue"]},
        "packages": [{**PLAN, "name": "starter", "perSecond": 1.8, "peakUnits": 8.0}],
        "permissions": {
            **settings["permissions"],
            "maxAttempts": 3,
            "maxRetryAfter": 500_000,
            "secondCopies": False,
        },
        "rules": {
            **settings["rules"],
            "coldFrom": 0.18,
            "drainGrace": 500_000,
            "overloadFor": 1_500_000,
        },
    }
