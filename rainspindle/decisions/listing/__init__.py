"""Decides which sidecars of a fleet poll the list service and when the others may skip their own calls."""
