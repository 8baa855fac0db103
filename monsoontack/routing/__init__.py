"""Choice of a backend server for each request."""
