"""Configuration objects, their checks, publishing and spread."""
