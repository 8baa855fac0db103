"""The agent daemon beside each backend server."""
