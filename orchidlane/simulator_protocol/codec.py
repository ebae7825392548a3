"""Codec of the simulator's frames: records to the policy's events, and its actions to records.

A frame is a header, records of one size, and a tail that records refer to by offset and length. Numbers are
little-endian. A record begins with its code and, but for endpoint entries, the number of a gateway.
"""

from __future__ import annotations

import enum
import struct
from collections.abc import Callable
from typing import Final, NamedTuple

from orchidlane import policy
from orchidlane.simulator_protocol.errors import ProtocolError
from orchidlane.simulator_protocol.settings_json import parse_settings

FRAME_HEADER = struct.Struct("<IIQ")  # number of records, bytes behind the header, clock in microseconds
REPLY_HEADER = struct.Struct("<II")  # number of records, bytes behind the header
EVENT_BYTES: Final = 48
ACTION_BYTES: Final = 24
ENDPOINT_ENTRY = struct.Struct("<fB6sBQBH")

IS_RETRY_FLAG: Final = 2


class EventCode(enum.IntEnum):
    """First byte of a record of an event."""

    TIMER_FIRED = 1
    PEER_MESSAGE = 2
    CLIENT_DISCONNECTED = 3
    STREAM_STARTED = 4
    REQUEST_ARRIVED = 5
    ATTEMPT_FINISHED = 6
    GATEWAY_STARTED = 7
    GATEWAY_STOPPED = 8
    ENDPOINT_LIST = 9
    COUNTER_CALL_FINISHED = 10
    HEALTH_CHECK_FINISHED = 11
    ENDPOINT_ENTRIES = 12


class ActionCode(enum.IntEnum):
    """First byte of a record of an action."""

    SEND_ATTEMPT = 65
    REJECT_REQUEST = 66
    FAIL_REQUEST = 67
    CANCEL_ATTEMPT = 68
    SET_TIMER = 69
    CHECK_HEALTH = 70
    SEND_PEER_MESSAGE = 72
    POLICY_FAILURE = 74
    WATCH_ENDPOINTS = 75
    FETCH_ENDPOINTS = 76


# Fields of events behind their code
_GATEWAY_STARTED = struct.Struct("<HQII")
_GATEWAY_STOPPED = struct.Struct("<H")
_ENDPOINT_ENTRIES = struct.Struct("<HII")
_ENDPOINT_LIST = struct.Struct("<HBHQ")
_REQUEST_ARRIVED = struct.Struct("<HIBHQIfffH")
_ATTEMPT_FINISHED = struct.Struct("<HIH6sHIBHHB4f")
_STREAM_STARTED = struct.Struct("<HIH6sI")
_CLIENT_DISCONNECTED = struct.Struct("<HI")
_TIMER_FIRED = struct.Struct("<HQ")
_PEER_MESSAGE = struct.Struct("<HHII")
_HEALTH_CHECK_FINISHED = struct.Struct("<HIH6sB4f")
_COUNTER_CALL_FINISHED = struct.Struct("<HfIHQ")

# Fields of actions with their code
_SEND_ATTEMPT = struct.Struct("<BHI6sQ")
_REJECT_REQUEST = struct.Struct("<BHII")
_FAIL_REQUEST = struct.Struct("<BHI")
_CANCEL_ATTEMPT = struct.Struct("<BHIH")
_SET_TIMER = struct.Struct("<BHIQ")
_CHECK_HEALTH = struct.Struct("<BH6s")
_SEND_PEER_MESSAGE = struct.Struct("<BHHII")
_POLICY_FAILURE = struct.Struct("<BHII")
_WATCH_ENDPOINTS = struct.Struct("<BHB")
_FETCH_ENDPOINTS = struct.Struct("<BH")

OUTCOMES = {
    100: policy.Outcome.SERVED,
    301: policy.Outcome.ERROR,
    302: policy.Outcome.ENDPOINT_FULL,
    303: policy.Outcome.TIMED_OUT,
    304: policy.Outcome.CONNECT_FAILED,
    305: policy.Outcome.CONNECTION_BROKEN,
    306: policy.Outcome.CANCELLED,
    307: policy.Outcome.NOT_SENT,
}


class StartGateway(NamedTuple):
    """A gateway comes up."""

    settings: policy.Settings
    seed: int


class StopGateway:
    """A gateway is gone without warning."""


class GatewayEvent(NamedTuple):
    """What happens to one gateway of the process."""

    gateway: int
    event: StartGateway | StopGateway | policy.Event


class Decoder:
    """Decodes frames; keeps the numbered endpoint lists, which are sent once for all gateways."""

    def __init__(self) -> None:
        self.endpoint_lists: dict[int, tuple[policy.EndpointEntry, ...]] = {}

    def decode_frame(self, record_count: int, body: bytes) -> list[GatewayEvent]:
        """Return the events of a frame's body, in their order. Raises ProtocolError."""
        if len(body) < record_count * EVENT_BYTES:
            raise ProtocolError(f"frame of {len(body)} bytes is too short for {record_count} records")
        tail = body[record_count * EVENT_BYTES :]
        events = []
        for offset in range(0, record_count * EVENT_BYTES, EVENT_BYTES):
            read = _READERS.get(body[offset])
            if read is None:
                raise ProtocolError(f"unknown record code {body[offset]}")
            event = read(self, body, offset + 1, tail)
            if event is not None:
                events.append(event)
        return events


