"""Counters and latency histograms of one process, named by `Counter` and read by operators."""

from ._metrics import Metrics

__all__ = ["Metrics"]
