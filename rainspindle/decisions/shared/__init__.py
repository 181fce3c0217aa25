"""Single-writer registers and their gossip: the only way in which sidecars share state."""
