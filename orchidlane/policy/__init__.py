"""All decisions on requests, without I/O: events with a clock in, actions out."""
