"""Connections of callers: HTTP/1.1 parsing, limits and responses."""
