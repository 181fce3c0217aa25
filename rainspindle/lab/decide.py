"""The decisions of a variant, made for a facade: the module with its settings, or a baseline."""

from __future__ import annotations

import importlib
import pkgutil
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from typing import Any

from .. import balancer
from ..balancer.host import BalancerHost
from ..protocol.settings import make_balancer, traffic_type
from ..routing.facade import BalancerInterface
from .experiment import ExperimentFault, Variant
from .policies import make_baseline


def maker(
    variant: Variant, settings: dict[str, Any], seed: int, now: float
) -> Callable[[BalancerHost], BalancerInterface]:
    def make(host: BalancerHost) -> BalancerInterface:
        if variant.policy == "module":
            return make_balancer(host, seed, now, settings)
        limits = settings["policy-limits"]
        return make_baseline(
            host,
            variant.policy,
            seed,
            [traffic_type(t) for t in settings["traffic-types"]],
            limits["max-forwards"],
            limits["max-retry-after"] / 1000,
        )

    return make


def balancer_class(name: str) -> type | None:
    """The class of this name in the package of the decisions, if there is one."""
    for module in pkgutil.iter_modules(balancer.__path__):
        found = getattr(importlib.import_module(f"{balancer.__name__}.{module.name}"), name, None)
        if isinstance(found, type):
            return found
    return None


@contextmanager
def knobs(variant: Variant) -> Iterator[None]:
    """Other constants of the module for as long as this holds; none but `Class.NAME` that are there."""
    before: list[tuple[type, str, Any]] = []
    try:
        for name, value in variant.knobs.items():
            owner, _, constant = name.partition(".")
            cls = balancer_class(owner)
            old = getattr(cls, constant, None) if isinstance(cls, type) and constant.isupper() else None
            if not isinstance(old, int | float) or not isinstance(cls, type):
                raise ExperimentFault(
                    f"variant {variant.name}", [f"knobs.{name}: the module has no such constant"]
                )
            before.append((cls, constant, old))
            setattr(cls, constant, type(old)(value))
        yield
    finally:
        for cls, constant, old in before:
            setattr(cls, constant, old)
