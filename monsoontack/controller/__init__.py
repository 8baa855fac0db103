"""Work that one process does at a time, under a lease."""
