"""Traces of group monitors, and their deterministic replay."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

import msgspec

from guavabarrow_core.exceptions import GuavabarrowError
from guavabarrow_core.group_monitor import (
    Action,
    Event,
    FenceReplied,
    GroupMonitor,
    MembersChanged,
    ProbeFailed,
    PromoteReplied,
    PromotionEnded,
    ReportReceived,
    SendFence,
    SendPromote,
    Tick,
)

if TYPE_CHECKING:
    from collections.abc import Iterable

TYPE_BY_NAME: dict[str, Any] = {
    kind.__name__: kind
    for kind in (
        FenceReplied,
        MembersChanged,
        ProbeFailed,
        PromoteReplied,
        PromotionEnded,
        ReportReceived,
        SendFence,
        SendPromote,
        Tick,
    )
}


class TraceError(GuavabarrowError):
    """A trace that cannot be decoded, or a step without a preceding start."""


class TraceItem(msgspec.Struct, frozen=True):
    """An event or action, encoded as the name of its type and its fields."""

    kind: str
    fields: dict[str, Any]


class TraceStart(msgspec.Struct, tag="start", frozen=True):
    """Parameters with which the monitor of a group was created."""

    group: str
    databases: tuple[str, ...]
    rank: int
    seed: int
    now: float
    corroborate: bool


class TraceStep(msgspec.Struct, tag="step", frozen=True):
    """One event, its time, and the resulting actions."""

    group: str
    now: float
    event: TraceItem
    actions: list[TraceItem]


class TraceOutcome(msgspec.Struct, tag="outcome", frozen=True):
    """Expected outcome of a trace, written by hand.

    Parameters
    ----------
    group : str
        Group that the expectation applies to.
    promoted : tuple of str
        Databases that must have been promoted, in order.
    """

    group: str
    promoted: tuple[str, ...]


TraceLine = TraceStart | TraceStep | TraceOutcome


@dataclass(frozen=True, slots=True)
class Difference:
    """A line of a trace whose replay differs in actions or in the outcome."""

    line: int
    expected: str
    actual: str


def encode_step(group: str, now: float, event: Event, actions: list[Action]) -> bytes:
    """Return the trace line of one step."""
    step = TraceStep(
        group, now, _encode_item(event), [_encode_item(action) for action in actions]
    )
    return msgspec.json.encode(step) + b"\n"


def replay(lines: Iterable[bytes]) -> tuple[int, list[Difference]]:
    """Replay a trace with new monitors and compare their actions.

    Parameters
    ----------
    lines : iterable of bytes
        Lines of the trace.

    Returns
    -------
    tuple of int and list of Difference
        Number of replayed steps, and the differences.

    Raises
    ------
    TraceError
        If a line cannot be decoded or is out of order.
    """
    decoder = msgspec.json.Decoder(TraceLine)
    monitors: dict[str, GroupMonitor] = {}
    promoted: dict[str, list[str]] = {}
    differences = []
    steps = 0
    for number, text in enumerate(lines, start=1):
        try:
            line = decoder.decode(text)
        except msgspec.MsgspecError as error:
            raise TraceError(f"line {number}: {error}") from error
        match line:
            case TraceStart():
                monitors[line.group] = _create_monitor(line)
                promoted[line.group] = []
            case TraceStep():
                steps += 1
                if line.group not in monitors:
                    raise TraceError(
                        f"line {number}: no start line for group {line.group!r}"
                    )
                actual = _replay_step(monitors[line.group], line)
                promoted[line.group] += _promoted_databases(actual)
                if actual != line.actions:
                    expected = str(line.actions)
                    differences.append(Difference(number, expected, str(actual)))
            case TraceOutcome():
                actual_promoted = tuple(promoted.get(line.group, ()))
                if actual_promoted != line.promoted:
                    differences.append(
                        Difference(number, str(line.promoted), str(actual_promoted))
                    )
    return steps, differences


def _create_monitor(start: TraceStart) -> GroupMonitor:
    return GroupMonitor(
        start.databases,
        rank=start.rank,
        seed=start.seed,
        now=start.now,
        corroborate=start.corroborate,
    )


def _replay_step(monitor: GroupMonitor, step: TraceStep) -> list[TraceItem]:
    kind = TYPE_BY_NAME.get(step.event.kind)
    if kind is None:
        raise TraceError(f"unknown event type {step.event.kind!r}")
    try:
        event = msgspec.convert(step.event.fields, kind)
    except msgspec.MsgspecError as error:
        raise TraceError(f"invalid {step.event.kind}: {error}") from error
    return [_encode_item(action) for action in monitor.step(event, step.now)]


def _promoted_databases(actions: list[TraceItem]) -> list[str]:
    return [
        action.fields["database"]
        for action in actions
        if action.kind == PromotionEnded.__name__ and action.fields["database"]
    ]


def _encode_item(source: object) -> TraceItem:
    fields = msgspec.json.decode(msgspec.json.encode(source))
    return TraceItem(type(source).__name__, fields)
