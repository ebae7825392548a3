"""Benchmarks; each runs as ``python -m benchmarks.NAME``."""
