"""Merges the events of many processes into one timeline."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import replace
from itertools import groupby

from ._events import Event

__all__ = ["estimate_clock_offset_s", "merge"]


def merge(
    events: Iterable[Event], *, clock_offsets_s: Mapping[str, float] | None = None
) -> tuple[Event, ...]:
    """Return the events of all processes in one order, without duplicates.

    Events are ordered by time, then process, then sequence. The events of one process always keep
    their sequence: if its wall clock was set back, a later event gets the time of the event before
    it.

    Args:
        events: Events of any processes in any order; may contain duplicates.
        clock_offsets_s: Offset to add to the times of each process, by process name; see
            `estimate_clock_offset_s`.

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
    *, requested_at_s: float, responded_at_s: float, remote_now_s: float
) -> float:
    """Return the offset to add to a remote process's times to match the local clock.

    Args:
        requested_at_s: Local wall clock when the request was sent.
        responded_at_s: Local wall clock when the response arrived.
        remote_now_s: Remote wall clock when the response was made.

    Returns:
        The offset; 0 if the remote time lies between the two local times, because network delay
        can't be distinguished from a clock offset in that case.
    """
    if requested_at_s <= remote_now_s <= responded_at_s:
        return 0.0
    return (requested_at_s + responded_at_s) / 2 - remote_now_s


def _in_own_order(events: Iterable[Event], *, offset_s: float) -> Iterable[Event]:
    latest_s = float("-inf")
    for event in events:
        latest_s = max(latest_s, event.at_s + offset_s)
        yield event if event.at_s == latest_s else replace(event, at_s=latest_s)
