"""Fixtures for tests of the platform adapter on real processes."""

from __future__ import annotations

import pytest
from local_deployment import LocalDeployment


@pytest.fixture
def deployment(tmp_path):
    """Yield a deployment of stand-ins without VMs; stop everything afterwards."""
    deployment = LocalDeployment(tmp_path)
    yield deployment
    deployment.stop()
