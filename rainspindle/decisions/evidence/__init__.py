"""Endpoint failures and hot keys reported between sidecars, and how much each report counts."""
