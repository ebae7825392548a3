"""How a gateway stands, asked at the Unix socket where it hands over."""

from __future__ import annotations

from orchidlane.hot_restart import messages
from orchidlane.runtime import Closed, Expired, Loop, NotConnected
from orchidlane.runtime.backend import Address

ANSWER_WITHIN = 1_000_000  # microseconds


def ask_status(loop: Loop, at: Address, within: int = ANSWER_WITHIN) -> messages.Status | None:
    """What it says; None where nobody answers in time, or not in our words."""
    by, parser = loop.now() + within, messages.Parser()
    try:
        stream = loop.world.connect(at, by)
    except (NotConnected, Expired):
        return None
    try:
        stream.send(messages.encode(messages.Ask()), by)
        while (found := parser.next_message()) is None:
            data = stream.recv(deadline=by)
            if not data:
                return None
            parser.receive(data)
    except (Closed, Expired, messages.Garbled):
        return None
    finally:
        stream.close()
    return found if isinstance(found, messages.Status) else None
