"""Test fleets: fake endpoints, discovery and clients, scenarios with faults, and the audit of their runs."""
