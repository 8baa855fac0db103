"""Adapter between the hosting platform and the gateway; contains no decisions."""
