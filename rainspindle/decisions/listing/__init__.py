"""Who asks the list service for a fleet of sidecars, and when the others are spared."""
