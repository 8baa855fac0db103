"""Tests that run whole processes on loopback sockets."""
