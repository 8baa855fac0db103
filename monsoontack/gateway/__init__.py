"""Entry that forwards HTTP requests to backend servers it speaks to directly."""
