"""Persistent files that are versioned, checksummed and written atomically; payloads are not interpreted."""
