"""Tests of racks that fall silent."""

import json
import unittest

from parameterized import parameterized

from shallotworks.logs import StructuredLog
from shallotworks.scheduling import Run, RunningTask, RunPhase
from tests.scheduling_fakes import SchedulingHarness, job, step, view

RACK_SIZE = 6


class RackHarness(SchedulingHarness):
    """Two racks of six workers with a task on each worker, which the first decision starts."""

    def __init__(self) -> None:
        names = [(f"{rack}{n}", rack) for rack in ("a", "b") for n in range(RACK_SIZE)]
        super().__init__(*(view(name, rack=rack, cpu_millicores=2000) for name, rack in names))
        self.lines: list[bytes] = []
        self.log = StructuredLog(process="test", write=self._record)
        self.scheduler_state.dark_racks._log = self.log
        wanted = step(2 * RACK_SIZE, estimated_s=60.0, most_per_worker=1)
        self.add_job(job("j", wanted))
        self.busy: dict[str, Run] = {}
        for order in self.start_orders():
            order.run.enter(RunPhase.RUNNING, self.now_s)
            self.busy[order.run.worker_id] = order.run

    def _record(self, data: bytes) -> int:
        self.lines.append(data)
        return len(data)

    def advance(self, for_s: float, silent: set[str]) -> None:
        """Let all workers but the silent ones report each 0.5 s."""
        for _ in range(int(for_s * 2)):
            self.now_s += 0.5
            for worker_id, run in self.busy.items():
                if worker_id not in silent:
                    row = RunningTask(name=run.name, run_id=run.run_id, percent=1)
                    self.report(worker_id, running=(row,))
            self.decide()

    def dark_lines(self) -> list[dict[str, object]]:
        """Return the lines on dark racks."""
        self.log.flush()
        records = [json.loads(line) for line in b"".join(self.lines).splitlines()]
        return [record for record in records if record["event"] == "rack-dark"]

    def place(self, count: int) -> list[str]:
        """Return the racks on which new tasks are started, in order."""
        self.add_job(job("k", step(count)))
        return [order.run.worker_id[0] for order in self.start_orders()]


class DarkRackTests(unittest.TestCase):
    def test_a_dark_rack_comes_last_and_is_not_excluded(self) -> None:
        """Guards against starts on the rest of a rack that has just lost a third of its workers."""
        harness = RackHarness()
        harness.advance(2.0, {"a0", "a1", "a2"})
        self.assertEqual(["b"] * 6, harness.place(9)[:6])
        (line,) = harness.dark_lines()
        self.assertEqual(("a", 3, 6), (line["rack"], line["silent"], line["workers"]))

    def test_a_rack_is_used_again_after_some_seconds(self) -> None:
        """Guards against a rack that stays avoided once it is back."""
        harness = RackHarness()
        harness.advance(2.0, {"a0", "a1", "a2"})
        harness.advance(6.0, set())
        self.assertEqual({"a"}, set(harness.place(6)))
        self.assertEqual(1, len(harness.dark_lines()))

    @parameterized.expand(
        [
            ("two workers", {"a0", "a1"}),
            ("one of each rack", {"a0", "b0"}),
            ("two of each rack", {"a0", "a1", "b0", "b1"}),
        ]
    )
    def test_single_silent_workers_are_no_dark_rack(self, _: str, silent: set[str]) -> None:
        """Guards against a rack that is avoided for the crashes of single workers."""
        harness = RackHarness()
        harness.advance(3.0, silent)
        self.assertEqual([], harness.dark_lines())

    def test_workers_that_fall_silent_one_by_one_are_no_dark_rack(self) -> None:
        """Guards against taking crashes that are seconds apart for the loss of a rack."""
        harness = RackHarness()
        harness.advance(1.5, {"a0"})
        harness.advance(1.5, {"a0", "a1"})
        harness.advance(2.0, {"a0", "a1", "a2"})
        self.assertEqual([], harness.dark_lines())

    def test_idle_workers_are_not_silent(self) -> None:
        """Guards against a rack without tasks, whose workers are seldom polled, as a dark one."""
        harness = SchedulingHarness(*(view(f"a{n}", rack="a") for n in range(4)))
        harness.now_s += 9.0
        harness.decide()
        self.assertTrue(
            all(one.rack_avoid_until_s == 0 for one in harness.scheduler_state.workers.values())
        )


if __name__ == "__main__":
    unittest.main()
