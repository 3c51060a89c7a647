"""Runs an experiment sequentially, with a new embedded fleet for each run."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING, Any

from twisted.internet.defer import Deferred
from twisted.internet.task import deferLater

from guavabarrow_cli.embedded_fleet import EmbeddedFleet
from guavabarrow_cli.experiment_measures import Measures, compute_measures
from guavabarrow_cli.layouts import create_layout
from guavabarrow_cli.load_plan import LoadPlan, Surge, TeamLoad
from guavabarrow_cli.load_runner import LoadRunner
from guavabarrow_core.exceptions import GuavabarrowError
from guavabarrow_core.fleet import DomainState
from guavabarrow_core.fleet_change import SetDomainState
from guavabarrow_daemon.configuration_service import ConfigurationService
from guavabarrow_daemon.group_service import GroupService

if TYPE_CHECKING:
    from collections.abc import Callable

    from guavabarrow_cli.experiment_plan import ExperimentPlan, Fault
    from guavabarrow_core.fleet_change import Change
    from guavabarrow_daemon.entry_vm import EntryVm
    from guavabarrow_daemon.settings import PolicySettings

WARM_UP_S = 2.0


class ExperimentFailed(GuavabarrowError):
    """A fault could not be injected."""


class ExperimentRunner:
    """Runs each variant of a plan once for each seed.

    Parameters
    ----------
    plan : ExperimentPlan
        Plan to run.
    reactor : object
        Reactor on which the fleets run.
    on_run_complete : callable
        Called after each run with variant, seed and measures.
    """

    def __init__(
        self,
        plan: ExperimentPlan,
        reactor: Any,
        on_run_complete: Callable[[str, int, Measures], None],
    ) -> None:
        self._plan = plan
        self._reactor = reactor
        self._on_run_complete = on_run_complete

    async def run(self) -> dict[str, list[Measures]]:
        """Run all variants, alternating, so that noise affects all of them equally.

        Returns
        -------
        dict of str to list of Measures
            Measures in order of the seeds, keyed by variant.
        """
        runs: dict[str, list[Measures]] = {name: [] for name in self._plan.variants}
        for seed in self._plan.seeds:
            for name, policies in self._plan.variants.items():
                measures = await self._run_once(policies, seed)
                runs[name].append(measures)
                self._on_run_complete(name, seed, measures)
        return runs

    async def _run_once(self, policies: PolicySettings, seed: int) -> Measures:
        plan = self._plan
        layout = create_layout(
            plan.layout, lag_ms=plan.lag_ms, statement_ms=plan.statement_ms
        )
        layout = replace(layout, policies=policies.model_dump())
        fleet = EmbeddedFleet(layout, self._reactor)
        await fleet.start()
        await self._sleep(WARM_UP_S)
        runner = LoadRunner(self._create_load_plan(fleet, seed), self._reactor)
        injections = [
            Deferred.fromCoroutine(self._inject_fault(fleet, runner, fault))
            for fault in plan.faults
        ]
        result = await runner.run()
        for injection in injections:
            await injection
        await fleet.stop()
        return compute_measures(plan, layout, result)

    def _create_load_plan(self, fleet: EmbeddedFleet, seed: int) -> LoadPlan:
        plan = self._plan
        teams = []
        for team in fleet.layout.teams:
            surge = None
            if plan.greedy is not None and plan.greedy.team == team.name:
                surge = Surge(
                    factor=plan.greedy.factor / plan.load,
                    at_s=plan.greedy.at_s,
                    for_s=plan.greedy.for_s,
                )
            teams.append(
                TeamLoad(
                    team=team.name,
                    key=team.key,
                    services=list(team.services),
                    rate_per_s=team.rate_per_s * plan.load,
                    sessions=max(8, int(team.rate_per_s / 5)),
                    reads=plan.reads,
                    aged_reads=plan.aged_reads,
                    max_age_ms=plan.max_age_ms,
                    roaming=plan.roaming,
                    surge=surge,
                )
            )
        addresses = [
            "{}:{}".format(*fleet.caller_address(vm)) for vm in fleet.settings_by_vm
        ]
        return LoadPlan(
            addresses=addresses, teams=teams, duration_s=plan.duration_s, seed=seed
        )

    async def _inject_fault(
        self, fleet: EmbeddedFleet, runner: LoadRunner, fault: Fault
    ) -> None:
        await runner.started
        await self._sleep(fault.at_s)
        match fault.kind:
            case "kill_primary":
                await self._kill_primary(fleet, fault)
            case "domain_out":
                await self._take_domain_out(fleet, fault)
            case "store_down":
                fleet.platform.faults.down = True
                await self._sleep(fault.for_s)
                fleet.platform.faults.down = False
            case "slow":
                await self._slow_statements(fleet, fault)
            case "kill_vm":
                await fleet.stop_vm(fault.subject)

    async def _kill_primary(self, fleet: EmbeddedFleet, fault: Fault) -> None:
        group = self._first_vm(fleet).kernel.find(GroupService).find(fault.subject)
        primary = group.view.primary
        if primary is None:
            raise ExperimentFailed(f"{fault.subject} has no primary to stop.")
        await fleet.stop_database(primary.database)
        await self._sleep(fault.for_s)
        fleet.restart_database(primary.database)

    async def _take_domain_out(self, fleet: EmbeddedFleet, fault: Fault) -> None:
        out_of_service = SetDomainState(fault.subject, DomainState.OUT_OF_SERVICE)
        await self._apply_change(fleet, out_of_service)
        await self._sleep(fault.for_s)
        await self._apply_change(
            fleet, SetDomainState(fault.subject, DomainState.IN_SERVICE)
        )

    async def _slow_statements(self, fleet: EmbeddedFleet, fault: Fault) -> None:
        databases = [
            database
            for name, database in fleet.database_by_name.items()
            if name.startswith(fault.subject)
        ]
        for database in databases:
            database.faults.statement_ms = fault.statement_ms
        await self._sleep(fault.for_s)
        for database in databases:
            database.faults.statement_ms = self._plan.statement_ms

    async def _apply_change(self, fleet: EmbeddedFleet, change: Change) -> None:
        configuration = self._first_vm(fleet).kernel.find(ConfigurationService)
        await configuration.change(
            (change,),
            base_version=None,
            operation_id=f"experiment-{self._reactor.seconds()}",
            author="experiment",
        )

    def _first_vm(self, fleet: EmbeddedFleet) -> EntryVm:
        return next(iter(fleet.vm_by_name.values()))

    def _sleep(self, duration_s: float) -> Deferred[None]:
        return deferLater(self._reactor, duration_s, lambda: None)
