"""A short seeded run of the soak, in its own process."""

from __future__ import annotations

import os
import subprocess
import sys
from pathlib import Path

import pytest

pytestmark = pytest.mark.processes

TESTS = Path(__file__).parents[1]
TIMEOUT_S = 120


def test_a_short_run_breaks_no_rule(tmp_path):
    arguments = ["--seed", "1", "--vms", "6", "--duration", "12"]
    result = subprocess.run(
        [sys.executable, "-m", "soak", *arguments, "--logs", str(tmp_path)],
        cwd=TESTS,
        env={**os.environ, "PYTHONPATH": str(TESTS)},
        capture_output=True,
        text=True,
        timeout=TIMEOUT_S,
        check=False,
    )
    assert result.returncode == 0, result.stdout + result.stderr
