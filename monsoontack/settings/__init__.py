"""Process settings, read from JSON files and validated."""
