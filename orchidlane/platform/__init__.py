"""The gateway on the operators' platform: the same policy and forwarding behind the platform's protocol."""
