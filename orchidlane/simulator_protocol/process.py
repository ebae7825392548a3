"""The simulator's process: frames in, one flushed reply to each out, many gateways that share nothing."""

from __future__ import annotations

import sys
from typing import BinaryIO

from orchidlane import policy
from orchidlane.policy.gateway import Gateway
from orchidlane.simulator_protocol import codec
from orchidlane.simulator_protocol.errors import ProtocolError


def serve(source: BinaryIO, sink: BinaryIO) -> None:
    """Answer frames until the input ends. Raises ProtocolError."""
    decoder = codec.Decoder()
    gateways: dict[int, Gateway] = {}
    while first := source.read(1):
        header = first + _read_exactly(source, codec.FRAME_HEADER.size - 1)
        record_count, length, now = codec.FRAME_HEADER.unpack(header)
        events = decoder.decode_frame(record_count, _read_exactly(source, length))
        sink.write(_decide_all(gateways, events, now))
        sink.flush()


def _read_exactly(source: BinaryIO, size: int) -> bytes:
    data = source.read(size)
    if len(data) < size:
        raise ProtocolError(f"input ended within a frame: {len(data)} of {size} bytes")
    return data


def _decide_all(gateways: dict[int, Gateway], events: list[codec.GatewayEvent], now: int) -> bytes:
    """Feed a frame's events to their gateways; return the reply."""
    encoder = codec.Encoder()
    for number, event in events:
        if isinstance(event, codec.StopGateway):
            gateways.pop(number, None)
            continue
        if not isinstance(event, codec.StartGateway) and number not in gateways:
            raise ProtocolError(f"event for gateway {number}, which never started")
        try:
            actions = _decide(gateways, number, event, now)
        except Exception as failure:  # the protocol reports each failure of a decision as a record
            encoder.add_failure(number, f"{type(failure).__name__}: {failure}")
            continue
        for action in actions:
            encoder.add_action(number, action)
    return encoder.encode_reply()


def _decide(
    gateways: dict[int, Gateway], number: int, event: codec.StartGateway | policy.Event, now: int
) -> list[policy.Action]:
    if isinstance(event, codec.StartGateway):
        gateways[number] = Gateway(event.settings, event.seed, now)
        return gateways[number].start()
    return gateways[number].handle(now, event)


def main() -> int:
    """Serve standard input and output; one plain line and exit code 1 where the input is malformed."""
    try:
        serve(sys.stdin.buffer, sys.stdout.buffer)
    except ProtocolError as error:
        print(f"orchidlane: {error}", file=sys.stderr)
        return 1
    except BrokenPipeError:
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
