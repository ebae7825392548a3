"""Frames: u32 length, u32 CRC-32 of the body, body; little-endian.

Traffic segments and the messages of a hot restart consist of frames.
"""

from __future__ import annotations

import struct
import zlib

FRAME_HEADER = struct.Struct("<II")
MAX_FRAME_BYTES = 1 << 30
MAX_SCAN_BYTES = 64 << 20  # read after a damaged frame to find intact ones


def encode_frame(body: bytes) -> bytes:
    """Return a body as a frame."""
    return FRAME_HEADER.pack(len(body), zlib.crc32(body)) + body


def count_frames_after(path: str, offset: int) -> int:
    """Count the intact frames after a damaged one at ``offset`` in bytes, to report how many were not read.

    After a write that a crash interrupted there are none. The next frame is found by the damaged one's length
    or, where the length itself is damaged, by searching for a frame that matches its checksum. The frames are
    not decoded.
    """
    with open(path, "rb") as file:
        file.seek(offset)
        data = file.read(MAX_SCAN_BYTES)
    position = _first_intact_frame(data)
    frames = 0
    while _is_intact_frame(data, position):
        frames += 1
        position += FRAME_HEADER.size + FRAME_HEADER.unpack_from(data, position)[0]
    return frames


def _first_intact_frame(data: bytes) -> int:
    """Return the position of the first intact frame after the damaged one, or the end of the data."""
    length = FRAME_HEADER.unpack_from(data)[0] if len(data) >= FRAME_HEADER.size else 0
    position = FRAME_HEADER.size + length
    if _is_intact_frame(data, position):
        return position
    return next((start for start in range(1, len(data)) if _is_intact_frame(data, start)), len(data))


def _is_intact_frame(data: bytes, position: int) -> bool:
    """Return whether a complete frame with a body of at least one byte starts at ``position``."""
    if position + FRAME_HEADER.size > len(data):
        return False
    length, checksum = FRAME_HEADER.unpack_from(data, position)
    start = position + FRAME_HEADER.size
    if not 0 < length <= len(data) - start:
        return False
    return zlib.crc32(data[start : start + length]) == checksum
