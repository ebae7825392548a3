"""An API gateway that keeps quotas and priorities across a fleet; the decisions are in ``rules.py``."""

__version__ = "0.2.0"
