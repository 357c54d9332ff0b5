"""Formats metrics in the text exposition format that scrapers read."""

from __future__ import annotations

from collections.abc import Iterator

from ._snapshot import LatencySummary, MetricsSnapshot

__all__ = ["EXPOSITION_CONTENT_TYPE", "to_exposition"]

EXPOSITION_CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8"


def to_exposition(snapshot: MetricsSnapshot) -> str:
    """Return the snapshot as text, one sample per line.

    The names of counters and latencies contain dots, hyphens and service names, which the format
    does not allow in the name of a metric. They are therefore exported unchanged as a label.
    """
    return "\n".join([*_counter_lines(snapshot), *_latency_lines(snapshot), ""])


def _counter_lines(snapshot: MetricsSnapshot) -> Iterator[str]:
    yield "# HELP shallotworks_events_total Events counted since the process started."
    yield "# TYPE shallotworks_events_total counter"
    for name, value in snapshot.counters.items():
        yield f"shallotworks_events_total{_labels(snapshot, name)} {value}"


def _latency_lines(snapshot: MetricsSnapshot) -> Iterator[str]:
    yield "# HELP shallotworks_latency_seconds Durations since the process started."
    yield "# TYPE shallotworks_latency_seconds summary"
    for name, latency in snapshot.latencies.items():
        for quantile, value in _quantiles(latency):
            labels = _labels(snapshot, name, quantile=quantile)
            yield f"shallotworks_latency_seconds{labels} {value:g}"
        labels = _labels(snapshot, name)
        yield f"shallotworks_latency_seconds_sum{labels} {latency.total_s:g}"
        yield f"shallotworks_latency_seconds_count{labels} {latency.count}"


def _quantiles(latency: LatencySummary) -> tuple[tuple[str, float], ...]:
    return (
        ("0.5", latency.p50_s),
        ("0.9", latency.p90_s),
        ("0.99", latency.p99_s),
        ("1", latency.max_s),
    )


def _labels(snapshot: MetricsSnapshot, name: str, *, quantile: str = "") -> str:
    labels = [f'process="{_escape(snapshot.process)}"', f'name="{_escape(name)}"']
    if quantile:
        labels.append(f'quantile="{quantile}"')
    return "{" + ",".join(labels) + "}"


def _escape(text: str) -> str:
    return text.replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n")
