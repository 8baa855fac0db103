"""Work that only one process does at a time, the holder of the controller lease."""
