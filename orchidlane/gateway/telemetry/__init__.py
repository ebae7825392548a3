"""What operators see of a gateway: metrics, the admin API, traffic records, views."""
