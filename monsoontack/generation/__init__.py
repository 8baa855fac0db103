"""Attempts of a generation, their progress monitoring, timeouts and recovery."""
