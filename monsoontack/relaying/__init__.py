"""Where an entry reads the platform's store: itself, or through which peer."""
