"""Clients: an open-loop schedule that waits for nobody, and what a client does after an answer."""

from __future__ import annotations

import itertools
import math
from dataclasses import dataclass

import numpy as np

from ..experiment import Clients, Experiment, Traffic


@dataclass(frozen=True, slots=True)
class Operation:
    """What a client wants done, by one try or several."""

    number: int
    sidecar: int
    due: float
    type: int
    key: str  # "" for none
    work: float
    wait: float  # seconds after which a try is given up
    honours: bool

    @property
    def id(self) -> str:
        return f"o{self.number}"


def schedule(x: Experiment, rng: np.random.Generator) -> list[Operation]:
    """All first tries of a run, in order of time. Arrivals are Poisson, their rate multiplied in bursts."""
    c = x.clients
    edges = sorted({0.0, x.length, *(min(t, x.length) for b in c.bursts for t in (b.at, b.at + b.length))})
    due = np.sort(
        np.concatenate(
            [
                rng.uniform(low, high, rng.poisson(c.rate * times_at(c, (low + high) / 2) * (high - low)))
                for low, high in itertools.pairwise(edges)
            ]
        )
    )
    n = len(due)
    parts = zipf(x.sidecars.count, x.sidecars.skew)
    sidecars = rng.choice(x.sidecars.count, n, p=rng.permutation(parts))
    shares = np.array([t.share for t in x.traffic])
    types = rng.choice(len(x.traffic), n, p=shares / shares.sum())
    keys = rng.choice(c.keys, n, p=zipf(c.keys, c.key_skew)) if c.keys else None
    work = np.zeros(n)
    for index, t in enumerate(x.traffic):
        mine = types == index
        work[mine] = draw_work(t, int(mine.sum()), rng)
    give_up = rng.uniform(*c.give_up, n)
    honours = rng.random(n) < c.honour
    return [
        Operation(
            i,
            int(sidecars[i]),
            float(due[i]),
            int(types[i]),
            "" if keys is None else f"k{keys[i]}",
            float(work[i]),
            float(give_up[i]) * x.traffic[types[i]].expiry,
            bool(honours[i]),
        )
        for i in range(n)
    ]


def times_at(c: Clients, at: float) -> float:
    return math.prod(b.times for b in c.bursts if b.at <= at < b.at + b.length)


def zipf(n: int, skew: float) -> np.ndarray:
    parts = 1.0 / np.arange(1, n + 1) ** skew
    return np.asarray(parts / parts.sum())


def draw_work(t: Traffic, n: int, rng: np.random.Generator) -> np.ndarray:
    """Work with the stated mean and spread (standard deviation over mean)."""
    if t.spread <= 0:
        return np.full(n, t.work)
    if t.tail == "lognormal":
        sigma = math.sqrt(math.log(1 + t.spread**2))
        return np.asarray(rng.lognormal(math.log(t.work) - sigma**2 / 2, sigma, n))
    # Pareto from a least value on: its shape follows from the spread, and is over 2.
    shape = 1 + math.sqrt(1 + 1 / t.spread**2)
    least = t.work * (shape - 1) / shape
    return np.asarray(least * (1 + rng.pareto(shape, n)))


def next_try(
    c: Clients, t: Traffic, op: Operation, tries: int, answer: str, hold_off: float, chance: float
) -> float | None:
    """Seconds until the client's next try, None for no further one.

    `answer` is rejected, terminated, broken (no answer will come) or left (the client gave up). Only a
    rejection says that trying again is harmless: after any other end retriable work alone is repeated."""
    if tries > c.retries or (answer != "rejected" and t.effect != "retriable"):
        return None
    wait = c.wait * {"none": 0.0, "fixed": 1.0, "exponential": 2.0 ** (tries - 1)}[c.backoff]
    if c.backoff == "exponential":
        wait *= 0.5 + chance
    return max(wait, hold_off) if op.honours else wait
