"""Forwarding: pending requests, their attempts over pooled connections, and the driver of the policy."""
