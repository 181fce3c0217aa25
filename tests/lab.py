"""Small experiments for the lab's tests."""

from __future__ import annotations

import copy
from typing import Any

import pytest

from rainspindle.lab.audit import Audit, audit
from rainspindle.lab.experiment import Experiment, decode
from rainspindle.lab.figures import figures
from rainspindle.lab.ledger import Ledger
from rainspindle.lab.virtual import VirtualRun
from rainspindle.lab.world import World

SMALL: dict[str, Any] = {
    "name": "small",
    "length": 12.0,
    "settle": 3.0,
    "fleet": {
        "zones": ["a", "b"],
        "kinds": [
            {"name": "std", "count": 6, "cold": 6.0, "cold_from": 0.2, "warm_gain": 0.5, "sick_at": 8.0}
        ],
    },
    "clients": {"rate": 60.0, "keys": 200},
    "traffic": [
        {"name": "save", "work": 0.05, "promised": 0.6, "expiry": 2.5},
        {"name": "submit", "work": 0.05, "promised": 0.6, "expiry": 1.5, "effect": "binding"},
        {
            "name": "note",
            "work": 0.05,
            "promised": 0.6,
            "expiry": 1.5,
            "effect": "fingerprinted",
            "memory_span": 2.0,
            "group": "cell",
            "share": 0.5,
        },
    ],
}


def small(**changes: Any) -> dict[str, Any]:
    return {**copy.deepcopy(SMALL), **changes}


def experiment(**changes: Any) -> Experiment:
    return decode(small(**changes), "small.toml")


def played(
    x: Experiment, seed: int = 1, variant: str = "module"
) -> tuple[World, Ledger, Audit, dict[str, float]]:
    world = World(x, x.variant(variant), seed)
    ledger = VirtualRun(world).play()
    found = audit(ledger, world, 0.0)
    return world, ledger, found, figures(ledger, world, found)[0]


def plant_lie(monkeypatch: pytest.MonkeyPatch) -> None:
    """Sidecars are told that every exchange may run again."""
    honest = World.settings

    def lying(self: World, sidecar: int) -> dict[str, Any]:
        told = honest(self, sidecar)
        for kind in told["traffic-types"]:
            kind["effect"] = "read_like"
        return told

    monkeypatch.setattr(World, "settings", lying)
