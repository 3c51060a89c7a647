"""Plan of an experiment: layout, load, faults, variants and seeds."""

from __future__ import annotations

from typing import Annotated, Literal

from pydantic import Field

from guavabarrow_cli.load_plan import Share
from guavabarrow_daemon.settings import PolicySettings, SettingsModel

Seconds = Annotated[float, Field(ge=0)]


class Fault(SettingsModel):
    """A scheduled fault.

    Parameters
    ----------
    at_s : float
        Time after the start of the load, seconds.
    kind : str
        ``kill_primary`` stops the primary of a service and starts it again after
        ``for_s``; ``domain_out`` takes a failure domain out of service for ``for_s``;
        ``store_down`` makes the platform's store unavailable for ``for_s``; ``slow``
        makes the statements of a service take ``statement_ms`` for ``for_s``;
        ``kill_vm`` stops a VM without a drain and does not restart it.
    subject : str
        Affected service, failure domain or VM.
    for_s : float
        Duration, seconds.
    statement_ms : float
        Statement time during ``slow``, ms.
    """

    at_s: Seconds
    kind: Literal["kill_primary", "domain_out", "store_down", "slow", "kill_vm"]
    subject: str = ""
    for_s: Seconds = 3.0
    statement_ms: Seconds = 0.0


class GreedyTeam(SettingsModel):
    """A team that sends a multiple of its rate during an interval."""

    team: str
    factor: Annotated[float, Field(gt=1)] = 5.0
    at_s: Seconds = 0.0
    for_s: Seconds = 10.0


class ExperimentPlan(SettingsModel):
    """An experiment that compares policies under the same load and faults.

    Parameters
    ----------
    layout : str
        ``association`` or ``authority``.
    lag_ms, statement_ms : float
        Replication lag and statement time of the databases, ms.
    duration_s : float
        Duration of the load, seconds.
    load : float
        Arrival rate of each team as a share of its allowed rate.
    reads, aged_reads, roaming : float
        Mix of the requests, see :class:`TeamLoad`.
    max_age_ms : float
        Maximum age that aged reads accept, ms.
    faults : list of Fault
        Schedule of the faults.
    greedy : GreedyTeam or None
        Team that exceeds its rate.
    variants : dict of str to PolicySettings
        Policies to compare, keyed by the name of the variant.
    seeds : list of int
        Seeds; each variant runs once for each.
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
    greedy: GreedyTeam | None = None
    variants: dict[str, PolicySettings] = {"candidate": PolicySettings()}
    seeds: list[int] = [1]
