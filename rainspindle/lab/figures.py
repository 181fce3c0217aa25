"""From ledgers to figures: what an experiment says of one variant under one seed."""

from __future__ import annotations

import math
from collections import Counter, defaultdict
from typing import Any

import numpy as np

from .audit import Audit
from .ledger import Asked, Ledger, Met
from .world import World

Figures = dict[str, float]
BACK, STEADY = 0.95, 3  # recovered: this part of the goodput before, for so many seconds


def outcome(tries: list[Asked], promised: float) -> tuple[str, float]:
    """How an operation ended for its client, and how long after it was due (math.inf without an answer)."""
    for a in tries:
        for kind, at, _ in a.answers[:1]:
            if kind == "finished":
                took = at - a.due
                return ("finished" if took <= promised else "late"), took
    last = tries[-1]
    return (last.answers[0][0] if last.answers else "left"), math.inf


def figures(ledger: Ledger, world: World, audit: Audit) -> tuple[Figures, dict[str, Any]]:
    """The figures of a run, and its series by second for the report."""
    x = world.x
    tries: dict[str, list[Asked]] = defaultdict(list)
    for a in ledger.asked:
        tries[a.op].append(a)
    seconds = math.ceil(x.length)
    asked_value, got_value = np.zeros(seconds), np.zeros(seconds)
    by_zone = np.zeros((len(x.fleet.zones), 2, seconds))  # value asked for and got, by the clients' zone
    counts = {name: np.zeros(seconds) for name in ("asked", "rejected", "tries", "finished")}
    ends: dict[str, int] = defaultdict(int)
    times: list[list[float]] = [[] for _ in range(seconds)]
    tried = failed = operations = 0
    for op in tries.values():
        op.sort(key=lambda a: a.sent)
        kind = x.traffic[op[0].type]
        how, took = outcome(op, kind.promised)
        second = min(int(op[0].due), seconds - 1)
        asked_value[second] += kind.value
        got = kind.value * {"finished": 1.0, "late": kind.late_value}.get(how, 0.0)
        got_value[second] += got
        by_zone[world.sidecar_zones[op[0].sidecar], :, second] += kind.value, got
        counts["asked"][second] += 1
        counts["tries"][second] += len(op)
        counts["rejected"][second] += sum(a.answers[0][0] == "rejected" for a in op if a.answers)
        counts["finished"][second] += how == "finished"
        if how in ("finished", "late"):
            times[second].append(took)
        if op[0].due >= x.warmup:
            operations += 1
            tried += len(op)
            ends[how] += 1
            failed += sum(not a.answers or a.answers[0][0] != "finished" for a in op)
    warm = slice(math.ceil(x.warmup), None)
    work, wasted = np.zeros(len(world.kinds)), 0.0
    useful = {a.answers[0][2] for a in ledger.asked if a.answers and a.answers[0][0] == "finished"}
    for run in ledger.runs:
        work[run.endpoint] += run.work
        if run.began < math.inf and run.token not in useful:
            wasted += run.work
    took_all = np.array([t for n, second in enumerate(times) if n >= x.warmup for t in second])

    def percent(part: float) -> float:
        return 1000 * float(np.quantile(took_all, part)) if len(took_all) else 0.0

    good = np.divide(got_value, asked_value, out=np.ones(seconds), where=asked_value > 0)
    capacity = np.array([s * k.cores for s, k in zip(world.speeds, world.kinds, strict=True)])
    load = work / capacity
    found = {
        "goodput": float(got_value[warm].sum() / max(asked_value[warm].sum(), 1e-9)),
        "offered": operations / (x.length - x.warmup),
        **{
            name: ends[name] / max(operations, 1)
            for name in ("finished", "late", "rejected", "terminated", "left")
        },
        "p50_ms": percent(0.5),
        "p90_ms": percent(0.9),
        "p99_ms": percent(0.99),
        "tries": tried / max(operations, 1),
        "forwards": len(ledger.runs) / max(len(ledger.asked), 1),
        "busiest": float(load.max() / load.mean()) if load.any() else 0.0,
        "rules_broken": float(len(audit.breaks)),
        "executions_twice": float(audit.twice),
        "falls": float(audit.falls),
        "recovery_s": recovery(world, good),
        "worst_second": float(good[warm].min()),
        "failures_met": failed / x.sidecars.count,
        "wasted": wasted / max(float(work.sum()), 1e-9),
        **sites(world, by_zone),
        **(summed(ledger, world) if ledger.met else {}),
    }
    by_endpoint = np.zeros((len(world.kinds), seconds))
    for run in ledger.runs:
        by_endpoint[run.endpoint, min(max(int(run.arrived), 0), seconds - 1)] += run.work
    edges = np.geomspace(0.001, 10, 61)
    series = {
        "goodput": rounded(good),
        "asked": rounded(counts["asked"]),
        "rejected": rounded(counts["rejected"]),
        "tries": rounded(counts["tries"] / np.maximum(counts["asked"], 1)),
        "p50_ms": [round(1000 * float(np.median(t)), 3) if t else None for t in times],
        "p99_ms": [round(1000 * float(np.quantile(t, 0.99)), 3) if t else None for t in times],
        "load": [rounded(row) for row in by_endpoint[:40]],
        "latency_edges_ms": rounded(edges * 1000),
        "latency_counts": [int(n) for n in np.histogram(took_all, edges)[0]],
    }
    return {name: round(value, 6) for name, value in found.items()}, series


