"""Randomized soak tests that inject faults into real gateway processes."""
