"""Stand-ins for the review's cases: clients, hosts, discovery, and the start of real gateways."""
