"""Addresses as host:port with a numeric host; names are not resolved."""

from __future__ import annotations

import socket

Address = tuple[str, int]


def address_text(address: Address) -> str:
    """Formats an address as host:port, with an IPv6 host in brackets."""
    host, port = address
    return f"[{host}]:{port}" if ":" in host else f"{host}:{port}"


def parse_address(text: str) -> Address:
    """Parses host:port as `address_text` writes it; raises ValueError, also for a host name.

    >>> parse_address("[::1]:80")
    ('::1', 80)
    >>> parse_address("localhost:80")
    Traceback (most recent call last):
    ValueError: not a numeric address: 'localhost:80'
    """
    host, _, port = text.rpartition(":")
    host = host.removeprefix("[").removesuffix("]")
    if not port.isdecimal() or not 0 <= int(port) < 65536:
        raise ValueError(f"not an address: {text!r}")
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    try:
        return socket.inet_ntop(family, socket.inet_pton(family, host)), int(port)  # as getpeername() has it
    except (OSError, ValueError):
        pass
    import ipaddress  # imported here to save start-up time; it also reads IPv6 zones

    try:
        return str(ipaddress.ip_address(host)), int(port)
    except ValueError:
        raise ValueError(f"not a numeric address: {text!r}") from None
