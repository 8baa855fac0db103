"""The agent: a daemon next to each backend server that connects it to entries."""
