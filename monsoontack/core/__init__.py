"""Records, errors and the clock that all packages share."""
