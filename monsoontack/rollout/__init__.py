"""Rollouts: evidence, canary analysis, and the state machine of the steps."""
