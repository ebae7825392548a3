"""The gateway on the operators' platform: another protocol for the same policy and forwarding."""
