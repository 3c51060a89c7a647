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
    """Simulation that records a trace of its monitors."""

    def __init__(self, seed):
        super().__init__(seed, GroupMonitor)
        self.lines = [
            msgspec.json.encode(TraceStart(vm, NAMES, rank, seed + rank, 0.0, True))
            for rank, vm in enumerate(self.monitors)
        ]
        self.promoted = {vm: [] for vm in self.monitors}

    def send_event(self, vm, monitor, event):
        actions = monitor.step(event, self.now)
        self.lines.append(encode_step(vm, self.now, event, actions))
        for action in actions:
            self.requests.append((vm, action))
            if type(action).__name__ == "PromotionEnded" and action.database:
                self.promoted[vm].append(action.database)


def record(seed=3):
    recording = Recording(seed)
    recording.run(300)
    return recording


def test_replay_yields_the_recorded_actions():
    recording = record()
    steps, differences = replay(recording.lines)
    assert steps == len(recording.lines) - 2
    assert differences == []
    assert any(recording.promoted.values())


def test_expected_outcome_is_checked():
    recording = record()
    vm = next(vm for vm, names in recording.promoted.items() if names)
    correct = TraceOutcome(vm, tuple(recording.promoted[vm]))
    wrong = TraceOutcome(vm, ())
    lines = [*recording.lines, msgspec.json.encode(correct), msgspec.json.encode(wrong)]
    _, differences = replay(lines)
    assert [item.line for item in differences] == [len(lines)]


def test_modified_trace_yields_differences():
    recording = record()
    lines = [line.replace(b'"term":1', b'"term":7') for line in recording.lines]
    assert replay(lines)[1]


@pytest.mark.parametrize("line", [b"{", b'{"type": "step"}', b'{"type": "other"}'])
def test_undecodable_trace_is_rejected(line):
    with pytest.raises(TraceError):
        replay([line])
