"""What entries know of the load that other entries put on engines."""
