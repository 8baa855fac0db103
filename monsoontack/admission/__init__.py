"""Admission control, fair shares, retry and hedge budgets."""
