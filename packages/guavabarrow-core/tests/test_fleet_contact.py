"""Reports of third parties on the duty holder and on failure domains.

Load: two failure domains lose each other while a third one reaches both. Without
reports each side took the other for lost.
"""

from __future__ import annotations

from guavabarrow_core.fleet_contact import (
    REPORT_VALID_S,
    DomainReport,
    FleetContact,
)


def report(*unreachable: str, at: float = 1.0) -> DomainReport:
    return DomainReport("north", frozenset(unreachable), at)


def test_contact_of_another_vm_with_the_holder_counts_after_the_own_loss():
    contact = FleetContact()
    contact.record_holder("west-0", 1, 1.0)
    reached = {"now": 2.0, "max_hops": 1}
    assert contact.is_holder_reached({"west-0"}, since=0.9, **reached)
    assert not contact.is_holder_reached({"west-0"}, since=1.0, **reached)
    assert not contact.is_holder_reached({"west-1"}, since=0.9, **reached)


def test_old_and_distant_contacts_with_the_holder_do_not_count():
    contact = FleetContact()
    contact.record_holder("west-0", 2, 1.0)
    assert not contact.is_holder_reached({"west-0"}, since=0.0, now=2.0, max_hops=1)
    assert contact.is_holder_reached({"west-0"}, since=0.0, now=2.0, max_hops=2)
    late = 1.0 + REPORT_VALID_S + 0.1
    assert not contact.is_holder_reached({"west-0"}, since=0.0, now=late, max_hops=2)


def test_loss_of_contact_with_the_holder_is_noticed_once():
    contact = FleetContact()
    changes = [contact.record_holder("a", hops, 1.0) for hops in (0, 1, 1, 0, 0, 2)]
    assert changes == [False, False, False, True, False, False]


def test_a_vm_is_reached_if_one_hub_reaches_it():
    contact = FleetContact()
    contact.record_domain("n-1", report("n-7", "n-8"))
    contact.record_domain("n-2", report("n-8"))
    assert contact.is_reached("n-7", "north", 2.0)
    assert not contact.is_reported_unreachable("n-7", "north", 2.0)
    assert contact.is_reported_unreachable("n-8", "north", 2.0)
    assert contact.summary("north", 2.0) == report("n-8")


def test_nothing_is_known_without_valid_reports():
    contact = FleetContact()
    contact.record_domain("n-1", report("n-7"))
    late = 1.0 + REPORT_VALID_S + 0.1
    assert not contact.is_reached("n-6", "north", late)
    assert not contact.is_reported_unreachable("n-7", "north", late)
    assert contact.summary("north", late) is None
    assert not contact.is_reached("n-6", "south", 1.5)


def test_an_older_report_of_a_hub_does_not_replace_a_newer_one():
    contact = FleetContact()
    contact.record_domain("n-1", report("n-7", at=2.0))
    contact.record_domain("n-1", report("n-8", at=1.0))
    assert contact.is_reported_unreachable("n-7", "north", 2.5)