Reader = Callable[[Decoder, bytes, int, bytes], GatewayEvent | None]


def _read_gateway_started(_decoder: Decoder, body: bytes, offset: int, tail: bytes) -> GatewayEvent:
    gateway, seed, text_offset, length = _GATEWAY_STARTED.unpack_from(body, offset)
    settings = parse_settings(_slice_tail(tail, text_offset, length))
    return GatewayEvent(gateway, StartGateway(settings, seed))


def _read_gateway_stopped(_decoder: Decoder, body: bytes, offset: int, _tail: bytes) -> GatewayEvent:
    (gateway,) = _GATEWAY_STOPPED.unpack_from(body, offset)
    return GatewayEvent(gateway, StopGateway())


def _read_endpoint_entries(decoder: Decoder, body: bytes, offset: int, tail: bytes) -> None:
    number, entries_offset, count = _ENDPOINT_ENTRIES.unpack_from(body, offset)
    raw = _slice_tail(tail, entries_offset, count * ENDPOINT_ENTRY.size)
    entries = []
    for capacity_share, _kind, endpoint, zone, started_at_us, state, cell in ENDPOINT_ENTRY.iter_unpack(raw):
        if state > policy.EndpointState.DRAINING.value:
            raise ProtocolError(f"unknown phase {state}")
        entries.append(
            policy.EndpointEntry(
                endpoint, policy.EndpointState(state), zone, cell, started_at_us, capacity_share
            )
        )
    decoder.endpoint_lists[number] = tuple(entries)


def _read_endpoint_list(decoder: Decoder, body: bytes, offset: int, _tail: bytes) -> GatewayEvent:
    gateway, kind_code, number, version = _ENDPOINT_LIST.unpack_from(body, offset)
    if kind_code > policy.EndpointListKind.FAILED.value:
        raise ProtocolError(f"unknown kind of list {kind_code}")
    kind = policy.EndpointListKind(kind_code)
    if kind is policy.EndpointListKind.FAILED:
        return GatewayEvent(gateway, policy.EndpointListReceived(kind, version, ()))
    if number not in decoder.endpoint_lists:
        raise ProtocolError(f"list {number} was never sent")
    entries = decoder.endpoint_lists[number]
    return GatewayEvent(gateway, policy.EndpointListReceived(kind, version, entries))


def _read_request_arrived(_decoder: Decoder, body: bytes, offset: int, _tail: bytes) -> GatewayEvent:
    fields = _REQUEST_ARRIVED.unpack_from(body, offset)
    gateway, request, request_class, plan, customer, time_left_us, units, set_size, set_start, flags = fields
    event = policy.RequestArrived(
        request,
        customer,
        plan,
        request_class,
        units,
        time_left_us,
        replica_set_start=int(set_start),
        replica_set_size=int(set_size),
        is_retry=bool(flags & IS_RETRY_FLAG),
    )
    return GatewayEvent(gateway, event)


def _read_attempt_finished(_decoder: Decoder, body: bytes, offset: int, _tail: bytes) -> GatewayEvent:
    fields = _ATTEMPT_FINISHED.unpack_from(body, offset)
    (
        gateway,
        request,
        attempt,
        endpoint,
        outcome,
        duration_us,
        final_response_sent,
        reported_usage,
        units,
        count,
        *report,
    ) = fields
    event = policy.AttemptFinished(
        request,
        attempt,
        endpoint,
        _outcome(outcome),
        duration_us,
        final_response_sent=bool(final_response_sent),
        reported_usage=reported_usage,
        true_units=float(units),
        load_report=tuple(report[:count]),
    )
    return GatewayEvent(gateway, event)


def _read_stream_started(_decoder: Decoder, body: bytes, offset: int, _tail: bytes) -> GatewayEvent:
    gateway, request, attempt, endpoint, duration_us = _STREAM_STARTED.unpack_from(body, offset)
    return GatewayEvent(gateway, policy.ResponseStreamStarted(request, attempt, endpoint, duration_us))


def _read_client_disconnected(_decoder: Decoder, body: bytes, offset: int, _tail: bytes) -> GatewayEvent:
    gateway, request = _CLIENT_DISCONNECTED.unpack_from(body, offset)
    return GatewayEvent(gateway, policy.ClientDisconnected(request))


def _read_timer_fired(_decoder: Decoder, body: bytes, offset: int, _tail: bytes) -> GatewayEvent:
    gateway, token = _TIMER_FIRED.unpack_from(body, offset)
    return GatewayEvent(gateway, policy.TimerFired(token))


def _read_peer_message(_decoder: Decoder, body: bytes, offset: int, tail: bytes) -> GatewayEvent:
    gateway, sender, message_offset, length = _PEER_MESSAGE.unpack_from(body, offset)
    message = _slice_tail(tail, message_offset, length)
    return GatewayEvent(gateway, policy.PeerMessageReceived(sender, message))


