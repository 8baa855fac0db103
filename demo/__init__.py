"""Demonstration of an answer that survives the loss of two processes."""
