"""Transfer of the old process's state to the new one: offer, copy while it changes, completion."""

from __future__ import annotations

import msgspec

from orchidlane import recording
from orchidlane.gateway.lifecycle.restart_channel import Channel
from orchidlane.gateway.lifecycle.served_gateway import ServedGateway
from orchidlane.hot_restart import messages
from orchidlane.hot_restart.pre_copy import PreCopy
from orchidlane.hot_restart.tables import AccountsTable, NamedTable, final_policy_state


class StateHandover:
    """Copies the state to at most one channel at a time."""

    def __init__(self, gateway: ServedGateway) -> None:
        self.gateway = gateway
        self._copy: PreCopy | None = None
        self._channel: int | None = None  # number of the channel that receives the copy

    def offer(self, channel: Channel) -> None:
        """Send the sockets, then copy the state while traffic continues. Raises DeadlineExceededError."""
        self._send_offer(channel)
        limits = self.gateway.limit_service
        copy = PreCopy(
            [
                AccountsTable(self.gateway.policy_driver.gateway),
                NamedTable("tokens", limits.token_owner),
                NamedTable("grants", limits.grants),
            ]
        )
        self._channel = channel.number
        self._copy = copy
        while self._copy is copy and (page := copy.next_page()) is not None:
            channel.send(messages.TableRows(*page))
            channel.flush()
            self.gateway.loop.yield_to_others()
        if self._copy is copy:
            channel.send(messages.CopyComplete())

    def _send_offer(self, channel: Channel) -> None:
        gateway = self.gateway
        channel.send(
            messages.Offer(
                recording.build_name(),
                gateway.loop.backend.clock_base(),
                gateway.incarnation,
                gateway.configuration.generation.number,
                gateway.sockets.names,
            )
        )
        for name in gateway.sockets.names:
            channel.send(messages.InheritedSocket(name), gateway.sockets[name].duplicate())

    def cancel(self, channel: int) -> None:
        """Cancel the copy if this channel receives it."""
        if self._copy is not None and channel == self._channel:
            self._copy.close()
            self._copy = None

    def copy_changes(self, channel: Channel) -> PreCopy:
        """Copy the rows that have changed since they were sent, until few are left, and return the copy.

        Raises DeadlineExceededError.
        """
        copy = self._copy
        assert copy is not None
        copy.allow_more_rounds()
        while (page := copy.next_page()) is not None:
            channel.send(messages.TableRows(*page))
            channel.flush()
        return copy

    def complete(self, channel: Channel, copy: PreCopy) -> None:
        """Send the rest of the state without yielding to other tasks."""
        gateway = self.gateway
        for page in copy.final_pages():
            channel.send(messages.TableRows(*page))
        self._copy = None
        channel.send(
            messages.FinalState(
                policy_state=final_policy_state(gateway.policy_driver.gateway),
                limits=gateway.limit_service.dump_state(),
                endpoints=msgspec.to_builtins(gateway.tracker.export_state()),
                peers=[list(row) for row in gateway.inbox.peer_rows()],
                datagram_sequence=gateway.sequence,
                last_request_id=gateway.policy_driver.last_request_number,
                class_names=gateway.configuration.generation.class_names,
            )
        )
