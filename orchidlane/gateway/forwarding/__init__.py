"""The way of a request to an endpoint: policy driver, attempts, connections, protocol adapters."""
