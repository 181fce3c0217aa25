"""What the cases 6 to 10 share: stand-ins of list service, servers and clients, and the start."""
