"""Decoder and encoder of RESP2 and RESP3, without I/O (specification of the Redis protocol)."""

from orchidlane.resp.decoder import Decoder
from orchidlane.resp.encoder import encode
from orchidlane.resp.errors import ProtocolError
from orchidlane.resp.limits import Limits
from orchidlane.resp.values import (
    AttributedValue,
    ErrorReply,
    Push,
    SetReply,
    SimpleString,
    Value,
    VerbatimString,
)

__all__ = [
    "AttributedValue",
    "Decoder",
    "ErrorReply",
    "Limits",
    "ProtocolError",
    "Push",
    "SetReply",
    "SimpleString",
    "Value",
    "VerbatimString",
    "encode",
]
