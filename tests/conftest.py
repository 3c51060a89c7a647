"""Fixtures for tests on real processes."""

from __future__ import annotations

import sys
from pathlib import Path

import pytest

sys.path.insert(0, str(Path(__file__).resolve().parent))

from harness.world import World


@pytest.fixture
def world(tmp_path: Path):
    """A fleet that the steps of a scenario act on."""
    world = World(tmp_path)
    yield world
    world.stop()
