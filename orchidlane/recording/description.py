"""Events and actions as text for tools: types, fields and enum members under their stored names.

Tools print this text as JSON, so its names are part of the command's output and stay what they were when the
first of these records was read. The tables below are the one place that maps the names of the code to them.
"""

from __future__ import annotations

import dataclasses
import enum
from typing import Any

from orchidlane.policy import interface as api

TYPE_NAMES: dict[type, str] = {
    api.EndpointListReceived: "ServerListed",
    api.EndpointEntry: "ServerEntry",
    api.QuotaRequested: "TakeArrived",
    api.ResponseStreamStarted: "StreamStarted",
    api.ClientDisconnected: "ClientGone",
    api.HealthCheckEnded: "ProbeEnded",
    api.PeerMessageReceived: "PeerMessage",
    api.CountRecovered: "Counted",
    api.ReplicaSetChanged: "SetMoved",
    api.SendAttempt: "Send",
    api.CancelAttempt: "Cancel",
    api.GrantQuota: "Grant",
    api.RejectRequest: "Refuse",
    api.FailRequest: "Fail",
    api.SendPeerMessage: "TellPeer",
    api.CheckHealth: "Probe",
    api.WatchEndpoints: "AskList",
    api.FetchEndpoints: "FetchList",
    api.EndpointState: "Phase",
    api.EndpointListKind: "ListKind",
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
    "load_report": "report",
    "timeout_at_us": "give_up_at",
    "retry_after_us": "retry_after",
    "over_quota": "beyond_quota",
    "delay_us": "span",
}
MEMBER_NAMES: dict[enum.Enum, str] = {
    api.Outcome.ENDPOINT_FULL: "FULL",
    api.Outcome.CONNECT_FAILED: "NOT_CONNECTED",
    api.Outcome.CONNECTION_BROKEN: "BROKEN",
    api.Outcome.NOT_SENT: "NEVER_SENT",
    api.EndpointListKind.COMPLETE: "WHOLE",
    api.EndpointListKind.DELTA: "CHANGES",
}


def describe(value: Any) -> str:
    """An event, an action or one of their fields as text, like a constructor call with stored names."""
    kind = type(value)
    if isinstance(value, enum.Enum):
        member = MEMBER_NAMES.get(value, value.name)
        return f"<{TYPE_NAMES.get(kind, kind.__name__)}.{member}: {value.value!r}>"
    if dataclasses.is_dataclass(value):
        fields = [field.name for field in dataclasses.fields(value)]
        texts = [f"{FIELD_NAMES.get(name, name)}={describe(getattr(value, name))}" for name in fields]
        return f"{TYPE_NAMES.get(kind, kind.__name__)}({', '.join(texts)})"
    if isinstance(value, tuple):
        items = [describe(item) for item in value]
        return f"({items[0]},)" if len(items) == 1 else f"({', '.join(items)})"
    return repr(value)
