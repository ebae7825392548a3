"""A client's request from its head to its final response."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

from orchidlane import http1, policy
from orchidlane.gateway.forwarding.call import Call
from orchidlane.gateway.forwarding.client_response import ClientResponse
from orchidlane.gateway.forwarding.request_body import RequestBody
from orchidlane.runtime import Task

MAX_QUEUED_INTERIM_RESPONSES = 8  # received from the endpoint and not yet sent to the client


@dataclass(eq=False, slots=True)
class PendingRequest:
    """A request whose head was read; ``response`` is set once, to the final response.

    ``task`` serves the client. ``arrived`` and ``deadline`` are times of the loop's clock: the start of the
    request, and when its final response has to be sent. ``has_client_left`` checks the client's socket for a
    closed connection. ``attempts`` is the number of attempts started so far; ``first_sent_at`` is when the
    first one that was possibly executed sent its first byte.
    """

    number: int
    head: http1.Request
    call: Call
    body: RequestBody
    task: Task
    deadline: int
    arrived: int
    has_client_left: Callable[[], bool]
    response: ClientResponse | None = None
    client_disconnected: bool = False
    attempts: int = 0
    was_unsent_at_hand_over: bool = False  # no attempt was started before a hot restart
    is_charged: bool = False  # after such a hand-over, the new process has counted its units
    first_sent_at: int | None = None
    awaits_continue: bool = False  # the client sends its body only after 100 Continue
    interim_responses: list[http1.Response] = field(default_factory=list)

    def add_interim_response(self, interim: http1.Response) -> None:
        """Queue an interim response for the client; drop it if the queue is full."""
        if self.response is None and len(self.interim_responses) < MAX_QUEUED_INTERIM_RESPONSES:
            self.interim_responses.append(interim)
            self.body.loop.wake(self.task)

    @property
    def request_class(self) -> policy.RequestClass:
        """The request's class."""
        return self.call.request_class
