"""What gateways tell one another: sealed datagrams and token requests."""
