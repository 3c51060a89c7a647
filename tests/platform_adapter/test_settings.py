"""Tests of the platform's settings and deploy files."""

from __future__ import annotations

import json

import pytest

from guavabarrow_daemon.settings import SettingsError
from guavabarrow_platform.check_commands import check_deploy, check_settings
from guavabarrow_platform.settings import load_settings

SETTINGS = {
    "NodeName": "vm-1",
    "Zone": "north",
    "Ip": "10.1.0.26",
    "Listen": {"Front": "10.1.0.26:8465", "Ready": "10.1.0.26:8460"},
    "InternalPorts": [7560, 7575],
    "Limits": {"MaxFds": 4200},
    "Bounds": {"GraceS": 6, "QuotaOver": 0.1, "QuotaSlack": 20},
    "platform": {"Address": "10.200.1.7:8466", "form": "table"},
    "CloudApi": {"Address": "10.200.0.2:8466"},
    "UnknownField": True,
}


def write_settings(tmp_path, **changes) -> str:
    path = tmp_path / "local.yaml"
    path.write_text(json.dumps({**SETTINGS, **changes}))
    return str(path)


def test_translates_known_fields_and_ignores_unknown_ones(tmp_path):
    settings = load_settings(write_settings(tmp_path))
    assert (settings.vm, settings.domain) == ("vm-1", "north")
    assert settings.front_address == "10.1.0.26:8465"
    assert settings.store_address == "10.200.1.7:8466"
    assert (settings.peer_port, settings.grace_s) == (7560, 6.0)
    assert settings.rate_slack == 20


def test_usage_is_off_unless_the_settings_name_the_duty(tmp_path):
    """Guards against calls that a platform doesn't expect."""
    bounds = {"UsageWindowS": 5, "UsageLateS": 10, "LeaseMs": 3000, "UsageOff": 0.05}
    for duties, window_s in ((["failover"], None), (["failover", "metering"], 5.0)):
        api = {**SETTINGS["CloudApi"], "Duties": duties}
        settings = load_settings(write_settings(tmp_path, CloudApi=api, Bounds=bounds))
        assert settings.usage_window_s == window_s
        assert (settings.usage_late_s, settings.duty_lease_s) == (10.0, 3.0)
    assert load_settings(write_settings(tmp_path)).usage_window_s is None


def test_rejects_a_usage_window_without_length(tmp_path):
    """Guards against a division by zero at each operation."""
    api = {**SETTINGS["CloudApi"], "Duties": ["metering"]}
    path = write_settings(tmp_path, CloudApi=api, Bounds={"UsageWindowS": 0})
    with pytest.raises(SettingsError):
        load_settings(path)


def test_reports_every_mistake(tmp_path):
    path = write_settings(tmp_path, InternalPorts=[], NodeName=3)
    with pytest.raises(SettingsError) as error:
        load_settings(path)
    assert len(error.value.mistakes) == 2


@pytest.mark.parametrize("text", ["[1,", "42", ""])
def test_rejects_a_file_without_settings(tmp_path, text):
    path = tmp_path / "local.yaml"
    path.write_text(text)
    with pytest.raises(SettingsError):
        load_settings(str(path))


def test_rejects_a_missing_file(tmp_path):
    with pytest.raises(SettingsError):
        load_settings(str(tmp_path / "missing.yaml"))


def test_the_deploy_file_of_the_repository_is_valid(capsys):
    check_deploy("deploy/system.toml")
    assert "no mistakes" in capsys.readouterr().out


@pytest.mark.parametrize(
    ("text", "mistake"),
    [
        ("", "build"),
        ('build = "x"\n[roles.a]\nrun = "y"\non = "front"\nshare = 2.0', "share"),
        ('build = "x"\n[roles.a]\nrun = "y"\non = "front"\nsevres = []', "sevres"),
        ("build = ", "Invalid value"),
    ],
)
def test_a_deploy_file_with_mistakes_is_rejected(tmp_path, capsys, text, mistake):
    path = tmp_path / "system.toml"
    path.write_text(text)
    with pytest.raises(SystemExit) as stopped:
        check_deploy(str(path))
    assert stopped.value.code == 2
    assert mistake in capsys.readouterr().err


def test_a_settings_file_with_mistakes_is_rejected(tmp_path, capsys):
    path = tmp_path / "settings.yaml"
    path.write_text("NodeName: a")
    with pytest.raises(SystemExit):
        check_settings(str(path))
    assert "zone" in capsys.readouterr().err.lower()
