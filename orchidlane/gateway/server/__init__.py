"""What clients talk to: the HTTP and RESP servers and their connections."""
