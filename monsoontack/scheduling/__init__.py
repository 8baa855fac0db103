"""Admission and order of streams at an entry, before their first attempt."""
