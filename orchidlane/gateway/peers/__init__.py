"""Messages between gateways: authenticated datagrams, and queries about tokens and grants."""
