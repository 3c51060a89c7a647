"""Fixtures for tests of the platform adapter on real processes."""

from __future__ import annotations

import pytest
from session_world import SessionWorld


@pytest.fixture
def session_world(tmp_path):
    """Stand-ins of the platform, and VMs that a test starts."""
    world = SessionWorld(tmp_path)
    yield world
    world.stop()
