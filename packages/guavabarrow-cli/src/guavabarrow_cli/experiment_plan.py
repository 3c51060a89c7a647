"""Plans of experiments: a layout, a load, faults, variants and repeats."""

from __future__ import annotations

from typing import Annotated, Literal

from pydantic import Field

from guavabarrow_cli.load_plan import Share
from guavabarrow_daemon.settings import PolicySettings, SettingsModel

Seconds = Annotated[float, Field(ge=0)]


class Fault(SettingsModel):
    """One fault of the schedule.

    Parameters
    ----------
    at_s : float
        Time after the start of the load.
    kind : str
        ``kill_primary`` stops the primary of a service and starts it again after
        ``for_s``; ``domain_out`` takes a failure domain out and back; ``store_down``
        takes the platform's store down; ``slow`` makes the statements of a service
        take ``statement_ms``; ``kill_vm`` stops a VM without a drain.
    subject : str
        Service, failure domain or VM.
    for_s : float
        Duration.
    statement_ms : float
        Only for ``slow``.
    """

    at_s: Seconds
    kind: Literal["kill_primary", "domain_out", "store_down", "slow", "kill_vm"]
    subject: str = ""
    for_s: Seconds = 3.0
    statement_ms: Seconds = 0.0


class Greedy(SettingsModel):
    """A team that sends a multiple of its rate for a while."""

    team: str
    factor: Annotated[float, Field(gt=1)] = 5.0
    at_s: Seconds = 0.0
    for_s: Seconds = 10.0


class ExperimentPlan(SettingsModel):
    """An experiment.

    Parameters
    ----------
    layout : str
        ``association`` or ``authority``.
    lag_ms, statement_ms : float
        Behaviour of the databases.
    duration_s : float
        Duration of the load.
    load : float
        Arrivals of each team as a share of its rate.
    reads, aged_reads, roaming : float
        Mix of the requests; see the load plan.
    max_age_ms : float
        Stated age of aged reads.
    faults : list of Fault
        Schedule.
    greedy : Greedy or None
        Team that exceeds its rate.
    variants : dict of str to PolicySettings
        Policies to compare in one run, keyed by name.
    seeds : list of int
        One repeat of each variant for each seed.
    """

    layout: Literal["association", "authority"]
    lag_ms: Seconds = 50.0
    statement_ms: Seconds = 1.0
    duration_s: Annotated[float, Field(gt=0)] = 20.0
    load: Annotated[float, Field(gt=0)] = 0.5
    reads: Share = 0.7
    aged_reads: Share = 0.3
    roaming: Share = 0.3
    max_age_ms: Seconds = 2000.0
    faults: list[Fault] = []
    greedy: Greedy | None = None
    variants: dict[str, PolicySettings] = {"candidate": PolicySettings()}
    seeds: list[int] = [1]
