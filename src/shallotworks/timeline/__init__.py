"""The time line: what each process did and when, kept in a bounded ring and merged on demand."""

from ._events import Event, EventKind, Subject
from ._ring import Timeline

__all__ = ["Event", "EventKind", "Subject", "Timeline"]
