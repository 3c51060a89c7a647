"""Summary table and plot of an experiment."""

from __future__ import annotations

from typing import Any

from guavabarrow_cli.console import print_table
from guavabarrow_core.exceptions import GuavabarrowError


class PlotUnavailable(GuavabarrowError):
    """The plotting library of the extra ``plots`` is not installed."""


def print_summary(summary_by_variant: dict[str, dict[str, dict[str, float]]]) -> None:
    """Print a row for each measure and a column for each variant."""
    variants = list(summary_by_variant)
    measures = list(next(iter(summary_by_variant.values())))
    rows = []
    for measure in measures:
        cells = []
        for variant in variants:
            values = summary_by_variant[variant].get(measure)
            cells.append(
                "-"
                if values is None
                else f"{values['mean']:g} [{values['min']:g}, {values['max']:g}]"
            )
        rows.append((measure, *cells))
    print_table(("mean [min, max]", *variants), rows)


def save_plot(
    summary_by_variant: dict[str, dict[str, dict[str, float]]], path: str, title: str
) -> None:
    """Save a bar chart with error bars, one panel for each measure, as PNG or SVG.

    Raises
    ------
    PlotUnavailable
        If the extra ``plots`` is not installed.
    """
    try:
        from matplotlib.figure import Figure
    except ImportError as error:
        raise PlotUnavailable(
            "Install guavabarrow-cli[plots] to save a plot."
        ) from error
    measures = list(next(iter(summary_by_variant.values())))
    figure = Figure(figsize=(3 * len(measures), 3.5), layout="constrained")
    figure.suptitle(title)
    panels = figure.subplots(1, len(measures), squeeze=False)[0]
    for panel, measure in zip(panels, measures, strict=True):
        _draw_bars(panel, measure, summary_by_variant)
    figure.savefig(path)


def _draw_bars(
    panel: Any, measure: str, summary_by_variant: dict[str, dict[str, dict[str, float]]]
) -> None:
    names, means, lower_errors, upper_errors = [], [], [], []
    for variant, summary in summary_by_variant.items():
        values = summary.get(measure)
        if values is None:
            continue
        names.append(variant)
        means.append(values["mean"])
        lower_errors.append(values["mean"] - values["min"])
        upper_errors.append(values["max"] - values["mean"])
    panel.bar(
        names, means, yerr=(lower_errors, upper_errors), capsize=4, color="#6b8fb5"
    )
    panel.set_title(measure, fontsize=9)
    panel.tick_params(axis="x", labelrotation=20, labelsize=8)
