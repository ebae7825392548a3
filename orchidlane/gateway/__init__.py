"""The running gateway: fronts, the host of the module, upstream connections, peers, the node list."""
