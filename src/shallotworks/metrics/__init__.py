"""Counters and latency histograms of one process, written on the event loop and read by operators.

Only the event loop's thread writes to `Metrics`, and writes are cheap. Reading takes two steps, so
that quantiles are never computed on the event loop: `Metrics.freeze` copies the raw counts on the
loop, and `summarise` computes the quantiles in the reader's thread. Metrics are pulled, never
pushed.
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
