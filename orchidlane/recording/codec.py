"""Events and actions of the policy as short arrays: a number for the type, then its fields in order.

Rules for changes, so that every later build reads every earlier record: numbers are never reused; fields are
only added, at the end and with a default; a removed field keeps its position. A record with a type or a field
that this build does not know is rejected, since a decision could depend on it.
"""

from __future__ import annotations

import dataclasses
from collections.abc import Callable
from operator import attrgetter
from typing import Any

from orchidlane import policy
from orchidlane.recording.errors import FormatError

EVENT_TYPES: dict[int, type] = {
    1: policy.EndpointListReceived,
    2: policy.RequestArrived,
    3: policy.QuotaRequested,
    4: policy.AttemptFinished,
    5: policy.ResponseStreamStarted,
    6: policy.ClientDisconnected,
    7: policy.TimerFired,
    8: policy.HealthCheckFinished,
    9: policy.PeerMessageReceived,
    10: policy.CounterCallFinished,
    11: policy.CountRecovered,
    12: policy.ReplicaSetChanged,
}
ACTION_TYPES: dict[int, type] = {
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


def _field_names(value_type: type) -> tuple[str, ...]:
    return tuple(field.name for field in dataclasses.fields(value_type))


def _field_getter(value_type: type) -> Callable[[Any], tuple[Any, ...]]:
    names = _field_names(value_type)
    if not names:
        return lambda _: ()
    get = attrgetter(*names)
    if len(names) == 1:
        return lambda value: (get(value),)
    return get


def _endpoint_entry(values: Any) -> policy.EndpointEntry:
    endpoint, state = values[0], values[1]
    rest = [values[position] for position in range(2, len(_ENDPOINT_ENTRY_NAMES))]
    return policy.EndpointEntry(bytes(endpoint), policy.EndpointState(state), *rest)


def _endpoint_entries(rows: Any) -> tuple[policy.EndpointEntry, ...]:
    return tuple(_endpoint_entry(row) for row in rows)


_ENDPOINT_ENTRY_NAMES = _field_names(policy.EndpointEntry)
_ENDPOINT_ENTRY_FIELDS = _field_getter(policy.EndpointEntry)
# Conversions from a stored value to the value of a field, for the fields where the two differ.
_FIELD_CONVERTERS: dict[tuple[type, str], Callable[[Any], Any]] = {
    (policy.EndpointListReceived, "kind"): policy.EndpointListKind,
    (policy.EndpointListReceived, "entries"): _endpoint_entries,
    (policy.AttemptFinished, "outcome"): policy.Outcome,
    (policy.AttemptFinished, "load_report"): tuple,
    (policy.HealthCheckFinished, "outcome"): policy.Outcome,
    (policy.HealthCheckFinished, "load_report"): tuple,
    (policy.CounterCallFinished, "outcome"): policy.Outcome,
}
_EVENT_NUMBERS = {event_type: number for number, event_type in EVENT_TYPES.items()}
_ACTION_NUMBERS = {action_type: number for number, action_type in ACTION_TYPES.items()}
_TYPES = (*EVENT_TYPES.values(), *ACTION_TYPES.values())
_FIELD_GETTERS = {value_type: _field_getter(value_type) for value_type in _TYPES}
_FIELD_NAMES = {value_type: _field_names(value_type) for value_type in _TYPES}


def pack_event(event: Any) -> tuple[Any, ...]:
    """Return an event as plain values: its type number, then its fields."""
    event_type = type(event)
    if event_type is policy.EndpointListReceived:
        entries = [_ENDPOINT_ENTRY_FIELDS(entry) for entry in event.entries]
        return (_EVENT_NUMBERS[event_type], event.kind, event.version, entries)
    return (_EVENT_NUMBERS[event_type], *_FIELD_GETTERS[event_type](event))


def pack_action(action: policy.Action) -> tuple[Any, ...]:
    """Return an action as plain values: its type number, then its fields."""
    action_type = type(action)
    return (_ACTION_NUMBERS[action_type], *_FIELD_GETTERS[action_type](action))


def unpack_event(values: list[Any]) -> policy.Event:
    """Return an event from its plain values. Raises FormatError."""
    event: policy.Event = _unpack(values, EVENT_TYPES)
    return event


def unpack_action(values: list[Any]) -> policy.Action:
    """Return an action from its plain values. Raises FormatError."""
    action: policy.Action = _unpack(values, ACTION_TYPES)
    return action


def _unpack(values: list[Any], types: dict[int, type]) -> Any:
    try:
        value_type = types[values[0]]
    except (KeyError, IndexError, TypeError):
        raise FormatError(
            "the type number of an event or action is missing, or this build does not know it"
        ) from None
    names = _FIELD_NAMES[value_type]
    fields = values[1:]
    if len(fields) > len(names):
        raise FormatError(f"{value_type.__name__} has more fields than this build knows")
    try:
        return value_type(
            *(_convert(value_type, name, value) for name, value in zip(names, fields, strict=False))
        )
    except (TypeError, ValueError, IndexError) as error:
        raise FormatError(f"{value_type.__name__}: {error}") from None


def _convert(value_type: type, name: str, value: Any) -> Any:
    convert = _FIELD_CONVERTERS.get((value_type, name))
    return convert(value) if convert is not None else value
