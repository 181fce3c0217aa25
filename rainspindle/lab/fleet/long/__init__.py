"""Weeks of a large fleet in virtual time, by the classes that run."""
