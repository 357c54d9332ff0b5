"""Counters and latency histograms of one process, written on the event loop, read by operators.

`Metrics` is written by the loop's thread only and is cheap to write. Reading is in two steps, so
that the loop never works out a quantile: `Metrics.freeze` copies the raw counts on the loop,
`summarise` works out the quantiles in the reader's thread. Nothing here is sent to anyone unasked.
"""

from ._exposition import EXPOSITION_CONTENT_TYPE, to_exposition
from ._load_monitor import LoadMonitor
from ._metrics import FrozenLatency, FrozenMetrics, Metrics
from ._snapshot import LatencySummary, MetricsSnapshot, summarise

__all__ = [
    "EXPOSITION_CONTENT_TYPE",
    "FrozenLatency",
    "FrozenMetrics",
    "LatencySummary",
    "LoadMonitor",
    "Metrics",
    "MetricsSnapshot",
    "summarise",
    "to_exposition",
]
