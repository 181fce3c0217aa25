"""The operators' console, on an address of its own."""
