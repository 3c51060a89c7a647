"""Applies each mutation to a copy of the core and reports the surviving ones.

A mutation survives if its test still passes. Run ``make mutations``; it is not part
of CI.
"""

from __future__ import annotations

import os
import shutil
import subprocess
import sys
import tempfile
from pathlib import Path

from mutations.catalogue import MUTATIONS, Mutation

CORE = Path(__file__).parents[2] / "packages" / "guavabarrow-core"


def survives(mutation: Mutation) -> bool:
    """Return whether the test still passes with the mutation."""
    with tempfile.TemporaryDirectory() as folder:
        copy = Path(folder) / "core"
        shutil.copytree(CORE, copy, ignore=shutil.ignore_patterns("__pycache__"))
        module = copy / "src" / "guavabarrow_core" / f"{mutation.module}.py"
        source = module.read_text()
        if source.count(mutation.old) != 1:
            raise SystemExit(
                f"{mutation.module}: {mutation.old!r} does not occur exactly once"
            )
        module.write_text(source.replace(mutation.old, mutation.new))
        paths = os.pathsep.join([str(copy / "src"), str(copy / "tests")])
        result = subprocess.run(
            [
                sys.executable,
                "-m",
                "pytest",
                "-q",
                "-x",
                "-p",
                "no:cacheprovider",
                "-c",
                os.devnull,
                str(copy / "tests" / f"{mutation.test}.py"),
            ],
            env={**os.environ, "PYTHONPATH": paths},
            capture_output=True,
            check=False,
        )
        if result.returncode not in (0, 1):
            raise SystemExit(result.stdout.decode() + result.stderr.decode())
        return result.returncode == 0


def main() -> None:
    """Test all mutations; exit with 1 if one survives."""
    survivors = 0
    for mutation in MUTATIONS:
        has_survived = survives(mutation)
        survivors += has_survived
        outcome = "SURVIVED" if has_survived else "killed"
        print(f"{outcome}: {mutation.module}: {mutation.new}", flush=True)
    print(f"{len(MUTATIONS) - survivors} killed, {survivors} survived")
    sys.exit(1 if survivors else 0)


if __name__ == "__main__":
    main()
