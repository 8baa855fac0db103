"""Model-checking specifications of the core protocols."""
