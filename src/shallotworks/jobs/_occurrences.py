"""A set of a job's occurrences, stored as ranges."""

from __future__ import annotations

from bisect import bisect_right
from collections.abc import Iterable

__all__ = ["OccurrenceRanges"]


class OccurrenceRanges:
    """A set of occurrence numbers, whose size depends on its gaps and not on its members.

    Args:
        ranges: First and last number of each range, in order and without overlaps.

    Raises:
        ValueError: The ranges are not in order.
    """

    __slots__ = ("_firsts", "_lasts", "count")

    def __init__(self, ranges: Iterable[tuple[int, int]] = ()) -> None:
        self._firsts: list[int] = []
        self._lasts: list[int] = []
        self.count = 0
        """Number of members."""
        for first, last in ranges:
            if not (self._lasts[-1] if self._lasts else -1) < first <= last:
                raise ValueError(f"occurrences {first} to {last} are out of order")
            self._firsts.append(first)
            self._lasts.append(last)
            self.count += last - first + 1

    def __contains__(self, occurrence: int) -> bool:
        return self.first_missing(occurrence) != occurrence

    def __bool__(self) -> bool:
        return bool(self._firsts)

    def ranges(self) -> list[tuple[int, int]]:
        """Return the first and last number of each range, in order."""
        return list(zip(self._firsts, self._lasts, strict=True))

    def first_missing(self, start: int) -> int:
        """Return the lowest number from ``start`` on that is no member."""
        index = bisect_right(self._firsts, start) - 1
        if index >= 0 and self._lasts[index] >= start:
            return self._lasts[index] + 1
        return start

    def add(self, occurrence: int) -> None:
        """Add a number, and join it with the ranges beside it."""
        if occurrence in self:
            return
        self.count += 1
        index = bisect_right(self._firsts, occurrence)
        is_after_range = index > 0 and self._lasts[index - 1] == occurrence - 1
        is_before_range = index < len(self._firsts) and self._firsts[index] == occurrence + 1
        if is_after_range and is_before_range:
            self._lasts[index - 1] = self._lasts.pop(index)
            del self._firsts[index]
        elif is_after_range:
            self._lasts[index - 1] = occurrence
        elif is_before_range:
            self._firsts[index] = occurrence
        else:
            self._firsts.insert(index, occurrence)
            self._lasts.insert(index, occurrence)
