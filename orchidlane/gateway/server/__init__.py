"""The HTTP and RESP servers for clients, and their connections."""
