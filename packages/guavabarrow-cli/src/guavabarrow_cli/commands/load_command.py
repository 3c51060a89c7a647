"""Command ``guavabarrow load``."""

from __future__ import annotations

import sys
from pathlib import Path

import jsonc
from loguru import logger
from pydantic import ValidationError
from twisted.internet import reactor

from guavabarrow_cli.console import EXIT_USAGE, fail, print_json, print_table
from guavabarrow_cli.load_plan import LoadPlan
from guavabarrow_cli.load_runner import LoadRunner
from guavabarrow_cli.run_in_reactor import run_in_reactor
from guavabarrow_daemon.settings import describe_mistakes

BAR_WIDTH = 40


def load(plan: str, json: bool = False) -> None:
    """Run an open-loop load test and print the results per team.

    Parameters
    ----------
    plan : str
        Plan file, JSON with comments; see docs/operators/load.md.
    json : bool
        Print JSON, including all percentiles.
    """
    load_plan = _read_plan(plan)
    logger.remove()
    progress = None if json or not sys.stderr.isatty() else _show_progress
    runner = LoadRunner(load_plan, reactor, on_progress=progress)
    result = run_in_reactor(reactor, runner.run)
    if json:
        print_json(result.to_document())
        return
    print_table(
        ("team", "sent", "served", "p50 ms", "p99 ms", "refusals"),
        [
            (
                team.team,
                team.sent,
                f"{team.served_share:.4f}",
                team.latency.get_value_at_percentile(50) / 1000,
                team.latency.get_value_at_percentile(99) / 1000,
                _format_errors(team.count_by_code),
            )
            for team in result.by_team.values()
        ],
    )


def _read_plan(path: str) -> LoadPlan:
    try:
        return LoadPlan.model_validate(jsonc.loads(Path(path).read_text("utf-8")))
    except ValidationError as error:
        fail("\n".join(describe_mistakes(path, error)), EXIT_USAGE)
    except (OSError, ValueError) as error:
        fail(f"{path}: cannot be read: {error}", EXIT_USAGE)


def _show_progress(share: float) -> None:
    filled = int(min(1.0, share) * BAR_WIDTH)
    sys.stderr.write(f"\r[{'#' * filled}{'.' * (BAR_WIDTH - filled)}]")
    if share >= 1.0:
        sys.stderr.write("\n")


def _format_errors(count_by_code: dict[str, int]) -> str:
    count_by_error = {code: n for code, n in count_by_code.items() if code != "ok"}
    return (
        ", ".join(f"{code} {n}" for code, n in sorted(count_by_error.items())) or "none"
    )