def _read_health_check_finished(_decoder: Decoder, body: bytes, offset: int, _tail: bytes) -> GatewayEvent:
    gateway, duration_us, outcome, endpoint, count, *report = _HEALTH_CHECK_FINISHED.unpack_from(body, offset)
    event = policy.HealthCheckFinished(endpoint, _outcome(outcome), duration_us, tuple(report[:count]))
    return GatewayEvent(gateway, event)


def _read_counter_call_finished(_decoder: Decoder, body: bytes, offset: int, _tail: bytes) -> GatewayEvent:
    gateway, value, duration_us, outcome, name = _COUNTER_CALL_FINISHED.unpack_from(body, offset)
    return GatewayEvent(gateway, policy.CounterCallFinished(name, _outcome(outcome), value, duration_us))


_READERS: dict[int, Reader] = {
    EventCode.TIMER_FIRED: _read_timer_fired,
    EventCode.PEER_MESSAGE: _read_peer_message,
    EventCode.CLIENT_DISCONNECTED: _read_client_disconnected,
    EventCode.STREAM_STARTED: _read_stream_started,
    EventCode.REQUEST_ARRIVED: _read_request_arrived,
    EventCode.ATTEMPT_FINISHED: _read_attempt_finished,
    EventCode.GATEWAY_STARTED: _read_gateway_started,
    EventCode.GATEWAY_STOPPED: _read_gateway_stopped,
    EventCode.ENDPOINT_LIST: _read_endpoint_list,
    EventCode.COUNTER_CALL_FINISHED: _read_counter_call_finished,
    EventCode.HEALTH_CHECK_FINISHED: _read_health_check_finished,
    EventCode.ENDPOINT_ENTRIES: _read_endpoint_entries,
}


def _slice_tail(tail: bytes, offset: int, length: int) -> bytes:
    if offset + length > len(tail):
        raise ProtocolError(f"offset {offset} with length {length} lies outside a tail of {len(tail)} bytes")
    return tail[offset : offset + length]


def _outcome(code: int) -> policy.Outcome:
    try:
        return OUTCOMES[code]
    except KeyError:
        raise ProtocolError(f"unknown outcome {code}") from None


class Encoder:
    """Collects the actions of one reply."""

    def __init__(self) -> None:
        self.records: list[bytes] = []
        self.tail = bytearray()

    def add_action(self, gateway: int, action: policy.Action) -> None:
        """Add one action of one gateway. Raises TypeError where the protocol has no record for it."""
        self._add_record(self._encode_action(gateway, action))

    def add_failure(self, gateway: int, text: str) -> None:
        """Report that a gateway's decision raised an exception."""
        offset = self._append_to_tail(text.encode())
        length = len(self.tail) - offset
        self._add_record(_POLICY_FAILURE.pack(ActionCode.POLICY_FAILURE, gateway, offset, length))

    def encode_reply(self) -> bytes:
        """Return the whole reply frame."""
        body = b"".join(self.records) + self.tail
        return REPLY_HEADER.pack(len(self.records), len(body)) + body

    def _add_record(self, record: bytes) -> None:
        self.records.append(record.ljust(ACTION_BYTES, b"\0"))

    def _append_to_tail(self, data: bytes) -> int:
        offset = len(self.tail)
        self.tail += data
        return offset

    def _encode_action(self, gateway: int, action: policy.Action) -> bytes:
        code = ActionCode
        match action:
            case policy.SendAttempt():
                return _SEND_ATTEMPT.pack(
                    code.SEND_ATTEMPT, gateway, action.request, action.endpoint, action.timeout_at_us
                )
            case policy.RejectRequest():
                return _REJECT_REQUEST.pack(
                    code.REJECT_REQUEST, gateway, action.request, action.retry_after_us
                )
            case policy.FailRequest():
                return _FAIL_REQUEST.pack(code.FAIL_REQUEST, gateway, action.request)
            case policy.CancelAttempt():
                return _CANCEL_ATTEMPT.pack(code.CANCEL_ATTEMPT, gateway, action.request, action.attempt)
            case policy.SetTimer():
                return _SET_TIMER.pack(code.SET_TIMER, gateway, action.delay_us, action.token)
            case policy.SendPeerMessage():
                offset = self._append_to_tail(action.body)
                length = len(action.body)
                return _SEND_PEER_MESSAGE.pack(code.SEND_PEER_MESSAGE, gateway, action.peer, offset, length)
            case policy.CheckHealth():
                return _CHECK_HEALTH.pack(code.CHECK_HEALTH, gateway, action.endpoint)
            case policy.WatchEndpoints():
                return _WATCH_ENDPOINTS.pack(code.WATCH_ENDPOINTS, gateway, 1)
            case policy.FetchEndpoints():
                return _FETCH_ENDPOINTS.pack(code.FETCH_ENDPOINTS, gateway)
            case _:
                raise TypeError(f"no action of the protocol: {action!r}")
