"""Takes that are repeated, given back or reserved: what is decided beside the counts, without I/O."""

from .ledger import Ledger, LedgerError, Outcome
from .tokens import Claim, Holder, State, Verdict, holders_of, token_name

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
