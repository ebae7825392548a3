"""The operating system's clock, sockets and files, under ``select.poll``."""

from orchidlane.runtime.real_backend.backend import RealBackend
from orchidlane.runtime.real_backend.stream import RealStream
from orchidlane.runtime.real_backend.wakeup_pipe import WakeupPipe

__all__ = ["RealBackend", "RealStream", "WakeupPipe"]
