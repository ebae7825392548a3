"""Forwarding: one pending request, its attempts over pooled connections, and the policy that decides."""
