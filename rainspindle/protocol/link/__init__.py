"""The protocol between the gateways of two sites, without I/O: frames, sessions and claims."""
