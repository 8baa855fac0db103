"""Examples: configurations of two deployments and an embedding of the library."""
