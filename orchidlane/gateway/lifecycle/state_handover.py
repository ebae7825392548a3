"""The old process's state on its way to the new one: offered, copied while it changes, then completed."""

from __future__ import annotations

import msgspec

from orchidlane import recording
from orchidlane.gateway.lifecycle.restart_channel import Channel
from orchidlane.gateway.lifecycle.served_gateway import ServedGateway
from orchidlane.hot_restart import messages
from orchidlane.hot_restart.pre_copy import PreCopy
from orchidlane.hot_restart.tables import AccountsTable, NamedTable, final_policy_state


class StateHandover:
    """The copy that goes to one channel at a time."""

    def __init__(self, gateway: ServedGateway) -> None:
        self.gateway = gateway
        self._copy: PreCopy | None = None
        self._channel: int | None = None  # that the copy goes to

    def offer(self, channel: Channel) -> None:
        """Pass the sockets, then copy the state while traffic goes on. Raises DeadlineExceededError."""
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
        """Drop the copy if it goes to this channel."""
        if self._copy is not None and channel == self._channel:
            self._copy.close()
            self._copy = None

    def copy_changes(self, channel: Channel) -> PreCopy:
        """Copy what changed since, until little is left, and return the copy.

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
        """Send all that is left, without giving way."""
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
