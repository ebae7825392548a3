"""The running gateway: servers, policy driver, connections to endpoints, peers, the endpoint list."""
