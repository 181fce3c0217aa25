"""Event loop, timers, connections and pools, independent of the protocols that use them."""
