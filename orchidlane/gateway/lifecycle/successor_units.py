"""Requests units from the new process, for requests that the old process still has in progress."""

from __future__ import annotations

from dataclasses import dataclass

from orchidlane.gateway.forwarding.call import QuotaOwner
from orchidlane.gateway.lifecycle.restart_channel import Channel
from orchidlane.hot_restart import messages
from orchidlane.runtime import DeadlineExceededError, Task

UNITS_TIMEOUT_US = 1_000_000
NO_RESERVATION = -1  # in ``GrantRecorded.reserved_us``


@dataclass
class PendingUnitsRequest:
    """A task that waits for a units reply."""

    task: Task
    granted: bool | None = None


class NewProcessUnits:
    """The new process's policy and grants, as the old process uses them after the handover."""

    def __init__(self, channel: Channel) -> None:
        self.channel = channel
        self.pending: dict[int, PendingUnitsRequest] = {}
        self._last_request_id = 0

    def take(self, customer: QuotaOwner, units: float, class_index: int) -> bool:
        """Request units and wait; without a reply in time they are not granted (see ``RemoteQuota``)."""
        loop = self.channel.loop
        task = loop.current
        assert task is not None
        self._last_request_id += 1
        request_id = self._last_request_id
        pending = PendingUnitsRequest(task)
        self.pending[request_id] = pending
        self.channel.send(
            messages.UnitsRequest(
                request_id,
                customer.number,
                customer.plan,
                class_index,
                units,
                customer.replica_set_start,
                customer.replica_set_size,
            )
        )
        deadline = loop.now() + UNITS_TIMEOUT_US
        try:
            while pending.granted is None and not self.channel.closed:
                loop.park(deadline)
        except DeadlineExceededError:
            pass
        finally:
            del self.pending[request_id]
        return bool(pending.granted)

    def receive_reply(self, reply: messages.UnitsReply) -> None:
        """Wake the task that waits for this reply."""
        pending = self.pending.get(reply.request_id)
        if pending is None:
            return
        if pending.granted is None:
            pending.granted = reply.granted
        self.channel.loop.wake(pending.task)

    def add_grant(self, name: bytes, customer: int, units: float, reserved_for_us: int | None) -> None:
        """Forward a grant to the new process (see ``token_requests.NewProcessGrants``)."""
        reserved_us = NO_RESERVATION if reserved_for_us is None else reserved_for_us
        self.channel.send(messages.GrantRecorded(name, customer, units, reserved_us))

    def send_datagram(self, rank: int, body: bytes) -> None:
        """Have the new process sign a datagram and send it to a peer."""
        self.channel.send(messages.SendDatagram(rank, body))
