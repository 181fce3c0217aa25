"""Canary releases that all sidecars of a fleet advance together, judged by one shared error budget."""
