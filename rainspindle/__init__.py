"""Rainspindle: a load balancer that runs as a sidecar of every client process."""

__version__ = "0.2.0"
