"""Constants that several modules of the policy share: units of time and tokens of timers."""

from __future__ import annotations

from typing import Final

US_PER_MS: Final = 1_000
US_PER_SECOND: Final = 1_000_000

GOSSIP_ROUND_TIMER: Final = 0
REPLY_TIMEOUT_TIMER: Final = 1 << 40  # above the token of any request
REQUEST_TIMER_OFFSET: Final = 1  # a request's timer has its number plus this as its token
