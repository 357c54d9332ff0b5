"""The bounded ring in which one process keeps its events."""

from __future__ import annotations

import itertools
from collections import deque
from collections.abc import Callable

from ._events import Event, EventKind, Subject
from ._filter import EventFilter
from ._page import TimelinePage

__all__ = ["Timeline"]

DEFAULT_CAPACITY = 20_000


class Timeline:
    """The events of one process; the oldest are dropped when the ring is full.

    Args:
        process: Name of this process.
        wall_clock_s: Returns the Unix time.
        capacity: Maximum number of retained events.
    """

    __slots__ = ("_events", "_process", "_sequences", "_wall_clock_s")

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
        self._sequences = itertools.count()

    def record(
        self, kind: EventKind, *, subject: Subject, detail: str = "", duration_s: float = 0.0
    ) -> None:
        """Record one event.

        Any thread may call this without a lock, because advancing the sequence and appending to
        the ring are each atomic.
        """
        event = Event(
            process=self._process,
            sequence=next(self._sequences),
            at_s=self._wall_clock_s(),
            kind=kind,
            subject=subject,
            detail=detail,
            duration_s=duration_s,
        )
        self._events.append(event)

    def events(self) -> tuple[Event, ...]:
        """Return the retained events, oldest first."""
        return tuple(self._events)

    def page(self, event_filter: EventFilter, *, limit: int | None = None) -> TimelinePage:
        """Return a page of the events that match a filter.

        Args:
            event_filter: Selects the events.
            limit: Maximum number of events, of which the newest are returned; ``None`` for all.
        """
        events = self.events()
        selected = event_filter.select(events)
        if limit is not None:
            selected = selected[max(0, len(selected) - limit) :]
        return TimelinePage(
            process=self._process,
            now_s=self._wall_clock_s(),
            dropped=min((event.sequence for event in events), default=0),
            events=selected,
        )
