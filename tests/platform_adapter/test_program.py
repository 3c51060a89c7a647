"""The program of a VM, from the first moment of its process."""

from __future__ import annotations

import os
import subprocess
import sys

EXIT_STUB = 7
"""Exit status of the module that stands in for a library."""


def test_a_signal_to_reload_during_the_start_does_not_end_the_process(tmp_path):
    """Its default action did, until the handler was set after half a second."""
    module = (
        "import os, signal\nos.kill(os.getpid(), signal.SIGHUP)\nraise SystemExit(7)\n"
    )
    (tmp_path / "loguru.py").write_text(module)
    run = subprocess.run(
        [sys.executable, "-m", "guavabarrow_platform"],
        env={**os.environ, "PYTHONPATH": str(tmp_path)},
        timeout=30,
    )
    assert run.returncode == EXIT_STUB
