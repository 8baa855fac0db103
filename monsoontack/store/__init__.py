"""Client of the platform's object API, and a lease built on it."""
