"""Attempts of a generation, progress monitoring and recovery."""
