"""One HTML file that needs no network: the table of variants, and plots over time with the faults shaded."""

from __future__ import annotations

import io
from collections.abc import Callable
from pathlib import Path
from typing import Any

import jinja2
import matplotlib
import numpy as np
from markupsafe import Markup

matplotlib.use("svg")
matplotlib.rcParams.update(
    {
        "svg.hashsalt": "rainspindle",
        "font.size": 9,
        "axes.grid": True,
        "grid.alpha": 0.3,
        "figure.figsize": (10, 2.8),
    }
)

from matplotlib import pyplot  # noqa: E402 (after the backend is chosen)
from matplotlib.axes import Axes  # noqa: E402

SHOWN = (
    "goodput",
    "finished",
    "rejected",
    "terminated",
    "p50_ms",
    "p99_ms",
    "tries",
    "busiest",
    "worst_second",
    "recovery_s",
    "wasted",
    "rules_broken",
    "executions_twice",
)
OVER_TIME = (
    ("Goodput", "goodput", "part of the value asked for"),
    ("Latency, median", "p50_ms", "ms"),
    ("Latency, 99% quantile", "p99_ms", "ms"),
    ("Rejections", "rejected", "a second"),
    ("Tries for each operation", "tries", "tries"),
)


def mean_series(variant: dict[str, Any], name: str) -> np.ndarray:
    """By second, over the seeds; where nothing was measured, nothing is drawn."""
    rows = [run["series"][name] for run in variant["runs"].values() if run["series"]]
    values = np.array([[np.nan if v is None else v for v in row] for row in rows], dtype=float)
    known = ~np.isnan(values)
    counts = known.sum(axis=0)
    means = np.full(values.shape[1], np.nan)
    np.divide(np.where(known, values, 0.0).sum(axis=0), counts, where=counts > 0, out=means)
    return means


def plot(shaded: list[Any], draw: Callable[[Axes], None]) -> str:
    figure, axes = pyplot.subplots(layout="constrained")
    for n, (begin, end, what) in enumerate(shaded):
        axes.axvspan(begin, end, alpha=0.12, color=f"C{n % 5 + 3}", label=what)
    draw(axes)
    if axes.get_legend_handles_labels()[0]:
        axes.legend(loc="center left", bbox_to_anchor=(1.0, 0.5), fontsize=8)
    text = io.StringIO()
    figure.savefig(text, format="svg", metadata={"Date": None})
    pyplot.close(figure)
    svg = text.getvalue()
    return svg[svg.index("<svg") :]


def plots(found: dict[str, Any]) -> list[tuple[str, str]]:
    variants = {n: v for n, v in found["variants"].items() if v["mean"]}
    drawn = []
    for title, name, unit in OVER_TIME:

        def over_time(axes: Axes, name: str = name, unit: str = unit) -> None:
            for variant, v in variants.items():
                axes.plot(mean_series(v, name), label=variant, linewidth=1.3)
            axes.set(xlabel="s", ylabel=unit)

        drawn.append((title, plot(found["shaded"], over_time)))

    def distribution(axes: Axes) -> None:
        for variant, v in variants.items():
            runs = [run["series"] for run in v["runs"].values() if run["series"]]
            counts = np.sum([run["latency_counts"] for run in runs], axis=0)
            parts = np.cumsum(counts) / max(counts.sum(), 1)
            axes.step(runs[0]["latency_edges_ms"][1:], parts, label=variant)
        axes.set(xscale="log", xlabel="ms", ylabel="part answered by then")

    drawn.append(("Latency distribution", plot([], distribution)))
    for variant, v in variants.items():

        def load(axes: Axes, v: dict[str, Any] = v) -> None:
            first = next(run["series"] for run in v["runs"].values() if run["series"])
            axes.grid(False)
            image = axes.imshow(np.array(first["load"]), aspect="auto", interpolation="nearest")
            axes.figure.colorbar(image, label="work arriving a second")
            axes.set(xlabel="s", ylabel="endpoint")

        drawn.append((f"Load by endpoint, {variant}, first seed", plot([], load)))
    return drawn


def write(out: Path, found: dict[str, Any]) -> Path:
    """Writes report.html beside the results and gives its path."""
    folder = Path(__file__).parent
    environment = jinja2.Environment(
        loader=jinja2.FileSystemLoader(folder), autoescape=True, trim_blocks=True, lstrip_blocks=True
    )
    drawn = [(title, Markup(svg)) for title, svg in plots(found)]
    path = out / "report.html"
    path.write_text(environment.get_template("report.html").render(r=found, plots=drawn, shown=SHOWN))
    return path
