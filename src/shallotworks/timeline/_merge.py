"""One time line from the events of many processes."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import replace
from itertools import groupby

from ._events import Event

__all__ = ["estimate_clock_offset_s", "merge"]


def merge(
    events: Iterable[Event], *, clock_offsets_s: Mapping[str, float] | None = None
) -> tuple[Event, ...]:
    """Return the events of all processes in one order, each once.

    The order is by time, then process, then sequence. One process's events always keep their own
    order: where its wall clock was set back, a later event stands at the time of the one before it.

    Args:
        events: Events of any processes in any order; may hold one twice.
        clock_offsets_s: By process, what is added to its times; see `estimate_clock_offset_s`.

    Returns:
        The events, with their times corrected.
    """
    offsets_s = clock_offsets_s or {}
    own_order = sorted(set(events), key=lambda event: (event.process, event.sequence))
    merged: list[Event] = []
    for process, own in groupby(own_order, key=lambda event: event.process):
        merged.extend(_in_own_order(own, offset_s=offsets_s.get(process, 0.0)))
    merged.sort(key=lambda event: (event.at_s, event.process, event.sequence))
    return tuple(merged)


def estimate_clock_offset_s(
    *, asked_at_s: float, answered_at_s: float, remote_now_s: float
) -> float:
    """Return what to add to a process's times so that they agree with this one's.

    Args:
        asked_at_s: This process's wall clock when it asked.
        answered_at_s: This process's wall clock when it had the answer.
        remote_now_s: The other's wall clock when it answered.

    Returns:
        The offset; 0 where the other's time lies between the two, because an answer that was
        simply on its way can't be told from a clock that differs.
    """
    if asked_at_s <= remote_now_s <= answered_at_s:
        return 0.0
    return (asked_at_s + answered_at_s) / 2 - remote_now_s


def _in_own_order(events: Iterable[Event], *, offset_s: float) -> Iterable[Event]:
    latest_s = float("-inf")
    for event in events:
        latest_s = max(latest_s, event.at_s + offset_s)
        yield event if event.at_s == latest_s else replace(event, at_s=latest_s)
