"""All waiting, clocks, randomness and I/O: greenlets over ``select.poll``, or in a simulated world."""

from orchidlane.runtime.backend import Address, Datagrams, Listener, Stream, World
from orchidlane.runtime.errors import Cancelled, Closed, Expired, LoopError, NotConnected
from orchidlane.runtime.lingering_close import Lingering
from orchidlane.runtime.real_backend import RealWorld
from orchidlane.runtime.scheduler import Loop, Scope
from orchidlane.runtime.simulated_backend import Faults, SimWorld
from orchidlane.runtime.tasks import BACKGROUND, CONTROL, PEERS, REQUESTS, Process, Task

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
