"""Tests of `shallotworks.timeline`: merging events of many processes and the output formats."""

import json
import threading
import unittest

from hypothesis import given
from hypothesis import strategies as st
from parameterized import parameterized

from shallotworks.timeline import (
    Event,
    EventFilter,
    EventKind,
    Subject,
    Timeline,
    TimelinePage,
    decode_events,
    encode_events,
    estimate_clock_offset_s,
    merge,
    to_chrome_trace,
    to_text,
)
from tests.golden_files import assert_golden


def _event(process: str, sequence: int, at_s: float, **changed: object) -> Event:
    values = {"kind": EventKind.SENT, "subject": Subject(), **changed}
    return Event(process=process, sequence=sequence, at_s=at_s, **values)  # type: ignore[arg-type]


SESSION = (
    _event("bergen-entry-1", 0, 1_700_000_000.0, kind=EventKind.STARTED),
    _event(
        "bergen-entry-1",
        1,
        1_700_000_000.25,
        kind=EventKind.ANSWERED,
        subject=Subject(request="r1", instance="bergen-w01", service="fault-traces"),
        detail="200",
        duration_s=0.125,
    ),
    _event(
        "forde-entry-1",
        0,
        1_700_000_000.125,
        kind=EventKind.PLAN_STEP,
        subject=Subject(plan="0123456789abcdef", instance="bergen-w02"),
        detail="cordon\x1b[31m",
    ),
)


class MergeTests(unittest.TestCase):
    def test_orders_by_time_then_process_then_sequence(self) -> None:
        """Events are ordered by time, and events of the same time by process and sequence."""
        events = [_event("b", 0, 2.0), _event("a", 1, 2.0), _event("a", 0, 2.0), _event("c", 0, 1)]
        order = [(event.process, event.sequence) for event in merge(events)]
        self.assertEqual(order, [("c", 0), ("a", 0), ("a", 1), ("b", 0)])

    def test_clock_set_back_keeps_sequence(self) -> None:
        """Guards against a response that is shown before its request after a clock was set back.

        The sequence of a process takes precedence over the times of its events.
        """
        merged = merge([_event("a", 0, 10.0), _event("a", 1, 9.0), _event("b", 0, 9.5)])
        self.assertEqual([event.sequence for event in merged if event.process == "a"], [0, 1])
        self.assertEqual(merged[-1].at_s, 10.0)

    def test_offset_corrects_wrong_clock(self) -> None:
        """Events of a process whose clock is 5 s ahead are shown in the reader's time."""
        offset_s = estimate_clock_offset_s(
            requested_at_s=100, responded_at_s=100.2, remote_now_s=105.1
        )
        self.assertAlmostEqual(offset_s, -5.0)
        merged = merge([_event("a", 0, 104.0), _event("b", 0, 100.0)], clock_offsets_s={"a": -5})
        self.assertEqual([event.process for event in merged], ["a", "b"])

    def test_network_delay_is_not_an_offset(self) -> None:
        """A remote time between request and response gives an offset of 0."""
        offset_s = estimate_clock_offset_s(
            requested_at_s=100, responded_at_s=102, remote_now_s=101.9
        )
        self.assertEqual(offset_s, 0.0)

    @given(
        st.lists(
            st.tuples(st.sampled_from("abc"), st.integers(0, 20), st.integers(0, 5)), max_size=40
        )
    )
    def test_every_event_appears_once(self, samples: list[tuple[str, int, int]]) -> None:
        """Every event appears once and in its process's sequence, even if it was fetched twice."""
        unique = {(process, sequence): float(at) for process, sequence, at in samples}
        events = [_event(p, sequence, at) for (p, sequence), at in unique.items()]
        merged = merge(events + events)
        self.assertEqual(len(merged), len(unique))
        self.assertEqual(sorted(e.at_s for e in merged), [e.at_s for e in merged])
        for process in "abc":
            sequences = [event.sequence for event in merged if event.process == process]
            self.assertEqual(sequences, sorted(sequences))


class FilterTests(unittest.TestCase):
    @parameterized.expand(
        [
            ("all", EventFilter(), 3),
            ("request", EventFilter(request="r1"), 1),
            ("plan_prefix", EventFilter(plan="0123"), 1),
            ("instance", EventFilter(instance="bergen-w02"), 1),
            ("kinds", EventFilter(kinds=frozenset({EventKind.STARTED, EventKind.ANSWERED})), 2),
            ("all_must_hold", EventFilter(request="r1", instance="bergen-w02"), 0),
        ]
    )
    def test_selects_matching_events(
        self, _name: str, event_filter: EventFilter, count: int
    ) -> None:
        """Only events that match every non-empty field are selected."""
        self.assertEqual(len(event_filter.select(SESSION)), count)


class RingTests(unittest.TestCase):
    def test_page_counts_dropped_events(self) -> None:
        """A full ring drops the oldest events, and its page contains their number."""
        ring = Timeline(process="a", wall_clock_s=lambda: 7.0, capacity=2)
        for _ in range(5):
            ring.record(EventKind.SENT, subject=Subject())
        page = ring.page(EventFilter(), limit=1)
        self.assertEqual((page.dropped, page.now_s, len(page.events)), (3, 7.0, 1))
        self.assertEqual(TimelinePage.decode(page.encode()), page)

    def test_threads_never_share_a_sequence(self) -> None:
        """Guards against two threads that record events with the same sequence number.

        A merge would drop one of the two events as a duplicate.
        """
        ring = Timeline(process="a", wall_clock_s=lambda: 0.0, capacity=100_000)

        def record() -> None:
            for _ in range(2_000):
                ring.record(EventKind.SENT, subject=Subject())

        threads = [threading.Thread(target=record) for _ in range(8)]
        for thread in threads:
            thread.start()
        while any(thread.is_alive() for thread in threads):
            ring.page(EventFilter())
        for thread in threads:
            thread.join()
        self.assertEqual({e.sequence for e in ring.events()}, set(range(16_000)))


class FormatTests(unittest.TestCase):
    def test_text(self) -> None:
        """The table has one line per event and replaces control characters."""
        assert_golden(self, "timeline.txt", to_text(merge(SESSION)))

    def test_json(self) -> None:
        """Events survive a round trip through JSON."""
        self.assertEqual(decode_events(encode_events(SESSION)), SESSION)

    def test_chrome_trace(self) -> None:
        """The trace names each process and contains the begin and end of each span."""
        trace = json.loads(to_chrome_trace(merge(SESSION)))
        entries = trace["traceEvents"]
        names = {e["args"]["name"] for e in entries if e["name"] == "process_name"}
        self.assertEqual(names, {"bergen-entry-1", "forde-entry-1"})
        begin, end = (next(e for e in entries if e["ph"] == phase) for phase in "be")
        self.assertEqual((begin["id"], begin["name"]), (end["id"], end["name"]))
        self.assertAlmostEqual(end["ts"] - begin["ts"], 125_000, delta=1)
