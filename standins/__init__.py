"""Simulators of external systems, for tests and the demonstration."""
