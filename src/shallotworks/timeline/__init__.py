"""The time line: what each process did and when, kept in a bounded ring and merged on demand.

Each process records into its own `Timeline` and sends nothing unasked; a reader asks each process
for a `TimelinePage` and merges the pages with `merge`. Nothing is decided from the time line.
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
