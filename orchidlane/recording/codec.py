"""The module's events and actions as short arrays: a number for the type, then its fields in order.
 Rules for change, so that every later build reads every earlier record: numbers are never used again;
fields are only added, at the end and with a default; a field that goes keeps its place. A record with a
type or a field that this build does not know is refused, since a decision could hang on it.
"""

from __future__ import annotations

import dataclasses
import enum
from collections.abc import Callable
from operator import attrgetter
from typing import Any

from orchidlane import policy

EVENTS: dict[int, type] = {
    1: policy.EndpointListReceived,
    2: policy.RequestArrived,
    3: policy.QuotaRequested,
    4: policy.AttemptEnded,
    5: policy.ResponseStreamStarted,
    6: policy.ClientDisconnected,
    7: policy.TimerFired,
    8: policy.HealthCheckEnded,
    9: policy.PeerMessageReceived,
    10: policy.CounterAnswered,
    11: policy.CountRecovered,
    12: policy.ReplicaSetChanged,
}
ACTIONS: dict[int, type] = {
    1: policy.SendAttempt,
    2: policy.CancelAttempt,
    3: policy.GrantQuota,
    4: policy.RejectRequest,
    5: policy.FailRequest,
    6: policy.SetTimer,
    7: policy.SendPeerMessage,
    8: policy.CheckHealth,
    9: policy.WatchEndpoints,
    10: policy.FetchEndpoints,
}


class FormatError(Exception):
    """Bytes that this build can't read: broken, or of a format that it does not know."""


def _fields(kind: type) -> tuple[str, ...]:
    return tuple(field.name for field in dataclasses.fields(kind))


def _getter(kind: type) -> Callable[[Any], tuple[Any, ...]]:
    names = _fields(kind)
    if not names:
        return lambda _: ()
    get = attrgetter(*names)
    return (lambda value: (get(value),)) if len(names) == 1 else get


def _enum(kind: type[enum.Enum]) -> Callable[[Any], Any]:
    return kind


def _entries(value: Any) -> tuple[policy.EndpointEntry, ...]:
    names = _fields(policy.EndpointEntry)
    return tuple(
        policy.EndpointEntry(
            bytes(one[0]), policy.EndpointState(one[1]), *(one[names.index(name)] for name in names[2:])
        )
        for one in value
    )


CONVERTERS: dict[tuple[type, str], Callable[[Any], Any]] = {
    (policy.EndpointListReceived, "kind"): _enum(policy.EndpointListKind),
    (policy.EndpointListReceived, "entries"): _entries,
    (policy.AttemptEnded, "outcome"): _enum(policy.Outcome),
    (policy.AttemptEnded, "load_report"): tuple,
    (policy.HealthCheckEnded, "outcome"): _enum(policy.Outcome),
    (policy.HealthCheckEnded, "load_report"): tuple,
    (policy.CounterAnswered, "outcome"): _enum(policy.Outcome),
}
_GETTERS = {kind: _getter(kind) for table in (EVENTS, ACTIONS) for kind in table.values()}
_EVENT_NUMBERS = {kind: number for number, kind in EVENTS.items()}
_ACTION_NUMBERS = {kind: number for number, kind in ACTIONS.items()}
_NAMES = {kind: _fields(kind) for kind in _GETTERS}
_ENTRY = _getter(policy.EndpointEntry)


def pack_event(event: Any) -> tuple[Any, ...]:
    """An event as plain values."""
    kind = type(event)
    if kind is policy.EndpointListReceived:
        entries = [_ENTRY(entry) for entry in event.entries]
        return (_EVENT_NUMBERS[kind], event.kind, event.version, entries)
    return (_EVENT_NUMBERS[kind], *_GETTERS[kind](event))


def pack_action(action: policy.Action) -> tuple[Any, ...]:
    """An action as plain values."""
    kind = type(action)
    return (_ACTION_NUMBERS[kind], *_GETTERS[kind](action))


def unpack_event(values: list[Any]) -> policy.Event:
    """The event of plain values. Raises FormatError."""
    return _unpack(values, EVENTS)


def unpack_action(values: list[Any]) -> policy.Action:
    """The action of plain values. Raises FormatError."""
    return _unpack(values, ACTIONS)


def _unpack(values: list[Any], table: dict[int, type]) -> Any:
    try:
        kind = table[values[0]]
    except (KeyError, IndexError, TypeError):
        raise FormatError("an event or action of a later build") from None
    names, given = _NAMES[kind], values[1:]
    if len(given) > len(names):
        raise FormatError(f"{kind.__name__} has fields of a later build")
    try:
        made = [
            CONVERTERS[kind, name](value) if (kind, name) in CONVERTERS else value
            for name, value in zip(names, given, strict=False)
        ]
        return kind(*made)
    except (TypeError, ValueError, IndexError) as wrong:
        raise FormatError(f"{kind.__name__}: {wrong}") from None
