"""Short seeded runs of the soak, each in its own process."""

from __future__ import annotations

import os
import subprocess
import sys
from pathlib import Path

import pytest

pytestmark = pytest.mark.processes

TESTS = Path(__file__).parents[1]
DURATION_S = 12
TIMEOUT_S = 120


def run_soak(folder: Path, *arguments: str) -> None:
    result = subprocess.run(
        [sys.executable, "-m", "soak", *arguments, "--logs", str(folder)]
        + ["--duration", str(DURATION_S)],
        cwd=TESTS,
        env={**os.environ, "PYTHONPATH": str(TESTS)},
        capture_output=True,
        text=True,
        timeout=TIMEOUT_S,
        check=False,
    )
    assert result.returncode == 0, result.stdout + result.stderr


def test_a_short_run_breaks_no_rule(tmp_path):
    run_soak(tmp_path, "--seed", "1")


@pytest.mark.parametrize(
    ("seed", "fault"),
    [
        # A VM that the store turned away took an old configuration from the first
        # peer that it linked to, and served by it for a second.
        (100, "return_beside_stale_peer"),
        # Changes were never in force after the store had returned from an older copy.
        (1, "return_store"),
    ],
)
def test_a_seed_that_failed_breaks_no_rule(tmp_path, seed, fault):
    run_soak(tmp_path, "--seed", str(seed), "--only", fault)
