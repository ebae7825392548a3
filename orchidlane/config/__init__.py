"""Settings files in a subset of CUE: parsed, unified with a schema, and converted to typed records."""

from orchidlane.config.errors import ConfigError, Problem
from orchidlane.config.load import load, plain_values, render
from orchidlane.config.quantity import Duration, Size

__all__ = ["ConfigError", "Duration", "Problem", "Size", "load", "plain_values", "render"]
