"""Queries to other gateways: datagrams that are resent until the reply arrives or the query times out.

Replies are cached, so that a query gets the same reply however often it arrives. A query to the local gateway
gets its reply directly, without a datagram.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass, field

import msgspec

from orchidlane.gateway.control.settings import QuotaSettings
from orchidlane.gateway.peers.token_messages import TokenQuery, TokenReply
from orchidlane.runtime import DeadlineExceededError, EventLoop, Task

QUERY_IDS_PER_PROCESS = 1 << 32  # after a hot restart, the new process skips this many ids
MAX_CACHED_REPLIES = 4_096


@dataclass(slots=True)
class _PendingQuery:
    """A query without a reply so far, and the task that waits for it."""

    task: Task
    replies: list[TokenReply] = field(default_factory=list)


class QueryExchange:
    """Sends one gateway's queries, and replies to those of other gateways by ``make_reply``."""

    def __init__(
        self,
        loop: EventLoop,
        replica: int,
        settings: QuotaSettings,
        send: Callable[[int, bytes], None],
        make_reply: Callable[[int, TokenQuery], TokenReply],
    ) -> None:
        # Receives replies to queries of another process of this gateway, during a hot restart.
        self.on_foreign_reply: Callable[[int, bytes], None] | None = None
        # Ids start at the clock's time, so that late replies to an earlier incarnation match none of them.
        self.last_id = loop.now()
        self._loop = loop
        self._replica = replica
        self._settings = settings
        self._send = send
        self._make_reply = make_reply
        self._pending: dict[int, _PendingQuery] = {}
        self._cached_replies: OrderedDict[tuple[int, int], bytes] = OrderedDict()  # by sender and query

    def next_id(self) -> int:
        """Return a query id that this process has not used."""
        self.last_id += 1
        return self.last_id

    def query(
        self,
        replicas: list[int],
        query: TokenQuery,
        sufficient_replies: int | None = None,
        send_to_self: bool = False,
    ) -> dict[int, TokenReply | None]:
        """Query several gateways at the same time; the reply is None for those that do not reply in time.

        With ``sufficient_replies`` the wait ends once that many replies have arrived. With ``send_to_self`` a
        query to this gateway is sent as a datagram too, because another process replies for this gateway.
        """
        task = self._loop.current
        assert task is not None
        missing: dict[int, int] = {}
        replies: dict[int, TokenReply | None] = {}
        for replica in replicas:
            numbered = msgspec.structs.replace(query, id=self.next_id())
            if replica == self._replica and not send_to_self:
                replies[replica] = self._make_reply(self._replica, numbered)
            else:
                missing[replica] = numbered.id
                self._pending[numbered.id] = _PendingQuery(task)
                self._send(replica, msgspec.msgpack.encode(numbered))
        try:
            self._wait(query, missing, replies, sufficient_replies)
        finally:
            for query_id in missing.values():
                self._pending.pop(query_id, None)
        return replies | dict.fromkeys(missing)

    def _wait(
        self,
        query: TokenQuery,
        missing: dict[int, int],
        replies: dict[int, TokenReply | None],
        sufficient_replies: int | None,
    ) -> None:
        """Collect replies until they suffice or time runs out; resend the queries without a reply."""
        give_up_at = self._loop.now() + self._settings.peer_reply_timeout_us
        resend_at = self._loop.now() + self._settings.retry_delay_us
        while self._collect(missing, replies) and (
            sufficient_replies is None or len(replies) < sufficient_replies
        ):
            if self._loop.now() >= give_up_at:
                return
            try:
                self._loop.park(min(give_up_at, resend_at))
            except DeadlineExceededError:
                resend_at = self._loop.now() + self._settings.retry_delay_us
                for replica, query_id in missing.items():
                    numbered = msgspec.structs.replace(query, id=query_id)
                    self._send(replica, msgspec.msgpack.encode(numbered))

    def _collect(self, missing: dict[int, int], replies: dict[int, TokenReply | None]) -> bool:
        """Move arrived replies to ``replies``; return whether some are still missing."""
        for replica, query_id in list(missing.items()):
            arrived = self._pending[query_id].replies
            if arrived:
                replies[replica] = arrived[0]
                del missing[replica]
                del self._pending[query_id]
        return bool(missing)

    def receive(self, sender: int, body: bytes) -> None:
        """Handle a datagram of another gateway: a query, or a reply to a query of this gateway."""
        try:
            message = msgspec.msgpack.decode(body, type=TokenQuery | TokenReply)
        except (msgspec.DecodeError, UnicodeDecodeError):
            return
        match message:
            case TokenReply():
                self._receive_reply(sender, message, body)
            case TokenQuery():
                self._send(sender, self._cached_reply(sender, message))

    def _receive_reply(self, sender: int, reply: TokenReply, body: bytes) -> None:
        pending = self._pending.get(reply.id)
        if pending is not None:
            pending.replies.append(reply)
            self._loop.wake(pending.task)
        elif self.on_foreign_reply is not None:
            self.on_foreign_reply(sender, body)

    def _cached_reply(self, sender: int, query: TokenQuery) -> bytes:
        """Return the encoded reply to a query, which is the same one however often the query arrives."""
        reply = self._cached_replies.get((sender, query.id))
        if reply is None:
            reply = msgspec.msgpack.encode(self._make_reply(sender, query))
            self._cached_replies[sender, query.id] = reply
            if len(self._cached_replies) > MAX_CACHED_REPLIES:
                self._cached_replies.popitem(last=False)
        return reply

    # Hot restart

    def cached_reply_rows(self) -> list[tuple[int, int, bytes]]:
        """Return the cached replies as plain values."""
        return [(*key, reply) for key, reply in self._cached_replies.items()]

    def load_cached_replies(self, rows: list[tuple[int, int, bytes]]) -> None:
        """Load the cached replies of another process of this gateway."""
        self._cached_replies = OrderedDict(((sender, query_id), reply) for sender, query_id, reply in rows)
