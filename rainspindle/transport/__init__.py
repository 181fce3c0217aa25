"""Loop, timers, connections and pools. Nothing here knows what the bytes mean."""
