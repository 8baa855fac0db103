"""Records, errors, clocks and logging shared by all packages."""
