"""Exceptions of h11, handled so that they keep no memory in use."""

from __future__ import annotations

import h11


def drop_traceback(fault: h11.RemoteProtocolError) -> h11.RemoteProtocolError:
    """Returns the exception without its traceback.

    h11 raises it again in a method of the exception, so that it refers to itself by that frame, and by the
    frames that called it to the whole request, until the cyclic garbage collector runs.
    """
    return fault.with_traceback(None)
