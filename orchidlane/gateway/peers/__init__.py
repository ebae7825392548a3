"""Messages between gateways: authenticated datagrams and token requests."""
