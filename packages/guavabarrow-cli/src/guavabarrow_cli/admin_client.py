"""Client of the operator interface of a VM."""

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

TIMEOUT_S = 15.0
IN_FORCE_LIMIT_S = 4.0
POLL_S = 0.1


class AdminRequestFailed(GuavabarrowError):
    """A VM refused an operator's request or could not be reached.

    Parameters
    ----------
    code : str
        Stable name of the failure.
    detail : str
        What happened and what to do.
    """

    def __init__(self, code: str, detail: str) -> None:
        super().__init__(f"{code}: {detail}")
        self.code = code
        self.detail = detail


@dataclass(frozen=True)
class ChangeReport:
    """Where a change is in force.

    Parameters
    ----------
    version : int
        Version that holds the change.
    in_force : list of str
        VMs that apply it.
    missing : list of str
        VMs, alive or not heard of lately, that do not apply it as far as is known.
    seconds : float
        Time from the request until it was in force or given up waiting for.
    """

    version: int
    in_force: list[str]
    missing: list[str]
    seconds: float


class AdminClient:
    """Blocking client.

    Parameters
    ----------
    address : str
        ``ip:port`` of the operator interface of any VM.
    secret : str
        Operators' secret.
    """

    def __init__(self, address: str, secret: str) -> None:
        self._address = address
        self._headers = {"Authorization": f"Bearer {secret}"}

    def fleet(self) -> Fleet:
        """Return the configuration in force at the VM."""
        return decode_fleet(self._request("GET", "/admin/v1/fleet"))

    def status(self) -> VmStatus:
        """Return the state of the VM and of the fleet as it sees it."""
        return msgspec.json.decode(
            self._request("GET", "/admin/v1/status"), type=VmStatus
        )

    def metrics(self) -> str:
        """Return the metrics in the Prometheus text format."""
        return self._request("GET", "/metrics").decode()

    def drain(self) -> None:
        """Ask the VM to drain and end."""
        self._request("POST", "/admin/v1/drain")

    def change(
        self,
        changes: list[Change],
        *,
        author: str,
        operation_id: str | None = None,
        base_version: int | None = None,
    ) -> ChangeReport:
        """Make a change and wait until it is in force.

        Parameters
        ----------
        changes : list of Change
            Applied all or none.
        author : str
            Who makes the change.
        operation_id : str, optional
            Repeat with the same id after a lost answer.
        base_version : int, optional
            Fails if the configuration has changed since.

        Returns
        -------
        ChangeReport
            Names the VMs that do not apply it yet.
        """
        started_at = time.monotonic()
        body = ChangeRequest(
            changes, operation_id or str(uuid4()), author, base_version
        )
        answer = self._request("POST", "/admin/v1/changes", msgspec.json.encode(body))
        version = msgspec.json.decode(answer, type=ChangeAnswer).version
        return self._wait_in_force(version, started_at)

    def _wait_in_force(self, version: int, started_at: float) -> ChangeReport:
        while True:
            status = self.status()
            in_force = [
                member.vm for member in status.members if member.version >= version
            ]
            missing = [
                member.vm for member in status.members if member.version < version
            ]
            elapsed_s = time.monotonic() - started_at
            if not missing or elapsed_s >= IN_FORCE_LIMIT_S:
                return ChangeReport(version, in_force, missing, round(elapsed_s, 3))
            time.sleep(POLL_S)

    def _request(self, method: str, path: str, body: bytes = b"") -> bytes:
        connection = HTTPConnection(self._address, timeout=TIMEOUT_S)
        try:
            connection.request(method, path, body, self._headers)
            response = connection.getresponse()
            content = response.read()
        except (OSError, HTTPException) as error:
            raise AdminRequestFailed(
                "unreachable", f"{self._address} does not answer: {error}"
            ) from error
        finally:
            connection.close()
        if response.status < 300:
            return content
        raise _failure(response.status, content)


def _failure(status: int, content: bytes) -> AdminRequestFailed:
    try:
        problem: Any = msgspec.json.decode(content, type=AdminProblem)
    except msgspec.MsgspecError:
        return AdminRequestFailed(f"http_{status}", "The VM refused the request.")
    return AdminRequestFailed(problem.code, problem.detail)
