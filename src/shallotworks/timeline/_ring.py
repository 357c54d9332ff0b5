"""The bounded ring in which one process keeps its events."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable

from ._events import Event, EventKind, Subject

__all__ = ["Timeline"]

DEFAULT_CAPACITY = 20_000


class Timeline:
    """One process's events, the oldest dropped when the ring is full.

    Args:
        process: Name of this process.
        wall_clock_s: Returns the Unix time; tests pass their own.
        capacity: Events kept.
    """

    __slots__ = ("_events", "_next_sequence", "_process", "_wall_clock_s")

    def __init__(
        self,
        *,
        process: str,
        wall_clock_s: Callable[[], float],
        capacity: int = DEFAULT_CAPACITY,
    ) -> None:
        self._process = process
        self._wall_clock_s = wall_clock_s
        self._events: deque[Event] = deque(maxlen=capacity)
        self._next_sequence = 0

    def record(
        self, kind: EventKind, *, subject: Subject, detail: str = "", duration_s: float = 0.0
    ) -> None:
        """Keep one event; safe from any thread, since appending to a deque is."""
        event = Event(
            process=self._process,
            sequence=self._next_sequence,
            at_s=self._wall_clock_s(),
            kind=kind,
            subject=subject,
            detail=detail,
            duration_s=duration_s,
        )
        self._next_sequence += 1
        self._events.append(event)

    def events(self) -> tuple[Event, ...]:
        """Return what is kept, oldest first."""
        return tuple(self._events)
