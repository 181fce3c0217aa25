"""Orders of the staff on single endpoints: taken out, and put back, whatever a list tells meanwhile."""

from __future__ import annotations

from ...host import State
from ...logic import Balancer
from ...values import replace


def disable(balancer: Balancer, now: float, id: str) -> None:
    """The endpoint gets nothing, whatever a list tells, until `enable`."""
    known = balancer.endpoints.get(id)
    if id not in balancer.left_out:
        balancer.left_out[id] = known.line if known else None
        balancer.host.log(f"{id} left out by order")
    if known:
        known.line = replace(known.line, state=State.LEFT_OUT)
        balancer.renew()


def enable(balancer: Balancer, now: float, id: str) -> None:
    """The endpoint is back. It was restarted meanwhile: cold, whatever a list tells; nothing is known."""
    if id not in balancer.left_out:
        return
    line, known = balancer.left_out.pop(id), balancer.endpoints.get(id)
    balancer.put_back = {i: at for i, at in balancer.put_back.items() if now - at < balancer.budget.cold} | {
        id: now
    }
    if line and known:
        known.reset(line)
        balancer.table.entries = {
            key: entry
            for key, entry in balancer.table.entries.items()
            if known not in (entry.first, entry.current)
        }
    balancer.renew()
    balancer.host.log(f"{id} put back by order: cold")
