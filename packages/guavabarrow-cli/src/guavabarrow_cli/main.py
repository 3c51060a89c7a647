"""Entry point of the command ``guavabarrow``."""

from __future__ import annotations

import fire

from guavabarrow_cli.commands.beliefs_command import beliefs
from guavabarrow_cli.commands.demo_command import demo
from guavabarrow_cli.commands.experiment_command import experiment
from guavabarrow_cli.commands.explain_command import explain
from guavabarrow_cli.commands.fleet_commands import (
    DomainCommand,
    FleetCommand,
    KeyCommand,
    TargetCommand,
    TeamCommand,
    TemplateCommand,
)
from guavabarrow_cli.commands.load_command import load
from guavabarrow_cli.commands.replay_command import replay
from guavabarrow_cli.commands.report_command import ReportCommand
from guavabarrow_cli.commands.route_command import route
from guavabarrow_cli.commands.standin_commands import StandinCommand
from guavabarrow_cli.commands.vm_commands import StatusCommand, VmCommand

COMMANDS = {
    "beliefs": beliefs,
    "demo": demo,
    "domain": DomainCommand,
    "experiment": experiment,
    "explain": explain,
    "fleet": FleetCommand,
    "key": KeyCommand,
    "load": load,
    "replay": replay,
    "report": ReportCommand,
    "route": route,
    "standin": StandinCommand,
    "status": StatusCommand,
    "target": TargetCommand,
    "team": TeamCommand,
    "template": TemplateCommand,
    "vm": VmCommand,
}


def main() -> None:
    """Run the command line."""
    fire.Fire(COMMANDS, name="guavabarrow")


if __name__ == "__main__":
    main()
