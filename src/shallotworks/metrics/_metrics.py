"""Counters and latency histograms of one process."""

from __future__ import annotations

from collections import Counter

from hdrh.histogram import HdrHistogram

__all__ = ["Metrics"]

LOWEST_MICROSECONDS = 1
HIGHEST_MICROSECONDS = 3_600_000_000
SIGNIFICANT_DIGITS = 2
MICROSECONDS_PER_S = 1_000_000


class Metrics:
    """Counters by name, and latencies by name in HDR histograms.

    Names are lower case words joined by dots, the variable part last: ``requests.refused.
    over-quota``, ``latency.interactive.trace``. Only the event loop's thread writes.
    """

    __slots__ = ("_counters", "_histograms")

    def __init__(self) -> None:
        self._counters: Counter[str] = Counter()
        self._histograms: dict[str, HdrHistogram] = {}

    def count(self, name: str, amount: int = 1) -> None:
        """Add to a counter."""
        self._counters[name] += amount

    def observe_s(self, name: str, duration_s: float) -> None:
        """Put one duration into a histogram."""
        histogram = self._histograms.get(name)
        if histogram is None:
            histogram = HdrHistogram(LOWEST_MICROSECONDS, HIGHEST_MICROSECONDS, SIGNIFICANT_DIGITS)
            self._histograms[name] = histogram
        histogram.record_value(max(LOWEST_MICROSECONDS, int(duration_s * MICROSECONDS_PER_S)))

    def counters(self) -> dict[str, int]:
        """Return all counters by name."""
        return dict(self._counters)

    def quantile_s(self, name: str, quantile: float) -> float:
        """Return a quantile (0 to 1) of a histogram in seconds; 0 where nothing was put in."""
        histogram = self._histograms.get(name)
        if histogram is None:
            return 0.0
        value: int = histogram.get_value_at_percentile(quantile * 100)
        return value / MICROSECONDS_PER_S

    def histogram_names(self) -> tuple[str, ...]:
        """Return the names of all histograms, sorted."""
        return tuple(sorted(self._histograms))
