"""Runs the soak: ``python -m soak --seed 1 --runs 3 --vms 6 --duration 40``."""

from __future__ import annotations

import signal
import sys
import tempfile
from pathlib import Path

from fire import Fire

from soak.runner import run_soak


def main(
    seed: int = 1,
    runs: int = 1,
    vms: int = 6,
    duration: float = 40.0,
    product: str | None = None,
    logs: str | None = None,
    only: str | None = None,
) -> None:
    """Run consecutive seeds; exit with 1 if a rule was broken.

    Parameters
    ----------
    seed : int
        Seed of the first run.
    runs : int
        Number of runs.
    vms : int
        Number of VMs.
    duration : float
        Time for which faults are injected, in s.
    product : str, optional
        Checkout whose product code is run, by default the installed one.
    logs : str, optional
        Folder for the logs, by default a temporary one.
    only : str, optional
        The only kind of fault, by default all: ``kill``, ``kill_several``,
        ``terminate``, ``freeze``, ``lose_all``, ``return_beside_stale_peer``,
        ``return_to_slow_store``, ``return_store``, ``harm_store``, ``harm_links`` or
        ``harm_databases``.
    """
    # All processes of the run are stopped as well.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(1))
    folder = Path(logs or tempfile.mkdtemp(prefix="soak-"))
    checkout = Path(product) if product else None
    failed = [
        number
        for number in range(seed, seed + runs)
        if not run_soak(
            number, vms, duration, checkout, folder / f"seed-{number}", only
        )
    ]
    print(f"{runs - len(failed)} of {runs} runs passed; failed: {failed}; {folder}")
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    Fire(main)
