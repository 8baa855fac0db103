"""Rollout evidence, its judgement and the step machine."""
