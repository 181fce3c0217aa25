"""Operators' orders that outlive a process: endpoints disabled, the sidecar drained. No I/O, no clock.

Two processes may accept orders at the same time while one hands over to the other. Each order carries a
number above all numbers known when it was given. Of two orders for the same subject the higher number wins,
and of equal numbers the one that disables, so both processes reach the same state in whatever order they
merge.
"""

from __future__ import annotations

from typing import Any

from ...lazy_dataclasses import dataclass

MOST_IDS, LONGEST_ID = 8192, 256
DRAIN = ""  # the subject of an order for the sidecar itself; no endpoint has this id


@dataclass(frozen=True, slots=True, order=True)
class Order:
    """The latest order for one subject; the field order gives the precedence between two orders."""

    number: int
    out: bool


class Orders:
    """The orders in force, and the endpoint ids that an order may name."""

    def __init__(self) -> None:
        self.last = 0
        self.given: dict[str, Order] = {}  # by endpoint id, DRAIN for the sidecar
        self.listed: dict[str, None] = {}  # ids that have been in any endpoint list, the oldest first

    def record_listed(self, ids: list[str]) -> bool:
        """Records ids from an endpoint list and returns whether any is new.

        Above MOST_IDS the oldest ids are dropped, except those of disabled endpoints.
        """
        new_ids = [endpoint_id for endpoint_id in ids if endpoint_id not in self.listed]
        for endpoint_id in new_ids:
            self.listed[endpoint_id] = None
        while len(self.listed) > MOST_IDS:
            oldest = next((endpoint_id for endpoint_id in self.listed if not self.is_out(endpoint_id)), None)
            if oldest is None:
                break
            del self.listed[oldest]
            self.given.pop(oldest, None)
        return bool(new_ids)

    def give(self, subject: str, out: bool) -> bool:
        """Records an order and returns whether it changes anything."""
        if self.is_out(subject) == out:
            return False
        self.last += 1
        self.given[subject] = Order(self.last, out)
        return True

    def is_out(self, subject: str) -> bool:
        """Returns whether the endpoint is disabled, or with DRAIN whether the sidecar is drained."""
        order = self.given.get(subject)
        return order is not None and order.out

    def outs(self) -> set[str]:
        """Returns the disabled endpoint ids, and DRAIN if the sidecar is drained."""
        return {subject for subject, order in self.given.items() if order.out}

    def merge(self, other: Orders) -> set[str]:
        """Merges the orders of another process and returns the subjects whose state changed."""
        changed = set()
        for subject, order in other.given.items():
            known = self.given.get(subject)
            if known is None or order > known:
                if order.out != self.is_out(subject):
                    changed.add(subject)
                self.given[subject] = order
        self.last = max(self.last, other.last)
        self.record_listed(list(other.listed))
        return changed

    def plain(self) -> dict[str, Any]:
        """Returns the stored form, which `of` decodes."""
        return {
            "last": self.last,
            "listed": list(self.listed),
            "given": {subject: [order.number, order.out] for subject, order in self.given.items()},
        }

    @classmethod
    def of(cls, plain: Any) -> Orders:
        """Decodes the stored form. Raises ValueError if it is malformed, as a file may hold anything."""
        orders = cls()
        try:
            orders.last = order_number(plain["last"])
            for subject, (number, out) in plain["given"].items():
                if not isinstance(out, bool):
                    raise ValueError(f"order for {subject!r}: expected true or false, got {out!r}")
                orders.given[order_subject(subject)] = Order(order_number(number), out)
                orders.last = max(orders.last, number)
            orders.listed = {order_subject(endpoint_id): None for endpoint_id in plain["listed"]}
        except (KeyError, TypeError, AttributeError) as error:
            raise ValueError(f"malformed orders: {type(error).__name__} {error}") from None
        if len(orders.given) > 2 * MOST_IDS or len(orders.listed) > 2 * MOST_IDS:
            raise ValueError(f"too many orders or endpoint ids: at most {2 * MOST_IDS} of each are allowed")
        return orders


def order_number(value: Any) -> int:
    """Returns the value if it is a valid order number; raises ValueError otherwise."""
    if not isinstance(value, int) or isinstance(value, bool) or not 0 <= value < 1 << 62:
        raise ValueError(f"order number: expected an integer from 0 to 2**62 - 1, got {value!r}")
    return value


def order_subject(value: Any) -> str:
    """Returns the value if it is a valid endpoint id; raises ValueError otherwise."""
    if not isinstance(value, str) or len(value) > LONGEST_ID:
        raise ValueError(f"endpoint id: expected at most {LONGEST_ID} characters of text, got {value!r:.80}")
    return value
