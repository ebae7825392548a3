"""A client's request from its head to its final response."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

from orchidlane import http1, policy
from orchidlane.gateway.forwarding.call import Call
from orchidlane.gateway.forwarding.client_response import ClientResponse
from orchidlane.gateway.forwarding.request_body import RequestBody
from orchidlane.runtime import Task

MAX_INTERIM_RESPONSES = 8  # that wait for a client


@dataclass(eq=False, slots=True)
class PendingRequest:
    """A request that the policy knows; ``response`` is set once, and then nothing more is owed.

    ``task`` serves the client. ``deadline`` is the clock time by which the final response has to leave;
    ``has_client_left`` asks the socket whether the client's connection has ended; ``attempts`` counts those
    that were started. ``first_sent_at`` is when the first attempt was sent that was possibly executed.
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
    was_unsent_at_hand_over: bool = False  # to the new process of a hot restart
    is_charged: bool = False  # the new process has counted its units since
    first_sent_at: int | None = None
    awaits_continue: bool = False  # the client keeps its body back until 100 Continue
    interim_responses: list[http1.Response] = field(default_factory=list)

    def add_interim_response(self, interim: http1.Response) -> None:
        """Queue an interim response for the client; beyond a bound it is dropped."""
        if self.response is None and len(self.interim_responses) < MAX_INTERIM_RESPONSES:
            self.interim_responses.append(interim)
            self.body.loop.wake(self.task)

    @property
    def request_class(self) -> policy.RequestClass:
        """The request's class."""
        return self.call.request_class
