from pathlib import Path

import pytest

from guavabarrow_cli.fleet_file import FleetFile
from guavabarrow_core.exceptions import ConfigurationError
from guavabarrow_core.fleet import Fleet, decode_fleet, encode_fleet
from guavabarrow_core.fleet_change import (
    GiveKey,
    PutTeam,
    Revision,
    WithdrawKey,
    apply_revision,
)
from guavabarrow_daemon.settings import SettingsError

ROOT = Path(__file__).resolve().parents[3]


def load_example(example):
    return FleetFile.from_file(str(ROOT / "examples" / example / "fleet.jsonc"))


def apply_example(example):
    changes = load_example(example).to_changes()
    return apply_revision(Fleet(), Revision(1, "o", "a", changes))


@pytest.mark.parametrize(
    ("example", "connections", "slots"), [("association", 20, 3), ("authority", 30, 2)]
)
def test_examples_match_the_specified_sizes(example, connections, slots):
    fleet = apply_example(example)
    assert len(fleet.domains) == 3
    assert len(fleet.teams) == 8
    assert len(fleet.services) == 3
    for service in fleet.services.values():
        assert (service.connections, service.slots) == (connections, slots)
        assert len({target.domain for target in service.targets}) == 3


def test_fleet_encoding_round_trip():
    fleet = apply_example("association")
    assert decode_fleet(encode_fleet(fleet)) == fleet


def test_replacing_a_team_keeps_its_keys():
    fleet = apply_example("association")
    with_key = apply_revision(
        fleet, Revision(2, "p", "a", (GiveKey("kilima", "k", "hash"),))
    )
    team = fleet.teams["kilima"]
    replaced = apply_revision(with_key, Revision(3, "q", "a", (PutTeam(team),)))
    assert replaced.teams["kilima"].key_hash_by_id == {"k": "hash"}


def test_error_for_unknown_key_id_lists_known_ids():
    fleet = apply_example("association")
    with pytest.raises(ConfigurationError, match="known: none"):
        apply_revision(fleet, Revision(2, "p", "a", (WithdrawKey("kilima", "x"),)))


def test_all_unresolved_references_are_listed(tmp_path):
    path = tmp_path / "fleet.jsonc"
    path.write_text(
        '{"domains": [], "services": [{"name": "s", "targets": [{"name": "t",'
        ' "domain": "d", "host": "10.0.0.1", "port": 1}]}],'
        ' "teams": [{"name": "a", "template": "x", "services": ["y"]}]}'
    )
    with pytest.raises(SettingsError) as error:
        FleetFile.from_file(str(path))
    text = str(error.value)
    assert "'d'" in text
    assert "'x'" in text
    assert "'y'" in text
