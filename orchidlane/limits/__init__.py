"""Takes that are repeated, given back or reserved: what is decided beside the counts, without I/O."""

from orchidlane.limits.reservations import Ledger, LedgerError, Outcome
from orchidlane.limits.tokens import Claim, Holder, State, Verdict, holders_of, token_name

__all__ = [
    "Claim",
    "Holder",
    "Ledger",
    "LedgerError",
    "Outcome",
    "State",
    "Verdict",
    "holders_of",
    "token_name",
]
