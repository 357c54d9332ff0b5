"""Tests of what a scheduler's successor adopts from workers, and what it must not start."""

import unittest

from shallotworks.jobs import JobState, TaskName
from shallotworks.scheduling import EndKind, RunningTask, StopOrder
from tests.scheduling_fakes import SchedulingHarness, job, step, view


class TakeoverTests(unittest.TestCase):
    def test_a_running_task_of_a_step_that_is_not_open_is_adopted(self) -> None:
        """A task ran twice at once, since a successor stopped its run as a stray and restarted it.

        Worker a reported the run before worker b reported the end that opens the run's step.
        """
        harness = SchedulingHarness(view("a"), view("b"))
        harness.add_job(job("j", step(1), step(1, after=(0,))), is_inherited=True)
        first, second = TaskName("j", 0, 0, 0), TaskName("j", 0, 1, 0)
        # The predecessor was killed before it stored the first step's end, which only b reports.
        harness.report("a", running=(RunningTask(name=second, run_id=5),))
        harness.report("b", ended=((first, 4, EndKind.DONE),))
        self.assertEqual([], harness.decide())
        harness.report("a", ended=((second, 5, EndKind.DONE),))
        self.assertIs(JobState.COMPLETED, harness.scheduler_state.tracked_jobs["j"].progress.state)

    def test_a_task_waits_until_its_stray_run_has_ended(self) -> None:
        """A task ran twice at once, since it was restarted while its stray run was being stopped.

        Two workers report a run each; the current run fails, and the other one is still alive.
        """
        harness = SchedulingHarness(view("a"), view("b"))
        harness.add_job(job("j", step(1)))
        name = TaskName("j", 0, 0, 0)
        harness.report("a", running=(RunningTask(name=name, run_id=5),))
        harness.report("b", running=(RunningTask(name=name, run_id=6),))
        stops = [order for order in harness.decide() if isinstance(order, StopOrder)]
        self.assertEqual([6], [order.run.run_id for order in stops])
        harness.report("a", ended=((name, 5, EndKind.FAILED),))
        self.assertEqual([], harness.start_orders())
        harness.report("b", ended=((name, 6, EndKind.STOPPED),))
        self.assertEqual([name], [order.run.name for order in harness.start_orders()])

    def test_earlier_jobs_wait_for_workers_that_have_not_answered(self) -> None:
        """A task ran twice at once, with one run on a worker that the successor could not reach.

        Only jobs of the earlier epoch wait until this worker answers or its lease surely expired.
        """
        harness = SchedulingHarness(view("a"))
        harness.scheduler_state.pending_recovery["c"] = harness.now_s + 10
        harness.add_job(job("old", step(1)), is_inherited=True)
        harness.add_job(job("new", step(1)))
        self.assertEqual(["new"], [order.run.name.job_id for order in harness.start_orders()])
        harness.now_s += 10.1
        self.assertEqual(["old"], [order.run.name.job_id for order in harness.start_orders()])

    def test_a_failure_that_is_reported_twice_counts_once(self) -> None:
        """A job failed after one failed run, since the run's end was reported to two schedulers."""
        harness = SchedulingHarness(view("a"))
        harness.add_job(job("j", step(1)))
        name = TaskName("j", 0, 0, 0)
        for _ in range(2):
            harness.report("a", ended=((name, 5, EndKind.FAILED),))
        self.assertIs(JobState.QUEUED, harness.scheduler_state.tracked_jobs["j"].progress.state)
        harness.report("a", ended=((name, 6, EndKind.FAILED),))
        self.assertIs(JobState.FAILED, harness.scheduler_state.tracked_jobs["j"].progress.state)


if __name__ == "__main__":
    unittest.main()
