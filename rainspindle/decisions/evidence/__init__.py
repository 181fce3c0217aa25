"""What sidecars tell one another of endpoints and keys, and how much it counts."""
