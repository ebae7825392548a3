"""The real backend: the operating system's clock, sockets and files, with ``select.poll``."""

from orchidlane.runtime.real_backend.backend import RealBackend
from orchidlane.runtime.real_backend.stream import RealStream
from orchidlane.runtime.real_backend.wakeup_pipe import WakeupPipe

__all__ = ["RealBackend", "RealStream", "WakeupPipe"]
