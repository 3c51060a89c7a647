"""Command ``guavabarrow experiment``."""

from __future__ import annotations

from dataclasses import asdict
from pathlib import Path

import jsonc
from loguru import logger
from pydantic import ValidationError
from twisted.internet import reactor

from guavabarrow_cli.console import EXIT_USAGE, fail, print_json, print_line
from guavabarrow_cli.experiment_measures import Measures, summarize
from guavabarrow_cli.experiment_plan import ExperimentPlan
from guavabarrow_cli.experiment_report import print_summary, save_plot
from guavabarrow_cli.experiment_runner import ExperimentRunner
from guavabarrow_cli.run_in_reactor import run_in_reactor
from guavabarrow_daemon.settings import describe_mistakes


def experiment(plan: str, json: bool = False, plot: str | None = None) -> None:
    """Run an experiment and print the five measures of each variant.

    Parameters
    ----------
    plan : str
        Plan file, JSON with comments; see experiments/.
    json : bool
        Print JSON, including every run.
    plot : str, optional
        Save a plot to this file, ``.png`` or ``.svg``.
    """
    try:
        experiment_plan = ExperimentPlan.model_validate(
            jsonc.loads(Path(plan).read_text("utf-8"))
        )
    except ValidationError as error:
        fail("\n".join(describe_mistakes(plan, error)), EXIT_USAGE)
    except (OSError, ValueError) as error:
        fail(f"{plan}: cannot be read: {error}", EXIT_USAGE)
    logger.remove()

    def print_run(variant: str, seed: int, measures: Measures) -> None:
        if not json:
            print_line(f"{variant}, seed {seed}: {asdict(measures)}")

    runner = ExperimentRunner(experiment_plan, reactor, print_run)
    runs = run_in_reactor(reactor, runner.run)
    summary = {name: summarize(measures) for name, measures in runs.items()}
    if json:
        print_json(
            {"plan": experiment_plan.model_dump(), "runs": runs, "summary": summary}
        )
    else:
        print_summary(summary)
    if plot is not None:
        save_plot(summary, plot, Path(plan).stem)
