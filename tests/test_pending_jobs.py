"""A job counts as begun once a worker has confirmed that a task of it runs."""

import unittest

from parameterized import parameterized

from shallotworks.jobs import JobState
from shallotworks.scheduling import EndKind, RunningTask
from tests.scheduling_fakes import SchedulingHarness, job, step, view

JOB_ID = "00000000000000aa"


class PendingJobTests(unittest.TestCase):
    def test_a_job_whose_start_was_refused_is_pending(self) -> None:
        """Guards against a count of pending jobs without those that no worker accepted."""
        harness = SchedulingHarness(view("w"))
        harness.add_job(job(JOB_ID, step(1)))
        (order,) = harness.start_orders()
        self.assertEqual({"sweeps": 1}, harness.scheduler_state.count_waiting_jobs())
        harness.scheduler_state.note_start_failed(order.run, harness.now_s)
        self.assertEqual({"sweeps": 1}, harness.scheduler_state.count_waiting_jobs())

    @parameterized.expand([("running", None), ("done", EndKind.DONE), ("failed", EndKind.FAILED)])
    def test_a_job_with_a_reported_task_has_begun(self, _name: str, end: EndKind | None) -> None:
        """Guards against a job that is shown as waiting while or after a task of it runs."""
        harness = SchedulingHarness(view("w"))
        harness.add_job(job(JOB_ID, step(1), step(1, after=(0,))))
        run = harness.start_orders()[0].run
        running = RunningTask(name=run.name, run_id=run.run_id, percent=10)
        harness.report(
            "w",
            running=() if end else (running,),
            ended=((run.name, run.run_id, end),) if end else (),
        )
        self.assertEqual({}, harness.scheduler_state.count_waiting_jobs())
        tracked_job = harness.scheduler_state.tracked_jobs[JOB_ID]
        self.assertIs(JobState.RUNNING, tracked_job.progress.state)
        self.assertTrue(tracked_job.is_dirty)


if __name__ == "__main__":
    unittest.main()
