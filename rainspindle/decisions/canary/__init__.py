"""Canary workflows on shared error budgets."""