def summed(ledger: Ledger, world: World) -> Figures:
    """What all sidecars together did: `_most` is the most in any second, at any one endpoint."""

    def most(met: list[tuple[int, float]]) -> float:
        cells = Counter((endpoint, math.floor(at)) for endpoint, at in met)
        return float(max(cells.values(), default=0))

    by_what: dict[str, list[Met]] = {"call": [], "handshake": [], "trial": [], "cell": []}
    for m in ledger.met:
        by_what[m.what].append(m)
    calls, hands = by_what["call"], by_what["handshake"]
    starts = {(s.endpoint, s.start): s.at for s in ledger.starts if s.what == "start" and s.cold}
    cold = [
        (r.endpoint, r.arrived)
        for r in ledger.runs
        if r.arrived - starts.get((r.endpoint, r.start), -math.inf) < world.kinds[r.endpoint].cold
    ]
    return {
        "calls": len(calls) / (world.end + 1.0),
        "calls_most": most([(-1, m.at) for m in calls]),
        "calls_refused": sum(m.refused for m in calls) / max(len(calls), 1),
        "handshakes": len(hands) / max(len(ledger.runs), 1),
        "handshakes_most": most([(m.endpoint, m.at) for m in hands]),
        "handshakes_refused": sum(m.refused for m in hands) / max(len(hands), 1),
        "trials": float(len(by_what["trial"])),
        "trials_vain": float(sum(m.refused for m in by_what["trial"])),
        "trials_most": most([(m.endpoint, m.at) for m in by_what["trial"]]),
        "cold_most": most(cold),
        "cells": len(by_what["cell"]) / (world.end + 1.0),
    }


def sites(world: World, by_zone: np.ndarray) -> Figures:
    """From the first fault's beginning to the last one's end: the goodput of the clients of the zone that is
    served best and worst, and how long the latter took to be served for good."""
    spans = world.shaded() or [(world.x.warmup, world.x.length, "")]
    first = math.floor(min(at for at, _, _ in spans))
    last = max(first + 1, math.ceil(min(max(until for _, until, _ in spans), world.x.length)))
    asked, got = by_zone[:, 0], by_zone[:, 1]
    parts = got[:, first:last].sum(axis=1) / np.maximum(asked[:, first:last].sum(axis=1), 1e-9)
    worst = int(parts.argmin())
    good = np.divide(got[worst], asked[worst], out=np.ones(asked.shape[1]), where=asked[worst] > 0)
    return {
        "site_best": float(parts.max()),
        "site_worst": float(parts.min()),
        "site_back_s": held_from(good[first:] >= BACK),
    }


def held_from(back: np.ndarray) -> float:
    """The first of STEADY seconds in a row that hold; the rest of the run if there are none."""
    for n in range(len(back)):
        if back[n : n + STEADY].all():
            return float(n)
    return float(len(back))


def rounded(values: Any) -> list[float]:
    return [round(float(v), 6) for v in values]


def recovery(world: World, good: np.ndarray) -> float:
    """Seconds from the end of the last fault or burst until goodput is back; the rest of the run if never."""
    spans = [(at, until) for at, until, _ in world.shaded()]
    if not spans:
        return 0.0
    first, last = math.floor(min(at for at, _ in spans)), math.ceil(max(until for _, until in spans))
    begun = math.ceil(world.x.warmup)
    before = float(good[begun:first].mean()) if first > begun else 1.0
    return held_from(good[last:] >= BACK * before)
