import msgspec
import pytest
from test_group_monitor import NAMES, Simulation

from guavabarrow_core.group_monitor import GroupMonitor
from guavabarrow_core.trace import (
    TraceError,
    TraceOutcome,
    TraceStart,
    encode_step,
    replay,
)


class Recording(Simulation):
    """A schedule whose steps are recorded."""

    def __init__(self, seed):
        super().__init__(seed, GroupMonitor)
        self.lines = [
            msgspec.json.encode(TraceStart(vm, NAMES, rank, seed + rank, 0.0, True))
            for rank, vm in enumerate(self.monitors)
        ]
        self.promoted = {vm: [] for vm in self.monitors}

    def feed(self, vm, monitor, event):
        actions = monitor.step(event, self.now)
        self.lines.append(encode_step(vm, self.now, event, actions))
        for action in actions:
            self.mail.append((vm, action))
            if type(action).__name__ == "PromotionEnded" and action.database:
                self.promoted[vm].append(action.database)


def record(seed=3):
    recording = Recording(seed)
    recording.run(300)
    return recording


def test_replay_decides_the_same():
    recording = record()
    steps, differences = replay(recording.lines)
    assert steps == len(recording.lines) - 2
    assert differences == []
    assert any(recording.promoted.values())


def test_stated_outcome_is_judged():
    recording = record()
    vm = next(vm for vm, names in recording.promoted.items() if names)
    right = TraceOutcome(vm, tuple(recording.promoted[vm]))
    wrong = TraceOutcome(vm, ())
    lines = [*recording.lines, msgspec.json.encode(right), msgspec.json.encode(wrong)]
    _, differences = replay(lines)
    assert [item.line for item in differences] == [len(lines)]


def test_changed_trace_differs():
    recording = record()
    lines = [line.replace(b'"term":1', b'"term":7') for line in recording.lines]
    assert replay(lines)[1]


@pytest.mark.parametrize("line", [b"{", b'{"type": "step"}', b'{"type": "other"}'])
def test_unreadable_trace_is_refused(line):
    with pytest.raises(TraceError):
        replay([line])
