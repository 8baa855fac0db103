"""Validated process settings, read from JSON files."""
