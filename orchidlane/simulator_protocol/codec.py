"""Codec of the simulator's frames: decodes records into the policy's events, encodes its actions as records.

A frame consists of a header, records of a fixed size, and a tail: data of variable length that records refer
to by offset and length. Numbers are little-endian. A record starts with its code, and continues with the
number of the gateway that it is for; a record of endpoint entries has the number of their list instead.
"""

from __future__ import annotations

import enum
import struct
from collections.abc import Callable
from typing import Final, NamedTuple

from orchidlane import policy
from orchidlane.simulator_protocol.errors import ProtocolError
from orchidlane.simulator_protocol.settings_json import parse_settings

FRAME_HEADER = struct.Struct("<IIQ")  # number of records, bytes after the header, time in microseconds
REPLY_HEADER = struct.Struct("<II")  # number of records, bytes after the header
EVENT_BYTES: Final = 48
ACTION_BYTES: Final = 24
# Capacity share, kind, address, zone, start time in microseconds, state, cell
ENDPOINT_ENTRY = struct.Struct("<fB6sBQBH")

IS_RETRY_FLAG: Final = 2  # bit of the flags of an arrived request


class EventCode(enum.IntEnum):
    """Code of an event's record, which is its first byte."""

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
    """Code of an action's record, which is its first byte."""

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


# Layouts of event records, after the code
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

# Layouts of action records, with the code
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

OUTCOME_BY_CODE = {
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
    """A gateway starts."""

    settings: policy.Settings
    seed: int


class StopGateway:
    """A gateway stops at once; its policy is not notified."""


class GatewayEvent(NamedTuple):
    """An event, and the number of the gateway that it is for."""

    gateway: int
    event: StartGateway | StopGateway | policy.Event


class Decoder:
    """Decodes frames; stores the numbered endpoint lists, each of which is sent once for all gateways."""

    def __init__(self) -> None:
        self.endpoint_lists: dict[int, tuple[policy.EndpointEntry, ...]] = {}

    def decode_frame(self, record_count: int, body: bytes) -> list[GatewayEvent]:
        """Return the events of a frame's body in the order of their records. Raises ProtocolError."""
        if len(body) < record_count * EVENT_BYTES:
            raise ProtocolError(f"frame of {len(body)} bytes is too short for {record_count} records")
        tail = body[record_count * EVENT_BYTES :]
        events = []
        for offset in range(0, record_count * EVENT_BYTES, EVENT_BYTES):
            read = _READERS.get(body[offset])
            if read is None:
                raise ProtocolError(f"the code of an event's record must be from 1 to 12, not {body[offset]}")
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
    list_number, entries_offset, entry_count = _ENDPOINT_ENTRIES.unpack_from(body, offset)
    data = _slice_tail(tail, entries_offset, entry_count * ENDPOINT_ENTRY.size)
    entries = []
    for capacity_share, _kind, endpoint, zone, started_at_us, state, cell in ENDPOINT_ENTRY.iter_unpack(data):
        if state > policy.EndpointState.DRAINING.value:
            raise ProtocolError(f"an endpoint's state must be 0, 1 or 2, not {state}")
        entries.append(
            policy.EndpointEntry(
                endpoint, policy.EndpointState(state), zone, cell, started_at_us, capacity_share
            )
        )
    decoder.endpoint_lists[list_number] = tuple(entries)


def _read_endpoint_list(decoder: Decoder, body: bytes, offset: int, _tail: bytes) -> GatewayEvent:
    gateway, kind_code, list_number, version = _ENDPOINT_LIST.unpack_from(body, offset)
    if kind_code > policy.EndpointListKind.FAILED.value:
        raise ProtocolError(f"the kind of an endpoint list must be from 0 to 3, not {kind_code}")
    kind = policy.EndpointListKind(kind_code)
    if kind is policy.EndpointListKind.FAILED:
        return GatewayEvent(gateway, policy.EndpointListReceived(kind, version, ()))
    if list_number not in decoder.endpoint_lists:
        raise ProtocolError(f"endpoint list {list_number} is referred to before its entries were sent")
    entries = decoder.endpoint_lists[list_number]
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
        true_units,
        report_length,
        *load_report,
    ) = fields
    event = policy.AttemptFinished(
        request,
        attempt,
        endpoint,
        _outcome(outcome),
        duration_us,
        final_response_sent=bool(final_response_sent),
        reported_usage=reported_usage,
        true_units=float(true_units),
        load_report=tuple(load_report[:report_length]),
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
    gateway, duration_us, outcome, endpoint, report_length, *load_report = _HEALTH_CHECK_FINISHED.unpack_from(
        body, offset
    )
    event = policy.HealthCheckFinished(
        endpoint, _outcome(outcome), duration_us, tuple(load_report[:report_length])
    )
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
        return OUTCOME_BY_CODE[code]
    except KeyError:
        raise ProtocolError(f"the code of an outcome must be 100 or from 301 to 307, not {code}") from None


class Encoder:
    """Builds one reply frame from actions and failures."""

    def __init__(self) -> None:
        self.records: list[bytes] = []
        self.tail = bytearray()

    def add_action(self, gateway: int, action: policy.Action) -> None:
        """Add an action of a gateway. Raises TypeError if the protocol has no record for it."""
        self._add_record(self._encode_action(gateway, action))

    def add_failure(self, gateway: int, text: str) -> None:
        """Add a record for an exception that a gateway's policy raised; ``text`` describes it."""
        offset = self._append_to_tail(text.encode())
        length = len(self.tail) - offset
        self._add_record(_POLICY_FAILURE.pack(ActionCode.POLICY_FAILURE, gateway, offset, length))

    def encode_reply(self) -> bytes:
        """Return the complete reply frame."""
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
                raise TypeError(f"the simulator's protocol has no record for this action: {action!r}")
