"""RESP2 and RESP3 without I/O: bytes in, values out, and back (specification of the Redis protocol)."""

from orchidlane.resp.codec import Broken, Decoder, Limits, encode
from orchidlane.resp.values import Attributed, Bulk, ErrorReply, Push, SetReply, Simple, Value, Verbatim

__all__ = [
    "Attributed",
    "Broken",
    "Bulk",
    "Decoder",
    "ErrorReply",
    "Limits",
    "Push",
    "SetReply",
    "Simple",
    "Value",
    "Verbatim",
    "encode",
]
