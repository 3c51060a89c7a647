from guavabarrow_core.membership import (
    HEARTBEAT_S,
    MAX_DIGESTS,
    Heartbeat,
    Membership,
    MemberState,
)


def heartbeat(vm, incarnation=1):
    return Heartbeat(vm, "d", f"{vm}:1", f"{vm}:2", incarnation, 0)


class Network:
    """In-memory network that delivers the gossip of each round immediately."""

    def __init__(self, count):
        self.now = 0.0
        self.members = {
            f"vm-{number}": Membership(heartbeat(f"vm-{number}"), seed=number, now=0.0)
            for number in range(count)
        }
        self.down = set()
        for member in self.members.values():
            member.merge([heartbeat("vm-0")])

    def run(self, rounds):
        largest = 0
        for _ in range(rounds):
            self.now += HEARTBEAT_S
            for vm, member in self.members.items():
                if vm in self.down:
                    continue
                digests = member.advance(self.now)
                largest = max(largest, len(digests))
                for partner in member.partners():
                    if partner.vm not in self.down:
                        self.deliver(member, self.members[partner.vm], digests)
        return largest

    def deliver(self, sender, receiver, digests):
        needed = receiver.merge_digests(digests)
        receiver.merge(sender.by_vm[vm] for vm in needed)
        receiver.merge([sender.local_heartbeat])


def test_all_members_discover_each_other():
    network = Network(9)
    network.run(10)
    for member in network.members.values():
        assert len(member.alive()) == 9


def test_number_of_digests_in_a_message_is_bounded():
    network = Network(60)
    assert network.run(30) == MAX_DIGESTS + 1
    assert all(len(member.by_vm) == 60 for member in network.members.values())


def test_dead_member_is_detected_and_alive_again_after_a_restart():
    network = Network(5)
    network.run(10)
    network.down.add("vm-3")
    network.run(15)
    others = [m for vm, m in network.members.items() if vm != "vm-3"]
    assert all(m.state_of("vm-3") is MemberState.DEAD for m in others)
    network.members["vm-3"] = Membership(
        heartbeat("vm-3", incarnation=2), seed=9, now=network.now
    )
    network.members["vm-3"].merge([heartbeat("vm-0")])
    network.down.clear()
    network.run(10)
    assert all(m.state_of("vm-3") is MemberState.ALIVE for m in others)


def test_paused_member_declares_no_other_member_dead():
    network = Network(5)
    network.run(10)
    network.down.add("vm-2")
    network.run(60)
    network.down.clear()
    network.run(1)
    paused = network.members["vm-2"]
    assert paused.paused_at is not None
    assert len(paused.alive()) == 5


def test_older_heartbeat_is_ignored():
    member = Membership(heartbeat("a"), seed=1, now=0.0)
    member.merge([heartbeat("b", incarnation=2)])
    member.merge([heartbeat("b", incarnation=1)])
    assert member.by_vm["b"].incarnation == 2
