"""The timeline: events of each process, kept in a bounded ring and merged on demand.

Each process records events in its own `Timeline` and never pushes them. A reader requests a
`TimelinePage` from each process and merges the pages with `merge`. No decision is based on the
timeline.
"""

from ._events import Event, EventKind, Subject
from ._filter import EventFilter
from ._merge import estimate_clock_offset_s, merge
from ._page import TimelinePage, decode_events, encode_events
from ._ring import Timeline
from ._text import to_text
from ._trace import to_chrome_trace

__all__ = [
    "Event",
    "EventFilter",
    "EventKind",
    "Subject",
    "Timeline",
    "TimelinePage",
    "decode_events",
    "encode_events",
    "estimate_clock_offset_s",
    "merge",
    "to_chrome_trace",
    "to_text",
]
