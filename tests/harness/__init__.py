"""Drivers and fixtures that several test files share."""
