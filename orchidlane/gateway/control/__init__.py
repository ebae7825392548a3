"""What a gateway is configured with: settings, customers, endpoint list, configuration snapshots."""
