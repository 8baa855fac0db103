"""Example configurations of two deployments, and an example of library use."""
