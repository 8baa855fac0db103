"""Integration tests that run whole processes on loopback sockets."""
