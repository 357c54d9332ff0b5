"""The record of a case: what was sent, answered and run, one line for each event."""

from __future__ import annotations

import pathlib
import time

__all__ = ["Record"]


class Record:
    """Writes events with the seconds since its creation.

    Args:
        path: The file; an earlier one is replaced.
    """

    __slots__ = ("_file", "_started_s")

    def __init__(self, *, path: pathlib.Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self._started_s = time.monotonic()

    def now_s(self) -> float:
        """Return the seconds since the record was created."""
        return time.monotonic() - self._started_s

    def line(self, event: str, **fields: object) -> None:
        """Write one event."""
        texts = [f"{key}={value}" for key, value in fields.items()]
        self._file.write(f"{self.now_s():8.3f} {event} {' '.join(texts)}".rstrip() + "\n")
        self._file.flush()

    def close(self) -> None:
        """Close the file."""
        self._file.close()
