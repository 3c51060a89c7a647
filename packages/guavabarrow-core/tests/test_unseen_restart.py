"""Histories of the replacement model that lose commits, listed in KNOWN-RED.txt."""

from __future__ import annotations

from test_replacement_model import ReplacementModel


def test_a_replica_that_restarts_cut_off_from_the_store_is_not_taken_for_its_former():
    """Its new entry isn't written, so its log counts as its former process's."""
    for copied, is_holder_replaced in ((0, True), (1, False)):
        model = ReplacementModel()
        model.begin(size=3, sync_replicas=1)
        model.receive_alone(number=0, from_vms=False, from_store=True, ticks=2)
        model.lose_replica(number=0, copied=copied)
        model.wait(2)
        if is_holder_replaced:
            model.replace_holder()
        model.crash_primary(ticks=10, comes_back=True)
        model.nothing_is_lost()
