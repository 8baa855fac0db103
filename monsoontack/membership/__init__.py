"""State of the processes of the fleet and choice of the links to agents."""
