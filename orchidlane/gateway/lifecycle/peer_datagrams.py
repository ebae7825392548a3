"""Datagrams between the gateways of a fleet: sends them, and dispatches received ones by kind."""

from __future__ import annotations

from typing import Protocol

from orchidlane import policy
from orchidlane.gateway.control.settings import FleetSettings
from orchidlane.gateway.control.settings_loader import parse_host_port
from orchidlane.gateway.forwarding.policy_driver import PolicyDriver
from orchidlane.gateway.lifecycle.sockets import PEER, GatewaySockets
from orchidlane.gateway.peers.datagrams import MAX_DATAGRAM_BYTES, DatagramKind, Inbox, encode_datagram
from orchidlane.gateway.peers.token_requests import LimitService
from orchidlane.gateway.rollout_agent.agent import RolloutAgent
from orchidlane.gateway.telemetry.metrics import MetricsPage
from orchidlane.runtime import EventLoop


class DatagramGateway(Protocol):
    """Attributes of the gateway process that the datagram exchange uses."""

    loop: EventLoop
    fleet: FleetSettings
    rank: int
    secret: bytes
    incarnation: int
    sequence: int
    superseded: bool
    sockets: GatewaySockets
    inbox: Inbox
    metrics: MetricsPage
    policy_driver: PolicyDriver
    limit_service: LimitService
    rollout_agent: RolloutAgent | None


class PeerDatagrams:
    """Sends and receives the datagrams of one gateway."""

    def __init__(self, gateway: DatagramGateway) -> None:
        self._gateway = gateway
        self._addresses = [parse_host_port(entry.peer) for entry in gateway.fleet.gateways]  # by rank

    def send(self, rank: int, body: bytes, kind: int = DatagramKind.POLICY) -> None:
        """Send a datagram to a peer, unless another process serves in place of this one."""
        gateway = self._gateway
        if gateway.superseded:
            return
        gateway.sequence += 1
        gateway.metrics.datagrams_sent += 1
        datagram = encode_datagram(
            gateway.secret, gateway.rank, rank, gateway.incarnation, gateway.sequence, body, kind
        )
        gateway.sockets[PEER].send(datagram, self._addresses[rank])

    def receive_all(self) -> None:
        """Receive datagrams until the task is cancelled."""
        gateway = self._gateway
        socket = gateway.sockets[PEER]
        while True:
            data, _ = socket.recv()
            accepted = gateway.inbox.accept(gateway.loop.now(), data[: MAX_DATAGRAM_BYTES + 1])
            if accepted is not None:
                gateway.metrics.datagrams_received += 1
                self._dispatch(*accepted)

    def _dispatch(self, kind: int, sender: int, body: bytes) -> None:
        gateway = self._gateway
        if kind == DatagramKind.POLICY:
            gateway.policy_driver.feed(policy.PeerMessageReceived(sender, body))
        elif kind == DatagramKind.ROLLOUT and gateway.rollout_agent is not None:
            gateway.rollout_agent.receive(sender, body)
        else:
            gateway.limit_service.receive(sender, body)
