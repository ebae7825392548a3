"""Events and actions as text for tools: types, fields and enum members under their stored names.

Tools print this text as JSON, so its names are part of the command's output and never change. The tables
below are the one place that maps the names of the code to them.
"""

from __future__ import annotations

import dataclasses
import enum
from typing import Any

from orchidlane import policy

TYPE_NAMES: dict[type, str] = {
    policy.AttemptFinished: "AttemptEnded",
    policy.CounterCallFinished: "CounterAnswered",
    policy.EndpointListReceived: "ServerListed",
    policy.EndpointEntry: "ServerEntry",
    policy.QuotaRequested: "TakeArrived",
    policy.ResponseStreamStarted: "StreamStarted",
    policy.ClientDisconnected: "ClientGone",
    policy.HealthCheckFinished: "ProbeEnded",
    policy.PeerMessageReceived: "PeerMessage",
    policy.CountRecovered: "Counted",
    policy.ReplicaSetChanged: "SetMoved",
    policy.SendAttempt: "Send",
    policy.CancelAttempt: "Cancel",
    policy.GrantQuota: "Grant",
    policy.RejectRequest: "Refuse",
    policy.FailRequest: "Fail",
    policy.SendPeerMessage: "TellPeer",
    policy.CheckHealth: "Probe",
    policy.WatchEndpoints: "AskList",
    policy.FetchEndpoints: "FetchList",
    policy.EndpointState: "Phase",
    policy.EndpointListKind: "ListKind",
}
FIELD_NAMES: dict[str, str] = {
    "endpoint": "server",
    "state": "phase",
    "started_at_us": "launched",
    "capacity_share": "size",
    "request_class": "kind",
    "time_left_us": "time_left",
    "replica_set_start": "set_first",
    "replica_set_size": "set_size",
    "is_retry": "is_repeat",
    "duration_us": "took",
    "final_response_sent": "answered",
    "reported_usage": "use",
    "load_report": "report",
    "timeout_at_us": "give_up_at",
    "retry_after_us": "retry_after",
    "over_quota": "beyond_quota",
    "delay_us": "span",
}
MEMBER_NAMES: dict[enum.Enum, str] = {
    policy.Outcome.ENDPOINT_FULL: "FULL",
    policy.Outcome.CONNECT_FAILED: "NOT_CONNECTED",
    policy.Outcome.CONNECTION_BROKEN: "BROKEN",
    policy.Outcome.NOT_SENT: "NEVER_SENT",
    policy.EndpointListKind.COMPLETE: "WHOLE",
    policy.EndpointListKind.DELTA: "CHANGES",
}


def describe(value: Any) -> str:
    """Return an event, an action or one of their fields as text: a constructor call with stored names."""
    type_name = TYPE_NAMES.get(type(value), type(value).__name__)
    if isinstance(value, enum.Enum):
        member = MEMBER_NAMES.get(value, value.name)
        return f"<{type_name}.{member}: {value.value!r}>"
    if dataclasses.is_dataclass(value):
        names = [field.name for field in dataclasses.fields(value)]
        fields = [f"{FIELD_NAMES.get(name, name)}={describe(getattr(value, name))}" for name in names]
        return f"{type_name}({', '.join(fields)})"
    if isinstance(value, tuple):
        items = [describe(item) for item in value]
        return f"({items[0]},)" if len(items) == 1 else f"({', '.join(items)})"
    return repr(value)
