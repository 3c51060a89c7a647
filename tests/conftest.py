"""Fixtures for tests on real processes."""

from __future__ import annotations

from pathlib import Path

import pytest
from harness.world import World

KNOWN_RED = Path(__file__).parents[1] / "KNOWN-RED.txt"
KNOWN_RED_TEST = "test, flaky: "


@pytest.fixture
def world(tmp_path: Path):
    """A fleet that the steps of a scenario act on."""
    world = World(tmp_path)
    yield world
    world.stop()


def pytest_collection_modifyitems(items):
    """Run the tests that KNOWN-RED.txt names, and pass over their failures alone."""
    known = {
        line.removeprefix(KNOWN_RED_TEST).partition(": ")[0]
        for line in KNOWN_RED.read_text().splitlines()
        if line.startswith(KNOWN_RED_TEST)
    }
    for item in items:
        if item.nodeid in known:
            item.add_marker(pytest.mark.xfail(reason="KNOWN-RED.txt", strict=False))
