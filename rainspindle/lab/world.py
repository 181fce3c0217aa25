"""One run, drawn from an experiment and a seed: who is there, what clients ask, what befalls whom and when.

All of it is drawn before the run starts, so that virtual time and sockets play the same.
"""

from __future__ import annotations

import zlib
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import numpy as np

from ..balancer.host import EndpointStatus, ListedEndpoint
from ..lazy_dataclasses import replace
from .experiment import AT_ENDPOINTS, AT_SIDECARS, Experiment, Fault, Variant
from .models.clients import Operation, schedule
from .models.endpoint import EndpointModel
from .models.link import Cut, LinkModel
from .models.registry import Change, Registry

EFFECTS = {"retriable": "read_like", "fingerprinted": "idempotency_key", "binding": "non_idempotent"}
CELL = 4  # endpoints


@dataclass(frozen=True, slots=True)
class Act:
    """Something that befalls an endpoint or a sidecar."""

    at: float
    what: str  # down, silence, up, hang, slower, pause, err, sidecar_down, sidecar_freeze, sidecar_up
    target: int
    value: float = 0.0


class World:
    def __init__(self, experiment: Experiment, variant: Variant, seed: int) -> None:
        self.variant, self.seed = variant, seed
        self.x = x = experiment.as_played(variant)
        self.end = x.length + x.settle
        self.schedule: list[Operation] = schedule(x, self.rng("clients"))
        rng = self.rng("fleet")
        kinds = [k for k in x.fleet.kinds for _ in range(k.count)]
        self.kinds = [kinds[i] for i in rng.permutation(len(kinds))]
        self.speeds = [float(rng.uniform(*k.speed)) for k in self.kinds]
        self.zones = [n % len(x.fleet.zones) for n in range(len(kinds))]
        self.sidecar_zones = [n % len(x.fleet.zones) for n in range(x.sidecars.count)]
        self.acts: list[Act] = []
        self.cuts: dict[tuple[int, int], list[Cut]] = {}
        self.outages: list[tuple[float, float]] = []
        self.changes: list[Change] = []
        self.lines = [self.line(n, EndpointStatus.READY, None) for n in range(len(kinds))]
        for n, fault in enumerate(x.faults):
            self.befall(fault, self.rng(f"fault {n}"))
        self.acts.sort(key=lambda a: a.at)
        self.registry = Registry(self.lines, self.changes, self.outages)
        self.registries = [self.registry] * x.sidecars.count  # by sidecar: what its list service says
        if x.sites is not None:
            # A site's list goes down with whatever takes its zone away; the others' stay.
            of_zone = [self.site_registry(zone) for zone in range(len(x.fleet.zones))]
            self.registries = [of_zone[zone] for zone in self.sidecar_zones]

    def site_registry(self, zone: int) -> Registry:
        outages = [
            (f.at, f.at + f.length)
            for f in self.x.faults
            if f.kind == "list_outage" and f.zone in ("", self.x.fleet.zones[zone])
        ]
        return Registry(
            [line for line in self.lines if line.zone == zone],
            [c for c in self.changes if c.line.zone == zone],
            outages,
        )

    def rng(self, what: str) -> np.random.Generator:
        """A stream of its own for each matter: a further fault must not change the clients' schedule."""
        return np.random.default_rng([self.seed, zlib.crc32(what.encode())])

    def chance(self, what: str) -> Callable[[], float]:
        return self.rng(what).random

    def line(self, n: int, state: EndpointStatus, started: float | None) -> ListedEndpoint:
        kind = self.kinds[n]
        return ListedEndpoint(
            f"e{n}", n // CELL, self.zones[n], kind.cores * sum(kind.speed) / 2, state, started
        )

    def endpoint(self, n: int) -> EndpointModel:
        return EndpointModel(
            n,
            self.zones[n],
            self.kinds[n],
            self.speeds[n],
            self.x.rules,
            self.chance(f"endpoint {n}"),
            self.mean_work(),
        )

    def mean_work(self) -> float:
        """Of an exchange, over all traffic."""
        return sum(t.share * t.work for t in self.x.traffic) / sum(t.share for t in self.x.traffic)

    def links(self) -> dict[tuple[int, int], LinkModel]:
        zones = range(len(self.x.fleet.zones))
        return {
            (a, b): LinkModel(
                self.x.links.same if a == b else self.x.links.cross,
                self.cuts.get((a, b), []),
                self.chance(f"link {a} {b}"),
            )
            for a in zones
            for b in zones
        }

    # Faults.

    def chosen(
        self, fault: Fault, among: int, zones: list[int], prefix: str, rng: np.random.Generator
    ) -> list[int]:
        if fault.names:
            return [int(name.removeprefix(prefix)) for name in fault.names]
        candidates = [n for n in range(among) if not fault.zone or self.x.fleet.zones[zones[n]] == fault.zone]
        if not fault.part:
            return candidates
        count = max(1, round(fault.part * len(candidates)))
        return sorted(int(n) for n in rng.permutation(candidates)[:count])

    def befall(self, f: Fault, rng: np.random.Generator) -> None:
        over = f.at + f.length
        if f.kind in AT_ENDPOINTS:
            for n in self.chosen(f, len(self.kinds), self.zones, "e", rng):
                self.befall_endpoint(f, n, rng)
        elif f.kind in AT_SIDECARS:
            for n in self.chosen(f, self.x.sidecars.count, self.sidecar_zones, "s", rng):
                how = "down" if f.kind == "sidecar_crash" else "freeze"
                late = float(rng.uniform(0.0, f.spread)) if f.spread else 0.0
                self.acts += [Act(f.at + late, f"sidecar_{how}", n), Act(over + late, "sidecar_up", n)]
        elif f.kind == "list_outage":
            self.outages.append((f.at, over))
        else:
            zone = self.x.fleet.zones.index(f.zone)
            for other in range(len(self.x.fleet.zones)):
                cut = Cut(f.at, over, f.size if f.kind == "link_slow" else 0.0)
                if other != zone and f.direction in ("both", "out"):
                    self.cuts.setdefault((zone, other), []).append(cut)
                if other != zone and f.direction in ("both", "in"):
                    self.cuts.setdefault((other, zone), []).append(cut)

    def befall_endpoint(self, f: Fault, n: int, rng: np.random.Generator) -> None:
        if f.spread:
            f = f.model_copy(update={"at": f.at + float(rng.uniform(0.0, f.spread))})
        over, spec = f.at + f.length, self.x.registry

        def listed(at: float, lag: tuple[float, float], state: EndpointStatus, started: float | None) -> None:
            late = spec.stale_more if rng.random() < spec.stale_part else 0.0
            # A line never reads older than it did: what comes later is listed no earlier.
            seen = max(
                [at + float(rng.uniform(*lag)) + late, *(c.at for c in self.changes if c.line.id == f"e{n}")]
            )
            self.changes.append(Change(seen, self.line(n, state, started)))

        if f.kind in ("crash", "silent"):
            self.acts += [Act(f.at, "down" if f.kind == "crash" else "silence", n), Act(over, "up", n)]
            lag = spec.lag if f.kind == "crash" else spec.silent_lag
            if f.at + lag[0] < over:
                listed(f.at, lag, EndpointStatus.GONE, None)
            listed(over, spec.add_lag, EndpointStatus.READY, over)
        elif f.kind == "drain":
            listed(f.at, spec.lag, EndpointStatus.DRAINING, None)
            self.acts.append(Act(over, "down", n))
            listed(over, spec.lag, EndpointStatus.GONE, None)
            if f.size:
                self.acts.append(Act(over + f.size, "up", n))
                listed(over + f.size, spec.add_lag, EndpointStatus.READY, over + f.size)
        elif f.kind == "pauses":
            at = f.at + float(rng.uniform(0, f.every))
            while at < over:
                self.acts += [Act(at, "pause", n, 1.0), Act(min(at + f.size, over), "pause", n, 0.0)]
                at += f.every + f.size
        else:
            what, value, normal = {
                "hang": ("hang", 1.0, 0.0),
                "slow": ("slower", f.size, 1.0),
                "errors": ("err", f.size, 0.0),
            }[f.kind]
            self.acts += [Act(f.at, what, n, value), Act(over, what, n, normal)]

    def shaded(self) -> list[tuple[float, float, str]]:
        """The faults' spans, and bursts, for plots."""
        spans = [(f.at, f.at + f.spread + f.length, f.kind.replace("_", " ")) for f in self.x.faults]
        return spans + [(b.at, b.at + b.length, f"traffic x {b.times:g}") for b in self.x.clients.bursts]

    # What sidecars are told.

    def settings(self, sidecar: int) -> dict[str, Any]:
        """The settings of one sidecar, as the platform's configuration has them."""
        x = self.x
        return {
            "zone": self.sidecar_zones[sidecar],
            "peers-total": self.variant.peers or x.sidecars.count,
            "discovery": "on_request",
            "weight-kind": "nominal",
            "failure-domains": list(x.fleet.zones),
            "prices": {"cross-zone": 0.02},
            "traffic-types": [
                {
                    "name": t.name,
                    "effect": EFFECTS[t.effect],
                    "dedup-scope": t.group,
                    "promised-time": t.promised * 1000,
                    "expiry": t.expiry * 1000,
                    "memory-span": t.memory_span * 1000,
                    "overdue-value": t.late_value,
                }
                for t in x.traffic
            ],
            "policy-limits": {
                "max-forwards": x.limits.max_forwards,
                "parallel-tries": x.limits.parallel,
                "cancel": x.limits.cancel,
                "retry-after": x.limits.retry_after > 0,
                "max-retry-after": x.limits.retry_after * 1000,
                "connect-timeout": x.limits.connect_time * 1000,
                "conn-idle": x.limits.idle_time * 1000,
            },
            "contract": {
                "fall-multiple": x.rules.cold_multiple,
                "tip-after": x.rules.cold_window * 1000,
                "cold-from": min(k.cold_from for k in x.fleet.kinds),
                "cold": max(k.cold for k in x.fleet.kinds) * 1000,
                "ask-within": x.limits.ask_within * 1000,
                "stop-sending-within": x.rules.drain_grace * 1000,
            },
        }


def play(model: EndpointModel, act: Act) -> bool:
    """Lets an act befall an endpoint, but for going down and up; whether it was one of these."""
    if act.what == "hang":
        model.hanging = bool(act.value)
    elif act.what == "slower":
        model.set_slower(act.at, act.value)
    elif act.what == "pause":
        model.set_paused(act.at, bool(act.value))
    elif act.what == "err":
        model.err = act.value
    else:
        return False
    return True


def moved(line: ListedEndpoint, by: float) -> ListedEndpoint:
    """The line with its start on another clock."""
    return line if line.started_at is None else replace(line, started_at=line.started_at + by)
