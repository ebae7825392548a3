"""Tests on gateway processes, with real sockets and signals."""
