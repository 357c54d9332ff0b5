"""Tests of `shallotworks.metrics`: counters, histograms and their export."""

import unittest

from hypothesis import given
from hypothesis import strategies as st

from shallotworks.metrics import Metrics, MetricsSnapshot, summarise, to_exposition

HOUR_S = 3_600.0


class SnapshotTests(unittest.TestCase):
    def test_frozen_copy_is_independent(self) -> None:
        """Metrics that are written after a copy was taken don't change the copy."""
        metrics = Metrics()
        metrics.count("requests.admitted")
        metrics.observe_s("latency.interactive.trace", 0.010)
        frozen = metrics.freeze()
        metrics.count("requests.admitted")
        metrics.observe_s("latency.interactive.trace", 5.0)
        snapshot = summarise(frozen, process="a")
        self.assertEqual(snapshot.counters, {"requests.admitted": 1})
        latency = snapshot.latencies["latency.interactive.trace"]
        self.assertEqual((latency.count, latency.mean_s), (1, 0.010))
        self.assertAlmostEqual(latency.max_s, 0.010, delta=0.0002)
        self.assertEqual(MetricsSnapshot.decode(snapshot.encode()), snapshot)

    def test_duration_out_of_range_is_clamped(self) -> None:
        """Guards against requests of over an hour, the histogram's range, missing from latencies.

        The library silently drops values out of range, so durations are clamped to an hour.
        """
        metrics = Metrics()
        for duration_s in (2 * HOUR_S, -1.0):
            metrics.observe_s("latency.long-running.archive", duration_s)
        latency = summarise(metrics.freeze(), process="a").latencies["latency.long-running.archive"]
        self.assertEqual(latency.count, 2)
        self.assertAlmostEqual(latency.max_s, HOUR_S, delta=HOUR_S / 100)

    @given(st.lists(st.floats(min_value=1e-6, max_value=HOUR_S), min_size=1, max_size=200))
    def test_quantiles_are_exact_to_two_digits(self, durations_s: list[float]) -> None:
        """Each quantile of the summary is within 1% of the true one, plus rounding to 1 us."""
        metrics = Metrics()
        for duration_s in durations_s:
            metrics.observe_s("a", duration_s)
        summary = summarise(metrics.freeze(), process="a").latencies["a"]
        ordered = sorted(durations_s)
        self.assertAlmostEqual(summary.max_s, ordered[-1], delta=ordered[-1] / 100 + 2e-6)
        median = ordered[max(1, int(len(ordered) / 2 + 0.5)) - 1]
        self.assertAlmostEqual(summary.p50_s, median, delta=median / 100 + 2e-6)


class ExpositionTests(unittest.TestCase):
    def test_exposition_text(self) -> None:
        """Each name is exported unchanged as a label, with reserved characters escaped."""
        metrics = Metrics()
        metrics.count("requests.refused.over-quota", 3)
        metrics.observe_s('latency.interactive.a"b', 1.0)
        lines = to_exposition(summarise(metrics.freeze(), process="a")).splitlines()
        self.assertIn(
            'shallotworks_events_total{process="a",name="requests.refused.over-quota"} 3', lines
        )
        self.assertIn(
            'shallotworks_latency_seconds_count{process="a",name="latency.interactive.a\\"b"} 1',
            lines,
        )
        self.assertEqual(sum(line.startswith("# TYPE") for line in lines), 2)
