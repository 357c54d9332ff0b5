"""The metrics that operators read: counters and a summary of each histogram."""

from __future__ import annotations

from dataclasses import dataclass

from pydantic import TypeAdapter

from ._metrics import MICROSECONDS_PER_S, FrozenLatency, FrozenMetrics, new_histogram

__all__ = ["LatencySummary", "MetricsSnapshot", "summarise"]

P50 = 50.0
P90 = 90.0
P99 = 99.0
MAXIMUM_PERCENTILE = 100.0


@dataclass(frozen=True, slots=True, kw_only=True)
class LatencySummary:
    """Summary of one histogram; each quantile is exact to two significant digits.

    Args:
        count: Number of durations.
        total_s: Sum of the durations.
        p50_s: Median.
        p90_s: 90th percentile.
        p99_s: 99th percentile.
        max_s: Longest duration.
    """

    count: int
    total_s: float
    p50_s: float
    p90_s: float
    p99_s: float
    max_s: float

    @property
    def mean_s(self) -> float:
        """Mean duration; 0 if there is none."""
        return self.total_s / self.count if self.count else 0.0


@dataclass(frozen=True, slots=True, kw_only=True)
class MetricsSnapshot:
    """All metrics of one process.

    Args:
        process: Name of the process.
        counters: Counts, sorted by name.
        latencies: Summaries of the histograms, sorted by name.
    """

    process: str
    counters: dict[str, int]
    latencies: dict[str, LatencySummary]

    def encode(self) -> bytes:
        """Return the snapshot as JSON."""
        return _SNAPSHOT_ADAPTER.dump_json(self)

    @classmethod
    def decode(cls, data: bytes) -> MetricsSnapshot:
        """Parse a snapshot from JSON.

        Raises:
            pydantic.ValidationError: The data is not a valid snapshot.
        """
        return _SNAPSHOT_ADAPTER.validate_json(data)


def summarise(frozen: FrozenMetrics, *, process: str) -> MetricsSnapshot:
    """Compute the quantiles of all histograms.

    This takes about 0.2 ms per histogram and must therefore not run on the event loop.

    Args:
        frozen: Copy of the metrics.
        process: Name of the process that the metrics are from.
    """
    return MetricsSnapshot(
        process=process,
        counters=dict(sorted(frozen.counters.items())),
        latencies={
            name: _summarise_latency(latency) for name, latency in sorted(frozen.latencies.items())
        },
    )


def _summarise_latency(latency: FrozenLatency) -> LatencySummary:
    histogram = new_histogram()
    memoryview(histogram.counts).cast("B")[:] = latency.counts
    histogram.total_count = latency.count
    microseconds = histogram.get_percentile_to_value_dict([P50, P90, P99, MAXIMUM_PERCENTILE])
    return LatencySummary(
        count=latency.count,
        total_s=latency.total_s,
        p50_s=microseconds[P50] / MICROSECONDS_PER_S,
        p90_s=microseconds[P90] / MICROSECONDS_PER_S,
        p99_s=microseconds[P99] / MICROSECONDS_PER_S,
        max_s=microseconds[MAXIMUM_PERCENTILE] / MICROSECONDS_PER_S,
    )


_SNAPSHOT_ADAPTER = TypeAdapter(MetricsSnapshot)
