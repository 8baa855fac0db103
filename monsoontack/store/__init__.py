"""Client of the platform's object API and the lease on top of it."""
