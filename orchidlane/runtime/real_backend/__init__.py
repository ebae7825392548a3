"""The operating system's clock, sockets and files, under ``select.poll``."""

from orchidlane.runtime.real_backend.backend import RealBackend, RealStream, WakeupPipe

__all__ = ["RealBackend", "RealStream", "WakeupPipe"]
