"""Plots of the benchmark figures."""

from __future__ import annotations

import pathlib

import matplotlib

matplotlib.use("Agg")

from matplotlib import pyplot

_PATH_BARS = ("idle_direct_ms", "idle_ms", "load_direct_ms", "load_ms")
_PERCENTILES = ("p50", "p90", "p99")
_BAR_WIDTH = 0.25


def draw_all(report: dict, directory: pathlib.Path) -> list[str]:
    """Draws the plots of all parts with figures; returns the file names."""
    file_names = []
    draw_functions = {"path": _draw_path, "capacity": _draw_capacity}
    for name, draw in draw_functions.items():
        figures = report["parts"].get(name, {}).get("figures")
        if not figures:
            continue
        figure, axes = pyplot.subplots(figsize=(8, 4.5))
        draw(figures, axes)
        figure.tight_layout()
        figure.savefig(directory / f"{name}.png", dpi=110)
        pyplot.close(figure)
        file_names.append(f"{name}.png")
    return file_names


def _draw_path(figures: dict, axes: pyplot.Axes) -> None:
    for offset, percentile in enumerate(_PERCENTILES):
        heights = [figures[bar].get(percentile, 0) for bar in _PATH_BARS]
        positions = [n + offset * _BAR_WIDTH for n in range(len(_PATH_BARS))]
        axes.bar(positions, heights, _BAR_WIDTH, label=percentile)
    axes.set_xticks([n + _BAR_WIDTH for n in range(len(_PATH_BARS))])
    axes.set_xticklabels([b.removesuffix("_ms") for b in _PATH_BARS])
    axes.set_yscale("log")
    axes.set_ylabel("response time, ms")
    axes.legend()


def _draw_capacity(figures: dict, axes: pyplot.Axes) -> None:
    for name, steps in figures.items():
        if not name.endswith("_steps"):
            continue
        rates = [step["tasks_per_second"] for step in steps]
        p99s = [step["p99_ms"] for step in steps]
        axes.plot(rates, p99s, marker="o", label=name.removesuffix("_steps"))
    axes.set_xscale("log")
    axes.set_yscale("log")
    axes.set_xlabel("tasks per second")
    axes.set_ylabel("p99 of the response time, ms")
    axes.legend()
