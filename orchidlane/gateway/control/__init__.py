"""The configuration of a gateway: settings, customers, endpoint list, configuration snapshots."""
