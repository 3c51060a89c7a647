"""Command ``guavabarrow route`` against the metrics address of a VM process."""

from __future__ import annotations

import json

import pytest
from local_deployment import KEY, TEAM

from guavabarrow_cli.commands.route_command import route

pytestmark = pytest.mark.processes


def test_a_route_is_explained_and_nothing_is_sent(deployment, capsys):
    vm = deployment.start_vm("vm-1")
    address = f"127.0.0.1:{vm.metrics_port}"
    ran = len(deployment.group.ran)
    route("primary", vm=address, key=KEY, kind="write", json=True)
    view = json.loads(capsys.readouterr().out)
    assert (view["team"], view["admission"]["decision"]) == (TEAM, "admitted")
    assert view["choice"] == deployment.group.primary.target_id
    route("bounded-staleness", vm=address, team=TEAM, age=2)
    output = capsys.readouterr().out
    assert "choice: i-" in output
    assert output.count("replica") >= 2
    assert len(deployment.group.ran) == ran
    for arguments, code in (
        ({"database": "nothing", "team": TEAM}, "unknown_database"),
        ({"database": "primary", "team": "nobody"}, "unknown_team"),
        ({"database": "primary", "key": "wrong"}, "unknown_key"),
        ({"database": "primary", "team": TEAM, "age": "old"}, "Invalid age"),
    ):
        with pytest.raises(SystemExit) as exited:
            route(**arguments, vm=address)
        assert exited.value.code == 2
        assert code in capsys.readouterr().err
