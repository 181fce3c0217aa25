"""Cells that each member writes alone: the one way in which sidecars share anything."""
