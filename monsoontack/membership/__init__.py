"""Which processes and backend servers live, leave or are lost."""
