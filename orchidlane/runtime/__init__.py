"""The event loop, its tasks, and its backend: the operating system, or a deterministic simulation."""

from orchidlane.runtime.backend import Address, Backend, DatagramSocket, Listener, Stream
from orchidlane.runtime.errors import (
    Cancelled,
    ConnectionClosedError,
    ConnectionFailedError,
    DeadlineExceededError,
    EventLoopError,
)
from orchidlane.runtime.lingering_close import LingeringConnections
from orchidlane.runtime.real_backend import RealBackend
from orchidlane.runtime.scheduler import EventLoop
from orchidlane.runtime.task_group import TaskGroup
from orchidlane.runtime.tasks import BACKGROUND, CONTROL, PEERS, REQUESTS, Process, Task

__all__ = [
    "BACKGROUND",
    "CONTROL",
    "PEERS",
    "REQUESTS",
    "Address",
    "Backend",
    "Cancelled",
    "ConnectionClosedError",
    "ConnectionFailedError",
    "DatagramSocket",
    "DeadlineExceededError",
    "EventLoop",
    "EventLoopError",
    "LingeringConnections",
    "Listener",
    "Process",
    "RealBackend",
    "Stream",
    "Task",
    "TaskGroup",
]
