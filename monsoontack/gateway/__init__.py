"""Gateway entry: forwards HTTP requests to backend servers over direct connections."""
