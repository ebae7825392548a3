"""All waiting, clocks, randomness and I/O: greenlets over ``select.poll``, or in a simulated world."""

from .errors import Cancelled, Closed, Expired, LoopError, NotConnected
from .lingering import Lingering
from .real import RealWorld
from .scheduler import BACKGROUND, CONTROL, PEERS, REQUESTS, Loop, Process, Scope, Task
from .simulated import Faults, SimWorld
from .world import Address, Datagrams, Listener, Stream, World

__all__ = [
    "BACKGROUND",
    "CONTROL",
    "PEERS",
    "REQUESTS",
    "Address",
    "Cancelled",
    "Closed",
    "Datagrams",
    "Expired",
    "Faults",
    "Lingering",
    "Listener",
    "Loop",
    "LoopError",
    "NotConnected",
    "Process",
    "RealWorld",
    "Scope",
    "SimWorld",
    "Stream",
    "Task",
    "World",
]
