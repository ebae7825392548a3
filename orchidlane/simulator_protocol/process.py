"""The program that the simulator starts: reads frames, and writes and flushes one reply to each.

It runs the policies of many gateways, which share no state.
"""

from __future__ import annotations

import sys
from typing import BinaryIO

from orchidlane import policy
from orchidlane.policy.gateway import Gateway
from orchidlane.simulator_protocol import codec
from orchidlane.simulator_protocol.errors import ProtocolError


def serve(source: BinaryIO, sink: BinaryIO) -> None:
    """Reply to each frame until the input ends. Raises ProtocolError."""
    decoder = codec.Decoder()
    gateways: dict[int, Gateway] = {}
    while first_byte := source.read(1):
        header = first_byte + _read_exactly(source, codec.FRAME_HEADER.size - 1)
        record_count, body_length, now = codec.FRAME_HEADER.unpack(header)
        events = decoder.decode_frame(record_count, _read_exactly(source, body_length))
        sink.write(_handle_events(gateways, events, now))
        sink.flush()


def _read_exactly(source: BinaryIO, size: int) -> bytes:
    data = source.read(size)
    if len(data) < size:
        raise ProtocolError(f"the input ended within a frame, after {len(data)} of {size} bytes")
    return data


def _handle_events(gateways: dict[int, Gateway], events: list[codec.GatewayEvent], now: int) -> bytes:
    """Pass a frame's events to the policies of their gateways, and return the reply frame."""
    encoder = codec.Encoder()
    for number, event in events:
        if isinstance(event, codec.StopGateway):
            gateways.pop(number, None)
            continue
        if not isinstance(event, codec.StartGateway) and number not in gateways:
            raise ProtocolError(f"event for gateway {number}, which is not running")
        try:
            actions = _handle_event(gateways, number, event, now)
        except Exception as failure:  # the protocol has a record for any failure of a policy
            encoder.add_failure(number, f"{type(failure).__name__}: {failure}")
            continue
        for action in actions:
            encoder.add_action(number, action)
    return encoder.encode_reply()


def _handle_event(
    gateways: dict[int, Gateway], number: int, event: codec.StartGateway | policy.Event, now: int
) -> list[policy.Action]:
    if isinstance(event, codec.StartGateway):
        gateways[number] = Gateway(event.settings, event.seed, now)
        return gateways[number].start()
    return gateways[number].handle(now, event)


def main() -> int:
    """Serve standard input and output; on malformed input, print one line and return exit code 1."""
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
