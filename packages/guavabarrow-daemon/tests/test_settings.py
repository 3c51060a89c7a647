import json
from pathlib import Path

import pytest

from guavabarrow_cli.embedded_fleet import vm_settings
from guavabarrow_daemon.settings import Settings, SettingsError

ROOT = Path(__file__).resolve().parents[3]


def document(**changes):
    base = vm_settings(
        vm="vm-1", domain="d", ports=(1, 2, 3), platform_port=4, seed_peers=[]
    )
    return {**base, **changes}


def test_five_mistakes_are_listed_at_once():
    invalid = document(
        vm="Not A Name",
        callers={"host": "localhost", "port": 99999},
        secrets={"token": "short", "peer": "p" * 16, "admin": "a" * 16},
        colour="blue",
    )
    with pytest.raises(SettingsError) as caught:
        Settings.from_text(json.dumps(invalid), source="vm.jsonc")
    locations = {mistake.split(": ")[1] for mistake in caught.value.mistakes}
    assert locations == {
        "vm",
        "callers.host",
        "callers.port",
        "secrets.token",
        "secrets.target",
        "colour",
    }
    assert all(m.rsplit("; ", 1)[1] for m in caught.value.mistakes)


def test_comments_are_allowed_and_secrets_are_not_printed():
    text = "// a comment\n" + json.dumps(document())
    settings = Settings.from_text(text)
    assert "embedded-token-secret" not in repr(settings)


def test_missing_file_error_suggests_a_correction():
    with pytest.raises(SettingsError, match="check the path"):
        Settings.from_file("/nonexistent/vm.jsonc")


@pytest.mark.parametrize("path", sorted(ROOT.glob("examples/*/*-[0-9].jsonc")))
def test_examples_are_valid(path):
    assert Settings.from_file(str(path)).vm == path.stem


def test_override_replaces_an_address_to_connect_to():
    overrides = {"10.0.0.1:5": "127.0.0.1:6"}
    settings = Settings.from_text(json.dumps(document(address_overrides=overrides)))
    assert settings.resolve_address("10.0.0.1", 5) == ("127.0.0.1", 6)
    assert settings.resolve_address("10.0.0.2", 5) == ("10.0.0.2", 5)
