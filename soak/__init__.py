"""Randomized fault soak of gateways as real processes."""
