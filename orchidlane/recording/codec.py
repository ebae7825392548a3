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
    1: api.ServerListed,
    2: api.RequestArrived,
    3: api.TakeArrived,
    4: api.AttemptEnded,
    5: api.StreamStarted,
    6: api.ClientGone,
    7: api.TimerFired,
    8: api.ProbeEnded,
    9: api.PeerMessage,
    10: api.CounterAnswered,
    11: api.Counted,
    12: api.SetMoved,
}
ACTIONS: dict[int, type] = {
    1: api.Send,
    2: api.Cancel,
    3: api.Grant,
    4: api.Refuse,
    5: api.Fail,
    6: api.SetTimer,
    7: api.TellPeer,
    8: api.Probe,
    9: api.AskList,
    10: api.FetchList,
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


def _entries(value: Any) -> tuple[api.ServerEntry, ...]:
    names = _fields(api.ServerEntry)
    return tuple(
        api.ServerEntry(bytes(one[0]), api.Phase(one[1]), *(one[names.index(name)] for name in names[2:]))
        for one in value
    )


CONVERTERS: dict[tuple[type, str], Callable[[Any], Any]] = {
    (api.ServerListed, "kind"): _enum(api.ListKind),
    (api.ServerListed, "entries"): _entries,
    (api.AttemptEnded, "outcome"): _enum(api.Outcome),
    (api.AttemptEnded, "report"): tuple,
    (api.ProbeEnded, "outcome"): _enum(api.Outcome),
    (api.ProbeEnded, "report"): tuple,
    (api.CounterAnswered, "outcome"): _enum(api.Outcome),
}
_GETTERS = {kind: _getter(kind) for table in (EVENTS, ACTIONS) for kind in table.values()}
_EVENT_NUMBERS = {kind: number for number, kind in EVENTS.items()}
_ACTION_NUMBERS = {kind: number for number, kind in ACTIONS.items()}
_NAMES = {kind: _fields(kind) for kind in _GETTERS}
_ENTRY = _getter(api.ServerEntry)


def pack_event(event: Any) -> tuple[Any, ...]:
    """An event as plain values."""
    kind = type(event)
    if kind is api.ServerListed:
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
