"""A run on loopback sockets: real sidecar processes, stand-ins in processes of their own."""
