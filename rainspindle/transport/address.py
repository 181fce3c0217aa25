"""Addresses as host:port, numeric: there is no DNS."""

from __future__ import annotations

import ipaddress

Address = tuple[str, int]


def address_text(address: Address) -> str:
    host, port = address
    return f"[{host}]:{port}" if ":" in host else f"{host}:{port}"


def parse_address(text: str) -> Address:
    host, _, port = text.rpartition(":")
    host = host.removeprefix("[").removesuffix("]")
    if not port.isdecimal() or not 0 <= int(port) < 65536:
        raise ValueError(f"not an address: {text!r}")
    try:
        return str(ipaddress.ip_address(host)), int(port)  # as a socket tells its peer's
    except ValueError:
        raise ValueError(f"not a numeric address: {text!r}") from None
