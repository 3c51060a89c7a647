"""Client of the admin API of a VM."""

from __future__ import annotations

import time
from dataclasses import dataclass
from http.client import HTTPConnection, HTTPException
from typing import TYPE_CHECKING, Any
from uuid import uuid4

import msgspec

from guavabarrow_core.exceptions import GuavabarrowError
from guavabarrow_core.fleet import Fleet, decode_fleet
from guavabarrow_daemon.admin_api import (
    AdminProblem,
    ChangeAnswer,
    ChangeRequest,
    VmStatus,
)

if TYPE_CHECKING:
    from guavabarrow_core.fleet_change import Change

REQUEST_TIMEOUT_S = 15.0
APPLY_TIMEOUT_S = 4.0
POLL_INTERVAL_S = 0.1


class AdminRequestFailed(GuavabarrowError):
    """A VM rejected an admin request or could not be reached.

    Parameters
    ----------
    code : str
        Stable identifier of the failure.
    detail : str
        What happened and what to do.
    """

    def __init__(self, code: str, detail: str) -> None:
        super().__init__(f"{code}: {detail}")
        self.code = code
        self.detail = detail


@dataclass(frozen=True)
class ChangeReport:
    """VMs at which a change is applied.

    Parameters
    ----------
    version : int
        Configuration version that contains the change.
    in_force : list of str
        VMs that have applied it.
    missing : list of str
        VMs, alive or without recent contact, whose last reported version is older.
    seconds : float
        Time from the request until every VM had applied it or the wait timed out.
    """

    version: int
    in_force: list[str]
    missing: list[str]
    seconds: float


class AdminClient:
    """Blocking client of the admin API.

    Parameters
    ----------
    address : str
        ``ip:port`` of the admin API of any VM.
    secret : str
        Admin secret.
    """

    def __init__(self, address: str, secret: str) -> None:
        self._address = address
        self._headers = {"Authorization": f"Bearer {secret}"}

    def fleet(self) -> Fleet:
        """Return the VM's current configuration."""
        return decode_fleet(self._request("GET", "/admin/v1/fleet"))

    def status(self) -> VmStatus:
        """Return the state of the VM and its view of the fleet."""
        return msgspec.json.decode(
            self._request("GET", "/admin/v1/status"), type=VmStatus
        )

    def metrics(self) -> str:
        """Return the metrics in the Prometheus text format."""
        return self._request("GET", "/metrics").decode()

    def drain(self) -> None:
        """Request that the VM drain and exit."""
        self._request("POST", "/admin/v1/drain")

    def change(
        self,
        changes: list[Change],
        *,
        author: str,
        operation_id: str | None = None,
        base_version: int | None = None,
    ) -> ChangeReport:
        """Submit changes and wait until every VM has applied them.

        Parameters
        ----------
        changes : list of Change
            Applied atomically.
        author : str
            Author recorded with the change.
        operation_id : str, optional
            Id for retries: a repeat after a lost response uses the same id.
        base_version : int, optional
            The change fails if the configuration has changed since this version.

        Returns
        -------
        ChangeReport
            Lists the VMs that have not applied the changes after ``APPLY_TIMEOUT_S``.
        """
        started_at = time.monotonic()
        body = ChangeRequest(
            changes, operation_id or str(uuid4()), author, base_version
        )
        response = self._request("POST", "/admin/v1/changes", msgspec.json.encode(body))
        version = msgspec.json.decode(response, type=ChangeAnswer).version
        return self._wait_until_applied(version, started_at)

    def _wait_until_applied(self, version: int, started_at: float) -> ChangeReport:
        while True:
            status = self.status()
            in_force = [
                member.vm for member in status.members if member.version >= version
            ]
            missing = [
                member.vm for member in status.members if member.version < version
            ]
            elapsed_s = time.monotonic() - started_at
            if not missing or elapsed_s >= APPLY_TIMEOUT_S:
                return ChangeReport(version, in_force, missing, round(elapsed_s, 3))
            time.sleep(POLL_INTERVAL_S)

    def _request(self, method: str, path: str, body: bytes = b"") -> bytes:
        connection = HTTPConnection(self._address, timeout=REQUEST_TIMEOUT_S)
        try:
            connection.request(method, path, body, self._headers)
            response = connection.getresponse()
            content = response.read()
        except (OSError, HTTPException) as error:
            raise AdminRequestFailed(
                "unreachable", f"no response from {self._address}: {error}"
            ) from error
        finally:
            connection.close()
        if response.status < 300:
            return content
        raise _parse_failure(response.status, content)


def _parse_failure(status: int, content: bytes) -> AdminRequestFailed:
    try:
        problem: Any = msgspec.json.decode(content, type=AdminProblem)
    except msgspec.MsgspecError:
        return AdminRequestFailed(f"http_{status}", "The VM rejected the request.")
    return AdminRequestFailed(problem.code, problem.detail)
