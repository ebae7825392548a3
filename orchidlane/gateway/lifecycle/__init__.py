"""The lifecycle of a gateway process: start, reload, hot restart, shutdown and stored accounts."""
