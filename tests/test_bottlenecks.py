"""Tests of `bench.bottlenecks`: what binds in a played day, told from its logs."""

import io
import json
import unittest

from bench.bottlenecks import DayLog, print_day, read_events


def line(at_s: float, process: str, event: str, **fields: object) -> str:
    """Return a line of a play's output."""
    return f"{at_s:9.4f} {process} " + json.dumps({"event": event, **fields})


STATE = {
    "workers": 3,
    "with_lasting": 1,
    "idle": 2,
    "cores": 192,
    "cores_used": 40,
    "waiting_core_s": 7,
    "tasks_hopeless": 0,
    "unseen_workers": 0,
}
LINES = [
    "built in 0.1 s; 10 lines in 2 files",
    line(0.1, "a", "term-begun", service="s", token=5),
    line(0.2, "a", "pool-state", service="s", token=5, **STATE),
    line(0.3, "b", "job-submit", id="j", outcome="accepted"),
    line(0.4, "a", "need-told", service="s", token=5, lacking=4, free=0),
    line(0.5, "a", "need-told", service="s", token=5, lacking=2, free=1),
    line(0.6, "c", "machine-ordered", order="move", pool="spare", to="s", outcome="obeyed"),
    line(0.7, "c", "machine-ordered", order="move", pool="spare", to="s", outcome="busy"),
    line(1.9, "a", "run-started", id="j", token=5, outcome="obeyed"),
    line(2.4, "a", "run-ended", id="j", token=5, how="failed"),
    '   3.0000 a {"event": "cut o',
]


class DayTests(unittest.TestCase):
    def test_a_second_of_a_service(self) -> None:
        """Its pool, the jobs that came, what it lacked most, what was ordered, and who held it."""
        log = DayLog(events=read_events(LINES))
        self.assertEqual(["s"], log.services)
        (row,) = log.rows("s")
        self.assertEqual((0, 3, 1, 2, 192, 40, 7, 0, 0, 1, 4, 1, 1, "", 1, "a"), row)
        self.assertEqual({"workers": 3, "idle": 2, "with_lasting": 1}, log.machine_seconds("s"))

    def test_where_a_jobs_time_went(self) -> None:
        """It waited 1.6 s for its first start, and a run of it failed."""
        out = io.StringIO()
        print_day(DayLog(events=read_events(LINES)), out)
        self.assertIn("s: 1 jobs, 1 waited 2 s, longest 1.6 s, {'failed': 1}", out.getvalue())


if __name__ == "__main__":
    unittest.main()
