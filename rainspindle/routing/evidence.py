"""Connects the balancers of a sidecar's core with the evidence: one, or one for each side of a canary."""

from __future__ import annotations

from ..decisions.evidence.evidence import Evidence
from ..decisions.evidence.watch import BalancerWatch, BalancerWatches
from .canary import SplitCore, side_balancer
from .core import Core


def watch(core: Core, watches: BalancerWatches, evidence: Evidence, offset: float) -> None:
    """Watches each balancer; `offset` is what was added to the list's Unix times to give the loop's."""
    for side in core.cores.values() if isinstance(core, SplitCore) else (core,):
        balancer = side_balancer(side)
        if balancer is not None:
            watches.watches.append(BalancerWatch(balancer, evidence, offset))
