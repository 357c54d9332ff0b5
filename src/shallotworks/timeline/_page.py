"""What one process answers when it is asked for its events."""

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
        now_s: Its wall clock when it answered, from which a reader estimates its clock's offset.
        dropped: Events that its ring has dropped so far.
        events: Those asked for, oldest first.
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
        """Read a page; raises ``pydantic.ValidationError`` where it is not one."""
        return _PAGE_ADAPTER.validate_json(data)


def encode_events(events: tuple[Event, ...]) -> bytes:
    """Return events as a JSON list."""
    return _EVENTS_ADAPTER.dump_json(events)


def decode_events(data: bytes) -> tuple[Event, ...]:
    """Read a JSON list of events; raises ``pydantic.ValidationError`` where it is not one."""
    return _EVENTS_ADAPTER.validate_json(data)


_PAGE_ADAPTER = TypeAdapter(TimelinePage)
_EVENTS_ADAPTER = TypeAdapter(tuple[Event, ...])
