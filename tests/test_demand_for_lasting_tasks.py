"""A pool requests machines for lasting tasks that its workers can't run, however idle they are."""

import unittest

from parameterized import parameterized

from shallotworks.jobs import Step
from shallotworks.scheduling import PoolSizer, SizingLimits
from tests.scheduling_fakes import WALL_S, SchedulingHarness, job, step, view

WORKER_CORES = 64
WORKER_MEMORY_MB = 4000
WAIT_S = 10.0

CASES = (
    ("spread", step(3, is_lasting=True, most_per_worker=2, memory_mb=100)),
    ("memory", step(3, is_lasting=True, memory_mb=WORKER_MEMORY_MB // 2)),
)


class LackingTests(unittest.TestCase):
    @parameterized.expand(CASES)
    def test_a_waiting_lasting_task_requests_a_machine(self, _name: str, lasting: Step) -> None:
        """A lasting task waits for good beside idle cores, and its pool says that it lacks nothing.

        Its only worker may run no more tasks of the step, or has no memory left.
        """
        harness = SchedulingHarness(
            view("a", cpu_millicores=1000 * WORKER_CORES, memory_mb=WORKER_MEMORY_MB)
        )
        sizer = PoolSizer(scheduler_state=harness.scheduler_state, limits=SizingLimits())
        harness.add_job(job("j", lasting))
        self.assertEqual(2, len(harness.start_orders()))
        harness.now_s += WAIT_S
        self.assertEqual([], harness.start_orders())
        demand = sizer.assess(frozenset(), now_s=harness.now_s, wall_s=WALL_S + WAIT_S)
        self.assertEqual(1, demand.lacking)


if __name__ == "__main__":
    unittest.main()
