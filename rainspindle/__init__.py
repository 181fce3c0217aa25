"""rainspindle: a load balancer of which every client process has its own copy, a sidecar."""

__version__ = "0.2.0"
