"""Records of what endpoints, clients and discovery observe on their sockets: the only input of the audit.

Records are stored as JSON lines; the classes here map tags and keys of the files to names. Times are
microseconds of the backend's clock.
"""

from __future__ import annotations

import enum

import msgspec

# Files of a run that is saved to a folder, in addition to the records of its endpoints
CLIENT_RECORDS_FILE = "clients.records"
LIMITS_FILE = "terms.json"
RECORD_FILES = "*.records"

# Headers that identify a client's request and attempt at the endpoint
REQUEST_HEADER = b"lab-request"
ATTEMPT_HEADER = b"lab-try"


class AttemptOutcome(enum.StrEnum):
    """The outcome of a client's attempt."""

    ANSWERED = "answer"
    TRUNCATED = "cut"
    RESET = "reset"
    TIMED_OUT = "silence"
    CLIENT_LEFT = "left"
    UNREACHABLE = "unreachable"


class QuotaOutcome(enum.StrEnum):
    """The outcome of an attempt to obtain quota."""

    GRANTED = "granted"
    REJECTED = "refused"
    ERROR = "error"
    TIMED_OUT = "silence"
    RESET = "reset"
    UNREACHABLE = "unreachable"


class OutageReason(enum.Enum):
    """Why a process did not serve."""

    KILLED = "killed"
    DRAINED = "drained"
    FROZEN = "still"


class Arrival(msgspec.Struct, frozen=True, tag="arrival"):
    """An endpoint read the head of a gateway's attempt."""

    at: int
    endpoint: str = msgspec.field(name="node")
    gateway: str
    attempt: str
    request: str  # name of the client's request, the same in all its attempts
    client_attempt: str = msgspec.field(name="attempt_of")
    customer: int
    units: float


class Execution(msgspec.Struct, frozen=True, tag="run"):
    """An endpoint executed a request, with its effect if it has one."""

    at: int
    endpoint: str = msgspec.field(name="node")
    cell: str
    request: str
    client_attempt: str = msgspec.field(name="attempt_of")
    idempotency_key: str = msgspec.field(name="key")
    class_name: str


class EndpointOverload(msgspec.Struct, frozen=True, tag="fell"):
    """An endpoint that was warming up broke down under its load."""

    at: int
    endpoint: str = msgspec.field(name="node")


class EndpointNotice(msgspec.Struct, frozen=True, tag="told"):
    """Discovery notified a gateway of an endpoint's state."""

    at: int
    gateway: str
    endpoint: str = msgspec.field(name="node")
    state: str = msgspec.field(name="phase")


class ClientAttempt(msgspec.Struct, frozen=True, tag="try"):
    """One attempt of an HTTP client."""

    at: int
    give_up_at: int = msgspec.field(name="by")
    finished_at: int = msgspec.field(name="ended")
    gateway: str
    request: str
    name: str
    class_name: str
    customer: int
    outcome: AttemptOutcome = msgspec.field(name="end")
    status: int = 0
    # whether the response calls a retry safe
    is_safe_to_retry: bool = msgspec.field(name="harmless", default=False)
    extra_bytes: int = msgspec.field(name="extra", default=0)  # data after the response
    version: str = ""  # of the rules that the gateway applied, if the response has it


class QuotaAttempt(msgspec.Struct, frozen=True, tag="take"):
    """One attempt of a service to obtain quota over RESP."""

    at: int
    give_up_at: int = msgspec.field(name="by")
    finished_at: int = msgspec.field(name="ended")
    gateway: str
    name: str  # the same in all attempts of a request; its idempotency token
    customer: int
    units: float
    outcome: QuotaOutcome = msgspec.field(name="end")
    extra_bytes: int = msgspec.field(name="extra")


class UnexpectedData(msgspec.Struct, frozen=True, tag="extra"):
    """A client's idle connection received data that belongs to no attempt; ``name`` is its last attempt."""

    name: str


class Outage(msgspec.Struct, frozen=True, tag="away"):
    """A gateway or endpoint was killed, drained or suspended during this time."""

    process: str = msgspec.field(name="who")
    began_at: int = msgspec.field(name="begin")
    ended_at: int = msgspec.field(name="end")
    reason: OutageReason = msgspec.field(name="why")


Record = (
    Arrival
    | Execution
    | EndpointOverload
    | EndpointNotice
    | ClientAttempt
    | QuotaAttempt
    | UnexpectedData
    | Outage
)


def encode(record: Record) -> bytes:
    """Return a record as one line of JSON."""
    return msgspec.json.encode(record) + b"\n"


def decode(data: bytes) -> list[Record]:
    """Return the records of all complete lines; a killed process may leave the last line incomplete.

    Raises msgspec.DecodeError.
    """
    lines = data.split(b"\n")[:-1]
    return [msgspec.json.decode(line, type=Record) for line in lines]
