"""The capacity of a fake endpoint: shared virtual cores, slow start, and overload while it warms up.

Work is time on virtual cores and uses no CPU: each of ``n`` active requests gets ``min(1, cores / n)`` of a
core. An endpoint that warms up has only a share of its cores.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from typing import Any

from orchidlane.runtime import EventLoop, Task
from orchidlane.simulation.endpoint_spec import EndpointSpec

# Bounds of the time between two updates. The minimum limits how exactly the end of a job is simulated; the
# maximum lets the speed follow a slow start.
MIN_UPDATE_INTERVAL_US = 500
MAX_UPDATE_INTERVAL_US = 50_000
OVERLOAD_TOLERANCE = 1.1  # an endpoint breaks down only beyond the overload limit times this factor


@dataclass(eq=False, slots=True)
class Job:
    """The work of a request that is active or queued; ``remaining_us`` is time on one core."""

    remaining_us: float
    task: Task
    is_done: bool = False
    is_wanted: bool = True


class VirtualCores:
    """Cores that the active jobs share; jobs beyond ``max_active`` are queued."""

    def __init__(self, loop: EventLoop, spec: EndpointSpec) -> None:
        self.loop = loop
        self.spec = spec
        self.active: dict[Job, None] = {}
        self.queue: deque[Job] = deque()
        self._started_at = loop.now()
        self._updated_at = loop.now()
        self._timer: Any = None
        self._arrivals: deque[tuple[int, float]] = deque()  # (time, work_us) within the overload duration
        self._arrived_work = 0.0

    def capacity_share(self) -> float:
        """Return the share of its capacity that the endpoint has reached in its slow start."""
        if not self.spec.slow_start:
            return 1.0
        progress = (self.loop.now() - self._started_at) / self.spec.slow_start_duration_us
        initial_share = self.spec.slow_start_initial_share
        return min(1.0, initial_share + (1 - initial_share) * progress)

    def utilization(self) -> float:
        """Return the share of the cores that are in use."""
        return min(1.0, len(self.active) / self.spec.cores)

    def submit(self, job: Job) -> None:
        """Queue a job; it becomes active at once if fewer than ``max_active`` are."""
        self.queue.append(job)
        self._update()

    def abandon(self, job: Job) -> None:
        """Remove a job that is done or whose client has left."""
        job.is_wanted = False
        if not job.is_done:
            self.active.pop(job, None)

    def is_overloaded_by(self, work_us: float) -> bool:
        """Count arriving work; return whether it overloads an endpoint that is warming up."""
        now, window_us = self.loop.now(), self.spec.overload_duration_us
        self._arrivals.append((now, work_us))
        self._arrived_work += work_us
        while self._arrivals[0][0] < now - window_us:
            self._arrived_work -= self._arrivals.popleft()[1]
        capacity = self.spec.cores * self.capacity_share() * window_us
        limit = self.spec.overload_multiple * capacity * OVERLOAD_TOLERANCE + work_us
        return self.capacity_share() < 1 and self._arrived_work > limit

    def _speed(self) -> float:
        return min(1.0, self.spec.cores * self.capacity_share() / max(1, len(self.active)))

    def _update(self) -> None:
        """Advance all jobs to now, wake tasks whose job is done or becomes active, and set the next timer."""
        now = self.loop.now()
        progress_us = (now - self._updated_at) * self._speed()
        self._updated_at = now
        self._progress(progress_us)
        self._activate()
        if self._timer is not None:
            self.loop.timers.cancel(self._timer)
            self._timer = None
        if self.active:
            next_end_us = min(job.remaining_us for job in self.active) / self._speed()
            delay_us = max(MIN_UPDATE_INTERVAL_US, min(MAX_UPDATE_INTERVAL_US, int(next_end_us) + 1))
            self._timer = self.loop.call_at(now + delay_us, self._on_timer)

    def _progress(self, progress_us: float) -> None:
        for job in list(self.active):
            job.remaining_us -= progress_us
            if job.remaining_us <= 1:
                del self.active[job]
                job.is_done = True
                self.loop.wake(job.task)

    def _activate(self) -> None:
        while self.queue and len(self.active) < self.spec.max_active:
            job = self.queue.popleft()
            if job.is_wanted:
                self.active[job] = None
                self.loop.wake(job.task)

    def _on_timer(self, _: Any) -> None:
        self._timer = None
        self._update()
