"""Group membership: which sidecars of a fleet are alive, by SWIM with the Lifeguard extensions."""
