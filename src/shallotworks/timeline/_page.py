"""The page of events that one process returns to a reader."""

from __future__ import annotations

from dataclasses import dataclass

from pydantic import TypeAdapter

from ._events import Event

__all__ = ["TimelinePage", "decode_events", "encode_events"]


@dataclass(frozen=True, slots=True, kw_only=True)
class TimelinePage:
    """The events of one process.

    Args:
        process: Name of the process.
        now_s: Wall clock of the process when it made the page, from which a reader estimates the
            clock offset.
        dropped: Number of events that the ring has dropped so far.
        events: The requested events, oldest first.
    """

    process: str
    now_s: float
    dropped: int
    events: tuple[Event, ...]

    def encode(self) -> bytes:
        """Return the page as JSON."""
        return _PAGE_ADAPTER.dump_json(self)

    @classmethod
    def decode(cls, data: bytes) -> TimelinePage:
        """Parse a page from JSON.

        Raises:
            pydantic.ValidationError: The data is not a valid page.
        """
        return _PAGE_ADAPTER.validate_json(data)


def encode_events(events: tuple[Event, ...]) -> bytes:
    """Return events as a JSON list."""
    return _EVENTS_ADAPTER.dump_json(events)


def decode_events(data: bytes) -> tuple[Event, ...]:
    """Parse a JSON list of events.

    Raises:
        pydantic.ValidationError: The data is not a valid list of events.
    """
    return _EVENTS_ADAPTER.validate_json(data)


_PAGE_ADAPTER = TypeAdapter(TimelinePage)
_EVENTS_ADAPTER = TypeAdapter(tuple[Event, ...])
