"""Tests of `bench.bottlenecks`, which finds the bottlenecks of a simulated day in its logs."""

import io
import json
import unittest

from bench.bottlenecks import DayLog, print_day, read_events
from parameterized import parameterized


def line(at_s: float, process: str, event: str, **fields: object) -> str:
    """Return one line of the output of a simulated day."""
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
KEY = "shallotworks/duty/scheduler/s"
LINES = [
    "built in 0.1 s; 10 lines in 2 files",
    line(0.1, "a", "epoch-begun", service="s", token=5),
    line(0.2, "a", "pool-state", service="s", token=5, **STATE),
    line(0.3, "b", "job-submit", id="j", outcome="accepted"),
    line(0.4, "a", "demand-published", service="s", token=5, lacking=4, free=0),
    line(0.5, "a", "demand-published", service="s", token=5, lacking=2, free=1),
    line(0.6, "c", "machine-ordered", order="move", pool="spare", to="s", outcome="obeyed"),
    line(0.7, "c", "machine-ordered", order="move", pool="spare", to="s", outcome="busy"),
    line(1.9, "a", "run-started", id="j", token=5, outcome="obeyed"),
    line(2.4, "a", "run-ended", id="j", token=5, how="failed"),
    '   3.0000 a {"event": "cut o',
]


class DayTests(unittest.TestCase):
    def test_row_of_a_second(self) -> None:
        """A row has the pool, accepted jobs, largest demand, moves and lease holder of a second."""
        log = DayLog(events=read_events(LINES))
        self.assertEqual(["s"], log.services)
        (row,) = log.rows("s")
        self.assertEqual((0, 3, 1, 2, 192, 40, 7, 0, 0, 1, 4, 1, 1, "", 1, "a", "machines"), row)
        self.assertEqual({"workers": 3, "idle": 2, "with_lasting": 1}, log.machine_seconds("s"))

    @parameterized.expand(
        [
            ("no cause", (), {}, ""),
            (
                "machines",
                (line(0.3, "a", "demand-published", service="s", lacking=1, free=0),),
                {},
                "machines",
            ),
            ("dispatch", (line(0.3, "a", "process-saturated"),), {}, "dispatch"),
            (
                "relieved process",
                (line(0.3, "a", "process-saturated"), line(0.4, "a", "process-relieved")),
                {},
                "",
            ),
            ("another saturated process", (line(0.3, "b", "process-saturated"),), {}, ""),
            ("recovery", (), {"tasks_recovering": 3}, "recovery"),
            ("store", (line(0.3, "a", "duty-rests", key=KEY),), {"tasks_recovering": 3}, "store"),
            (
                "resumed lease",
                (line(0.3, "a", "duty-rests", key=KEY), line(0.4, "a", "duty-resumed", key=KEY)),
                {},
                "",
            ),
        ]
    )
    def test_bottleneck_of_a_second(
        self, _: str, lines: tuple[str, ...], state: dict[str, int], expected: str
    ) -> None:
        """Of several causes for waiting tasks, the one that takes precedence is reported."""
        epoch_line = line(0.1, "a", "epoch-begun", service="s", token=5)
        state_line = line(0.2, "a", "pool-state", service="s", token=5, **(STATE | state))
        (row,) = DayLog(events=read_events([epoch_line, state_line, *lines])).rows("s")
        self.assertEqual(expected, row[-1])

    def test_summary_of_jobs(self) -> None:
        """The summary has a job's wait of 1.6 s for its first start, and its failed run."""
        out = io.StringIO()
        print_day(DayLog(events=read_events(LINES)), out)
        self.assertIn("s: 1 jobs, 1 waited 2 s, longest 1.6 s, {'failed': 1}", out.getvalue())


if __name__ == "__main__":
    unittest.main()
