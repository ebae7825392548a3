"""Queries to other gateways by datagrams that are sent again until they are answered.

Every query has the same reply however often it arrives. Queries to this gateway take the same way without a
socket.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass, field

import msgspec

from orchidlane.gateway.control.settings import QuotaSettings
from orchidlane.gateway.peers.token_messages import TokenQuery, TokenReply
from orchidlane.runtime import DeadlineExceededError, EventLoop, Task

QUERY_IDS_PER_PROCESS = 1 << 32  # between the queries of a process and those of its successor
MAX_CACHED_REPLIES = 4_096


@dataclass(slots=True)
class _PendingQuery:
    """A query that waits for its reply, and the task that asked."""

    task: Task
    replies: list[TokenReply] = field(default_factory=list)


class QueryExchange:
    """Sends one gateway's queries, and answers those of the others by ``answer``."""

    def __init__(
        self,
        loop: EventLoop,
        replica: int,
        terms: QuotaSettings,
        send: Callable[[int, bytes], None],
        answer: Callable[[int, TokenQuery], TokenReply],
    ) -> None:
        self.on_foreign_reply: Callable[[int, bytes], None] | None = None  # gets replies to other processes
        # A later incarnation asks under other ids, and does not get replies to the earlier one.
        self.last_id = loop.now()
        self._loop = loop
        self._replica = replica
        self._terms = terms
        self._send = send
        self._answer = answer
        self._pending: dict[int, _PendingQuery] = {}
        self._cached_replies: OrderedDict[tuple[int, int], bytes] = OrderedDict()  # by sender and query

    def next_id(self) -> int:
        """Return an id that this process has not used."""
        self.last_id += 1
        return self.last_id

    def query(
        self,
        replicas: list[int],
        query: TokenQuery,
        enough: int | None = None,
        query_self_by_peer: bool = False,
    ) -> dict[int, TokenReply | None]:
        """Ask several gateways at once; None for those that do not answer in time.

        With ``enough`` the wait ends at so many replies. With ``query_self_by_peer`` a query to this replica
        is sent like any other, as another process answers for it.
        """
        task = self._loop.current
        assert task is not None
        unanswered: dict[int, int] = {}
        replies: dict[int, TokenReply | None] = {}
        for replica in replicas:
            numbered = msgspec.structs.replace(query, id=self.next_id())
            if replica == self._replica and not query_self_by_peer:
                replies[replica] = self._answer(self._replica, numbered)
            else:
                unanswered[replica] = numbered.id
                self._pending[numbered.id] = _PendingQuery(task)
                self._send(replica, msgspec.msgpack.encode(numbered))
        try:
            self._wait(query, unanswered, replies, enough)
        finally:
            for query_id in unanswered.values():
                self._pending.pop(query_id, None)
        return replies | dict.fromkeys(unanswered)

    def _wait(
        self,
        query: TokenQuery,
        unanswered: dict[int, int],
        replies: dict[int, TokenReply | None],
        enough: int | None,
    ) -> None:
        """Wait for replies and move them over, sending queries again meanwhile."""
        give_up_at = self._loop.now() + self._terms.peer_reply_timeout_us
        resend_at = self._loop.now() + self._terms.retry_delay_us
        while self._collect(unanswered, replies) and (enough is None or len(replies) < enough):
            if self._loop.now() >= give_up_at:
                return
            try:
                self._loop.park(min(give_up_at, resend_at))
            except DeadlineExceededError:
                resend_at = self._loop.now() + self._terms.retry_delay_us
                for replica, query_id in unanswered.items():
                    numbered = msgspec.structs.replace(query, id=query_id)
                    self._send(replica, msgspec.msgpack.encode(numbered))

    def _collect(self, unanswered: dict[int, int], replies: dict[int, TokenReply | None]) -> bool:
        """Move replies that arrived over; return whether some are still missing."""
        for replica, query_id in list(unanswered.items()):
            arrived = self._pending[query_id].replies
            if arrived:
                replies[replica] = arrived[0]
                del unanswered[replica]
                del self._pending[query_id]
        return bool(unanswered)

    def receive(self, sender: int, body: bytes) -> None:
        """Take a datagram of another gateway: a query, or a reply to one of ours."""
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
        """Return the reply to a query, the same one however often it arrives."""
        reply = self._cached_replies.get((sender, query.id))
        if reply is None:
            reply = msgspec.msgpack.encode(self._answer(sender, query))
            self._cached_replies[sender, query.id] = reply
            if len(self._cached_replies) > MAX_CACHED_REPLIES:
                self._cached_replies.popitem(last=False)
        return reply

    # Handing over to another process of this gateway

    def cached_reply_rows(self) -> list[tuple[int, int, bytes]]:
        """Return the cached replies as plain values."""
        return [(*key, reply) for key, reply in self._cached_replies.items()]

    def load_cached_replies(self, rows: list[tuple[int, int, bytes]]) -> None:
        """Take over the cached replies of another process."""
        self._cached_replies = OrderedDict(((sender, query_id), reply) for sender, query_id, reply in rows)
