"""Messages between the system's processes, with generated code."""
