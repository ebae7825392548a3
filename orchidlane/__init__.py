"""An API gateway that enforces quotas and priorities across a fleet; ``policy`` makes the decisions."""

__version__ = "0.2.0"
