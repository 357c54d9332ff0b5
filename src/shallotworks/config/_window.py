"""The last entries that a process has applied, kept for lagging peers and for operators."""

from __future__ import annotations

from collections import deque
from itertools import islice

from ._entries import Entry

__all__ = ["EntryWindow"]

WINDOW_ENTRIES = 1_000
"""Entries kept in memory; they span four hours at the design load of 6,000 changes a day."""


class EntryWindow:
    """The last `WINDOW_ENTRIES` consecutive entries; a new entry displaces the oldest one."""

    __slots__ = ("_entries", "_revisions")

    def __init__(self) -> None:
        self._entries: deque[Entry] = deque()
        self._revisions: dict[str, int] = {}

    def append(self, entry: Entry) -> None:
        """Add the entry that follows the newest one."""
        self._entries.append(entry)
        self._revisions[entry.change_id] = entry.revision
        if len(self._entries) > WINDOW_ENTRIES:
            oldest = self._entries.popleft()
            del self._revisions[oldest.change_id]

    def clear(self) -> None:
        """Remove all entries, because the next entry will not directly follow them."""
        self._entries.clear()
        self._revisions.clear()

    def after(self, revision: int, *, limit: int) -> tuple[Entry, ...] | None:
        """Return the entries that follow a revision; ``None`` if the next one was dropped."""
        if not self._entries:
            return None
        start = revision + 1 - self._entries[0].revision
        if start < 0:
            return None
        return tuple(islice(self._entries, start, start + limit))

    def newest(self, limit: int) -> tuple[Entry, ...]:
        """Return up to ``limit`` of the last entries, oldest first."""
        return tuple(islice(self._entries, max(0, len(self._entries) - limit), None))

    def change_id_at(self, revision: int) -> str | None:
        """Return the id of the change that led to a revision; ``None`` if it is not kept."""
        if not self._entries:
            return None
        index = revision - self._entries[0].revision
        return self._entries[index].change_id if 0 <= index < len(self._entries) else None

    def revision_of(self, change_id: str) -> int | None:
        """Return the revision of a change; ``None`` if it is not kept."""
        return self._revisions.get(change_id)
