"""Constants shared by several modules of the policy: time units and timer tokens."""

from __future__ import annotations

from typing import Final

US_PER_MS: Final = 1_000
US_PER_SECOND: Final = 1_000_000

GOSSIP_ROUND_TIMER: Final = 0
REPLY_TIMEOUT_TIMER: Final = 1 << 40  # greater than any request's timer token
REQUEST_TIMER_OFFSET: Final = 1  # timer token of a request: its number plus this offset
