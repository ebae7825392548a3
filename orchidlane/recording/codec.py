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

from orchidlane.policy import interface as api

EVENTS: dict[int, type] = {
    1: api.EndpointListReceived,
    2: api.RequestArrived,
    3: api.QuotaRequested,
    4: api.AttemptEnded,
    5: api.ResponseStreamStarted,
    6: api.ClientDisconnected,
    7: api.TimerFired,
    8: api.HealthCheckEnded,
    9: api.PeerMessageReceived,
    10: api.CounterAnswered,
    11: api.CountRecovered,
    12: api.ReplicaSetChanged,
}
ACTIONS: dict[int, type] = {
    1: api.SendAttempt,
    2: api.CancelAttempt,
    3: api.GrantQuota,
    4: api.RejectRequest,
    5: api.FailRequest,
    6: api.SetTimer,
    7: api.SendPeerMessage,
    8: api.CheckHealth,
    9: api.WatchEndpoints,
    10: api.FetchEndpoints,
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


def _entries(value: Any) -> tuple[api.EndpointEntry, ...]:
    names = _fields(api.EndpointEntry)
    return tuple(
        api.EndpointEntry(
            bytes(one[0]), api.EndpointState(one[1]), *(one[names.index(name)] for name in names[2:])
        )
        for one in value
    )


CONVERTERS: dict[tuple[type, str], Callable[[Any], Any]] = {
    (api.EndpointListReceived, "kind"): _enum(api.EndpointListKind),
    (api.EndpointListReceived, "entries"): _entries,
    (api.AttemptEnded, "outcome"): _enum(api.Outcome),
    (api.AttemptEnded, "load_report"): tuple,
    (api.HealthCheckEnded, "outcome"): _enum(api.Outcome),
    (api.HealthCheckEnded, "load_report"): tuple,
    (api.CounterAnswered, "outcome"): _enum(api.Outcome),
}
_GETTERS = {kind: _getter(kind) for table in (EVENTS, ACTIONS) for kind in table.values()}
_EVENT_NUMBERS = {kind: number for number, kind in EVENTS.items()}
_ACTION_NUMBERS = {kind: number for number, kind in ACTIONS.items()}
_NAMES = {kind: _fields(kind) for kind in _GETTERS}
_ENTRY = _getter(api.EndpointEntry)


def pack_event(event: Any) -> tuple[Any, ...]:
    """An event as plain values."""
    kind = type(event)
    if kind is api.EndpointListReceived:
        entries = [_ENTRY(entry) for entry in event.entries]
        return (_EVENT_NUMBERS[kind], event.kind, event.version, entries)
    return (_EVENT_NUMBERS[kind], *_GETTERS[kind](event))


def pack_action(action: api.Action) -> tuple[Any, ...]:
    """An action as plain values."""
    kind = type(action)
    return (_ACTION_NUMBERS[kind], *_GETTERS[kind](action))


def unpack_event(values: list[Any]) -> api.Event:
    """The event of plain values. Raises FormatError."""
    return _unpack(values, EVENTS)


def unpack_action(values: list[Any]) -> api.Action:
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
