"""Translates between the users' platform and the gateway; decides nothing."""
