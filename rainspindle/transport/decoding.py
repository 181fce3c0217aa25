"""Reads a connection through a decoder that works in steps, so that no read holds up the event loop."""

from __future__ import annotations

from typing import Protocol, TypeVar

from .connection import Connection, Unless
from .loop import Coroutine

T_co = TypeVar("T_co", covariant=True)
T = TypeVar("T")


class SteppedDecoder(Protocol[T_co]):
    """Decodes one message, a bounded number of its parts per call."""

    @property
    def undecoded(self) -> bool:
        """Whether `resume` must be called before more bytes are passed on."""

    def receive(self, data: bytes) -> T_co | None:
        """Takes received bytes, b"" for the end of the connection; returns the message if it is complete."""

    def resume(self) -> T_co | None:
        """Decodes what `receive` left; returns the message once it is complete."""


def decode_some(
    connection: Connection, decoder: SteppedDecoder[T], until: float, unless: Unless = None
) -> Coroutine[T | None]:
    """Decodes the next part of a message; returns the message once it is complete, else None.

    Raises Broken, Late and Unwanted, as `Connection.await_bytes`, and what the decoder raises.
    """
    if decoder.undecoded:
        yield from connection.share_turn(until, unless)
        return decoder.resume()
    return decoder.receive((yield from connection.await_bytes(until, unless)))
