"""Configuration objects: validation, publishing and distribution by gossip."""
