"""What a host holds for one other VM whose statements it runs."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from guavabarrow_core.service_host import MessageDelay

if TYPE_CHECKING:
    from guavabarrow_daemon.front.statement_context import OpenTransaction


@dataclass(slots=True)
class HostedWork:
    """A transaction of another VM, from its BEGIN on.

    Parameters
    ----------
    service : str
        Service of its target.
    last_active_at : float
        Local time of its last message or answer, in s.
    transaction : OpenTransaction or None
        The transaction, None until it is open.
    is_running : bool
        Whether one of its statements, BEGIN included, is running.
    is_committing : bool
        Whether that is COMMIT.
    is_cancelled : bool
        Whether it is to be rolled back as soon as the running statement allows.
    """

    service: str
    last_active_at: float
    transaction: OpenTransaction | None = None
    is_running: bool = True
    is_committing: bool = False
    is_cancelled: bool = False


@dataclass(slots=True)
class Origin:
    """A VM whose statements this VM runs, for as long as one link to it lasts.

    A new incarnation of the VM has a new link, and so a new instance.

    Parameters
    ----------
    vm : str
        The VM.
    delay : MessageDelay
        Delay of its messages.
    running_by_service : Counter of str
        Statements that are running.
    work_by_number : dict of int to HostedWork
        Its open transactions.
    has_left : bool
        Whether the link has ended, so that answers don't reach it any more.
    """

    vm: str
    delay: MessageDelay = field(default_factory=MessageDelay)
    running_by_service: Counter[str] = field(default_factory=Counter)
    work_by_number: dict[int, HostedWork] = field(default_factory=dict)
    has_left: bool = False

    @property
    def open_work(self) -> int:
        """Number of running statements and open transactions."""
        return self.running_by_service.total() + len(self.work_by_number)

    def count_transactions(self, service: str) -> int:
        """Return the number of open transactions at a service."""
        return sum(work.service == service for work in self.work_by_number.values())
