"""An API gateway that keeps quotas and priorities across a fleet; ``policy`` holds the decisions."""

__version__ = "0.2.0"
