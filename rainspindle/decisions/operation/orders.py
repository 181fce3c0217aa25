"""Orders of the staff that outlast a process: endpoints out, the sidecar drained. No I/O, no clock.

Two processes may take orders at once, while one hands over to the other. Each order carries a number above
all that were known when it was given; of two for the same matter the higher number holds, and of equal ones
the one that takes out, so that both sides come to the same whatever they learn first.
"""

from __future__ import annotations

from typing import Any

from ...lazy_dataclasses import dataclass

MOST_IDS, LONGEST_ID = 8192, 256
DRAIN = ""  # the matter of the sidecar itself; no endpoint has this name


@dataclass(frozen=True, slots=True, order=True)
class Order:
    number: int
    out: bool


class Orders:
    def __init__(self) -> None:
        self.last = 0
        self.given: dict[str, Order] = {}  # by the endpoint's id, DRAIN for the sidecar
        self.listed: dict[str, None] = {}  # ids that a list has ever named, the oldest first

    def names(self, ids: list[str]) -> bool:
        """Takes down ids that a list names; whether any is new. The oldest go, but for those out."""
        new = [id for id in ids if id not in self.listed]
        for id in new:
            self.listed[id] = None
        while len(self.listed) > MOST_IDS:
            oldest = next((id for id in self.listed if not self.is_out(id)), None)
            if oldest is None:
                break
            del self.listed[oldest]
            self.given.pop(oldest, None)
        return bool(new)

    def give(self, matter: str, out: bool) -> bool:
        """Takes an order; whether it changes anything."""
        if self.is_out(matter) == out:
            return False
        self.last += 1
        self.given[matter] = Order(self.last, out)
        return True

    def is_out(self, matter: str) -> bool:
        order = self.given.get(matter)
        return order is not None and order.out

    def outs(self) -> set[str]:
        return {matter for matter, order in self.given.items() if order.out}

    def merge(self, other: Orders) -> set[str]:
        """Takes over what another process knows; the matters that have changed by it."""
        changed = set()
        for matter, order in other.given.items():
            known = self.given.get(matter)
            if known is None or order > known:
                if order.out != self.is_out(matter):
                    changed.add(matter)
                self.given[matter] = order
        self.last = max(self.last, other.last)
        self.names(list(other.listed))
        return changed

    def plain(self) -> dict[str, Any]:
        return {
            "last": self.last,
            "listed": list(self.listed),
            "given": {matter: [o.number, o.out] for matter, o in self.given.items()},
        }

    @classmethod
    def of(cls, plain: Any) -> Orders:
        """Raises ValueError: a file may hold anything."""
        made = cls()
        try:
            made.last = whole(plain["last"])
            for matter, (number, out) in plain["given"].items():
                if not isinstance(out, bool):
                    raise ValueError(f"an order of {matter!r} that is no yes or no")
                made.given[name(matter)] = Order(whole(number), out)
                made.last = max(made.last, number)
            made.listed = {name(id): None for id in plain["listed"]}
        except (KeyError, TypeError, AttributeError) as fault:
            raise ValueError(f"no orders: {type(fault).__name__} {fault}") from None
        if len(made.given) > 2 * MOST_IDS or len(made.listed) > 2 * MOST_IDS:
            raise ValueError("more orders than there can be")
        return made


def whole(value: Any) -> int:
    if not isinstance(value, int) or isinstance(value, bool) or not 0 <= value < 1 << 62:
        raise ValueError(f"no number of an order: {value!r}")
    return value


def name(value: Any) -> str:
    if not isinstance(value, str) or len(value) > LONGEST_ID:
        raise ValueError("no id")
    return value
