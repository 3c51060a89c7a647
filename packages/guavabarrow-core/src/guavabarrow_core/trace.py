"""Recorded decisions of group monitors, and their replay into the core."""

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
    """A trace that cannot be read or does not begin with a start."""


class Item(msgspec.Struct, frozen=True):
    """An event or action: the name of its type and its fields."""

    kind: str
    fields: dict[str, Any]


class TraceStart(msgspec.Struct, tag="start", frozen=True):
    """How the monitor of a group was created."""

    group: str
    databases: tuple[str, ...]
    rank: int
    seed: int
    now: float
    corroborate: bool


class TraceStep(msgspec.Struct, tag="step", frozen=True):
    """One event, when it came, and the actions that it caused."""

    group: str
    now: float
    event: Item
    actions: list[Item]


class TraceOutcome(msgspec.Struct, tag="outcome", frozen=True):
    """What a trace must lead to, stated by people.

    Parameters
    ----------
    group : str
        Group that is judged.
    promoted : tuple of str
        Databases that must have been promoted, in order.
    """

    group: str
    promoted: tuple[str, ...]


TraceLine = TraceStart | TraceStep | TraceOutcome


@dataclass(frozen=True, slots=True)
class Difference:
    """A step whose replay led to other actions or another outcome."""

    line: int
    expected: str
    actual: str


def encode_step(group: str, now: float, event: Event, actions: list[Action]) -> bytes:
    """Return the trace line of one step."""
    step = TraceStep(group, now, _item(event), [_item(action) for action in actions])
    return msgspec.json.encode(step) + b"\n"


def replay(lines: Iterable[bytes]) -> tuple[int, list[Difference]]:
    """Feed a trace to new monitors and compare what they do.

    Parameters
    ----------
    lines : iterable of bytes
        Lines of the trace.

    Returns
    -------
    tuple of int and list of Difference
        Number of steps replayed, and where the replay differs.

    Raises
    ------
    TraceError
        If a line cannot be read.
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
                    raise TraceError(f"line {number}: no start of {line.group!r}")
                actual = _replay_step(monitors[line.group], line)
                promoted[line.group] += _promoted(actual)
                if actual != line.actions:
                    expected = str(line.actions)
                    differences.append(Difference(number, expected, str(actual)))
            case TraceOutcome():
                seen = tuple(promoted.get(line.group, ()))
                if seen != line.promoted:
                    differences.append(
                        Difference(number, str(line.promoted), str(seen))
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


def _replay_step(monitor: GroupMonitor, step: TraceStep) -> list[Item]:
    kind = TYPE_BY_NAME.get(step.event.kind)
    if kind is None:
        raise TraceError(f"unknown event {step.event.kind!r}")
    try:
        event = msgspec.convert(step.event.fields, kind)
    except msgspec.MsgspecError as error:
        raise TraceError(f"{step.event.kind}: {error}") from error
    return [_item(action) for action in monitor.step(event, step.now)]


def _promoted(actions: list[Item]) -> list[str]:
    return [
        action.fields["database"]
        for action in actions
        if action.kind == PromotionEnded.__name__ and action.fields["database"]
    ]


def _item(source: object) -> Item:
    fields = msgspec.json.decode(msgspec.json.encode(source))
    return Item(type(source).__name__, fields)
