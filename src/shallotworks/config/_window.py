"""The last entries that a process holds, for peers that lag and for operators."""

from __future__ import annotations

from collections import deque
from itertools import islice

from ._entries import Entry

__all__ = ["EntryWindow"]

WINDOW_ENTRIES = 1_000
"""Four hours of the 6,000 changes a day that the design is for."""


class EntryWindow:
    """Consecutive entries, the oldest dropped when it is full."""

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
        """Forget all entries, since the next one won't follow them."""
        self._entries.clear()
        self._revisions.clear()

    def after(self, revision: int, *, limit: int) -> tuple[Entry, ...] | None:
        """Return entries that follow a revision; ``None`` where the next one is not here."""
        if not self._entries:
            return None
        start = revision + 1 - self._entries[0].revision
        if start < 0:
            return None
        return tuple(islice(self._entries, start, start + limit))

    def newest(self, limit: int) -> tuple[Entry, ...]:
        """Return the last entries, oldest first."""
        return tuple(islice(self._entries, max(0, len(self._entries) - limit), None))

    def change_id_at(self, revision: int) -> str | None:
        """Return the id of the change that led to a revision, if it is here."""
        if not self._entries:
            return None
        index = revision - self._entries[0].revision
        return self._entries[index].change_id if 0 <= index < len(self._entries) else None

    def revision_of(self, change_id: str) -> int | None:
        """Return the revision that a change became, if it is here."""
        return self._revisions.get(change_id)
