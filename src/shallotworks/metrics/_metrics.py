"""Counters and latency histograms of one process."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass

from hdrh.histogram import HdrHistogram

__all__ = ["FrozenLatency", "FrozenMetrics", "Metrics", "new_histogram"]

MIN_MICROSECONDS = 1
MAX_MICROSECONDS = 3_600_000_000
SIGNIFICANT_DIGITS = 2
MICROSECONDS_PER_S = 1_000_000


@dataclass(frozen=True, slots=True, kw_only=True)
class FrozenLatency:
    """A copy of one histogram.

    Args:
        counts: The raw counts, in the histogram's layout.
        count: Number of recorded durations.
        total_s: Sum of all durations.
    """

    counts: bytes
    count: int
    total_s: float


@dataclass(frozen=True, slots=True, kw_only=True)
class FrozenMetrics:
    """A copy of all counters and histograms at one moment; any thread may read it.

    Args:
        counters: Counts, by name.
        latencies: Copies of the histograms, by name.
    """

    counters: dict[str, int]
    latencies: dict[str, FrozenLatency]


class _Latency:
    """One histogram and its sum, which the histogram itself could only compute from all counts."""

    __slots__ = ("histogram", "total_s")

    def __init__(self) -> None:
        self.histogram = new_histogram()
        self.total_s = 0.0


class Metrics:
    """Counters and HDR histograms of latencies, by name.

    Names are lower-case words joined by dots, with the variable part last:
    ``requests.refused.over-quota``, ``latency.interactive.trace``. Only the event loop's thread
    may write.
    """

    __slots__ = ("_counters", "_latencies")

    def __init__(self) -> None:
        self._counters: Counter[str] = Counter()
        self._latencies: dict[str, _Latency] = {}

    def count(self, name: str, amount: int = 1) -> None:
        """Add to a counter."""
        self._counters[name] += amount

    def observe_s(self, name: str, duration_s: float) -> None:
        """Record one duration in a histogram; a duration above an hour is recorded as an hour."""
        latency = self._latencies.get(name)
        if latency is None:
            latency = _Latency()
            self._latencies[name] = latency
        microseconds = int(duration_s * MICROSECONDS_PER_S)
        # The histogram silently drops values out of its range, which would hide the longest
        # durations, so values are clamped to the range.
        latency.histogram.record_value(min(max(MIN_MICROSECONDS, microseconds), MAX_MICROSECONDS))
        latency.total_s += duration_s

    def counters(self) -> dict[str, int]:
        """Return all counters by name."""
        return dict(self._counters)

    def freeze(self) -> FrozenMetrics:
        """Return a copy of all metrics, for `summarise` in another thread."""
        latencies = {
            name: FrozenLatency(
                counts=bytes(latency.histogram.counts),
                count=latency.histogram.total_count,
                total_s=latency.total_s,
            )
            for name, latency in self._latencies.items()
        }
        return FrozenMetrics(counters=dict(self._counters), latencies=latencies)


def new_histogram() -> HdrHistogram:
    """Return an empty histogram with the layout that all histograms share."""
    return HdrHistogram(MIN_MICROSECONDS, MAX_MICROSECONDS, SIGNIFICANT_DIGITS)
