"""Tests of the command-line programs against a fleet of real processes."""

from __future__ import annotations

import json
import os
import subprocess
import sys

from harness.caller import SERVICE, Caller
from harness.world import KILIMA

from guavabarrow_cli.embedded_fleet import LOOPBACK, SECRET_BY_USE


def run(*arguments, module="guavabarrow_cli.main", secret=SECRET_BY_USE["admin"]):
    environment = {**os.environ, "GUAVABARROW_ADMIN_SECRET": secret}
    return subprocess.run(
        [sys.executable, "-m", module, *arguments],
        capture_output=True,
        text=True,
        env=environment,
        timeout=60,
    )


def admin_address(world, vm="vm-1"):
    return f"{LOOPBACK}:{world.fleet.admin_port_by_vm[vm]}"


def test_operator_commands(world):
    fleet = world.start()
    admin = f"--admin={admin_address(world)}"
    created = run("key", "give", "kilima", "second", admin)
    assert created.returncode == 0, created.stderr
    assert "in force at all 3 VMs" in created.stdout
    key = created.stdout.splitlines()[0].split(": ")[1]
    assert Caller(world.ports, key).read("SELECT 1").ok

    status = run("status", "show", "--json", admin)
    assert {m["vm"] for m in json.loads(status.stdout)["members"]} == set(fleet.vms)
    assert "orders-db-a" in run("status", "show", admin).stdout
    assert "second" in run("team", "list", admin).stdout
    assert key not in run("fleet", "show", admin).stdout

    rejected = run("key", "withdraw", "kilima", "third", admin)
    assert rejected.returncode == 1
    assert "known: first, second" in rejected.stderr
    assert run("team", "list", admin, secret="x" * 16).returncode == 1
    assert run("vm", "drain", admin, secret="").returncode == 2

    fleet.kill("vm-3")
    unconfirmed = run("template", "put", "small", "--rate_per_s=5", admin)
    assert unconfirmed.returncode == 3
    assert "vm-3" in unconfirmed.stderr


def test_load_and_burn_rate_report(world, tmp_path):
    world.start()
    plan = {
        "addresses": [f"{LOOPBACK}:{port}" for port in world.ports],
        "duration_s": 2,
        "teams": [
            {
                "team": "kilima",
                "key": KILIMA.key,
                "services": [SERVICE],
                "rate_per_s": 40,
                "transactions": 0.2,
                "repeats": 0.2,
            }
        ],
    }
    path = tmp_path / "plan.json"
    path.write_text(json.dumps(plan))
    load_run = run("load", str(path), "--json")
    assert load_run.returncode == 0, load_run.stderr
    result = json.loads(load_run.stdout)
    assert result["worst_served_share"] == 1.0
    assert result["teams"][0]["sent"] > 20
    page = tmp_path / "burn.html"
    report = run(
        "report",
        "burn",
        f"--admin={admin_address(world)},{admin_address(world, 'vm-2')}",
        "--every_s=1",
        "--for_s=2",
        f"--html={page}",
        "--json",
    )
    assert report.returncode == 0, report.stderr
    assert {row["team"] for row in json.loads(report.stdout)} >= {"kilima"}
    assert "kilima" in page.read_text()
    assert run("load", str(tmp_path / "none.json")).returncode == 2


def test_recorded_trace_is_replayed(world, tmp_path):
    trace = tmp_path / "trace.jsonl"
    fleet = world.start(vm_domains=("dar-kariakoo",), trace=str(trace))
    primary = fleet.primary(SERVICE)
    fleet.kill(primary)
    response = world.caller().write("INSERT INTO entry VALUES ('after')")
    assert response.ok, response
    successor = fleet.primary(SERVICE)
    assert fleet.terminate("vm-1") == 0
    outcome = {"type": "outcome", "group": SERVICE, "promoted": [primary, successor]}
    with trace.open("a") as lines:
        lines.write(json.dumps(outcome) + "\n")
    replayed = run("replay", str(trace))
    assert replayed.returncode == 0, replayed.stdout
    assert "without a difference" in replayed.stdout


def test_daemon_lists_invalid_settings_and_exits_with_status_2(tmp_path):
    path = tmp_path / "vm.jsonc"
    path.write_text('{"vm": "UPPER", // a comment\n "nonsense": 1}')
    for command in ("check", "run"):
        result = run(command, f"--config={path}", module="guavabarrow_daemon.main")
        assert result.returncode == 2
        assert "nonsense: is not a known name" in result.stderr
        assert "callers: is missing; add it" in result.stderr
