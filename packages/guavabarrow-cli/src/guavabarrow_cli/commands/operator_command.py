"""Base class of the commands that change or show the fleet."""

from __future__ import annotations

import getpass
import os
from pathlib import Path
from typing import TYPE_CHECKING

from guavabarrow_cli.admin_client import AdminClient, AdminRequestFailed, ChangeReport
from guavabarrow_cli.console import (
    EXIT_NOT_APPLIED,
    EXIT_USAGE,
    fail,
    print_json,
    print_line,
)

if TYPE_CHECKING:
    from guavabarrow_core.fleet_change import Change

DEFAULT_ADMIN_ADDRESS = "127.0.0.1:7001"
SECRET_ENV_VAR = "GUAVABARROW_ADMIN_SECRET"


class OperatorCommand:
    """Calls the operator interface of a VM and prints the result of a change.

    Parameters
    ----------
    admin : str
        Operator address of any VM, ``ip:port``.
    secret_file : str, optional
        File with the operator secret; defaults to the environment variable
        ``GUAVABARROW_ADMIN_SECRET``.
    json : bool
        Print JSON.
    operation_id : str, optional
        Id printed by an earlier attempt, to retry a change whose response was lost.
    base_version : int, optional
        Reject the change if the configuration is newer than this version.
    """

    def __init__(
        self,
        admin: str = DEFAULT_ADMIN_ADDRESS,
        secret_file: str | None = None,
        json: bool = False,
        operation_id: str | None = None,
        base_version: int | None = None,
    ) -> None:
        self._admin = admin
        self._secret_file = secret_file
        self._json = json
        self._operation_id = operation_id
        self._base_version = base_version

    def _client(self) -> AdminClient:
        if self._secret_file is not None:
            secret = Path(self._secret_file).read_text(encoding="utf-8").strip()
        else:
            secret = os.environ.get(SECRET_ENV_VAR, "")
        if not secret:
            fail(f"Set {SECRET_ENV_VAR} or give --secret_file.", EXIT_USAGE)
        return AdminClient(self._admin, secret)

    def _apply_changes(self, *changes: Change) -> None:
        try:
            report = self._client().change(
                list(changes),
                author=getpass.getuser(),
                operation_id=self._operation_id,
                base_version=self._base_version,
            )
        except AdminRequestFailed as error:
            fail(str(error))
        self._print_report(report)

    def _print_report(self, report: ChangeReport) -> None:
        if self._json:
            print_json(report)
        else:
            print_line(f"accepted as version {report.version}")
        if not report.missing:
            if not self._json:
                count = len(report.in_force)
                print_line(f"in force at all {count} VMs after {report.seconds} s")
            return
        names = ", ".join(report.missing)
        fail(f"not yet in force at: {names}", EXIT_NOT_APPLIED)
