"""Who is there: the members of a fleet of sidecars."""
