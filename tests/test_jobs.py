"""Tests of `shallotworks.jobs`: the definition of a job, its progress and its records."""

import unittest

from parameterized import parameterized

from shallotworks.jobs import (
    Job,
    JobKeys,
    JobProgress,
    JobState,
    Repeats,
    Step,
    TaskName,
    decode_job,
    decode_progress,
    encode_job,
    encode_progress,
    job_problems,
)
from tests.scheduling_fakes import job, policy, step

LONG_SPEC = "x" * 4001


def repeating(**changes: float) -> Job:
    """Return a job that repeats."""
    values = {"first_s": 1.0, "interval_s": 1.0, "count": 2} | changes
    return job("j", step(1), repeats=Repeats(**values))  # type: ignore[arg-type]


class JobProblemsTests(unittest.TestCase):
    @parameterized.expand(
        [
            ("no step", job("j")),
            ("no task", job("j", step(0))),
            ("after itself", job("j", step(1, after=(0,)))),
            ("after a later one", job("j", step(1, after=(1,)), step(1))),
            ("after a negative one", job("j", step(1, after=(-1,)))),
            ("negative processor", job("j", step(1, cpu_millicores=-1))),
            ("absurd memory", job("j", step(1, memory_mb=10**12))),
            ("negative length", job("j", step(1, estimated_s=-1.0))),
            ("too many tasks", job("j", step(10_001))),
            ("long spec", job("j", step(1), spec=LONG_SPEC)),
            ("negative interval", repeating(interval_s=-1.0)),
            ("endless repeats", repeating(count=10**9)),
        ]
    )
    def test_an_invalid_job_is_reported(self, _name: str, job_under_test: Job) -> None:
        """Each kind of invalid job is reported with at least one problem."""
        self.assertNotEqual([], list(job_problems(job_under_test)))

    def test_a_valid_job_has_no_problem(self) -> None:
        """Steps may depend on earlier steps, and a job may repeat."""
        repeats = Repeats(first_s=1.0, interval_s=0.0, count=3)
        self.assertEqual(
            [], list(job_problems(job("j", step(2), step(1, after=(0,)), repeats=repeats)))
        )


class ProgressTests(unittest.TestCase):
    def test_completed_when_all_tasks_of_all_occurrences_are_done(self) -> None:
        """The last task of the last occurrence completes the job."""
        job_under_test = job("j", step(2), repeats=Repeats(first_s=0, interval_s=1, count=2))
        progress = JobProgress(queue="q")
        names = [TaskName("j", k, 0, n) for k in (0, 1) for n in (0, 1)]
        for name in names[:-1]:
            progress.note_done(job_under_test, name, now_s=5.0)
            self.assertIs(JobState.QUEUED, progress.state)
        progress.note_done(job_under_test, names[-1], now_s=6.0)
        self.assertIs(JobState.COMPLETED, progress.state)
        self.assertEqual(6.0, progress.ended_s)

    def test_one_end_of_a_gang_counts_for_all_its_tasks(self) -> None:
        """The tasks of a gang end together, so that one end completes the step."""
        job_under_test = job("j", step(3, is_gang=True))
        progress = JobProgress(queue="q")
        progress.note_done(job_under_test, TaskName("j", 0, 0, 1), now_s=1.0)
        self.assertIs(JobState.COMPLETED, progress.state)

    @parameterized.expand(
        [
            ("below the limit", Step(count=1), (1,), JobState.QUEUED),
            ("the same run again", Step(count=1), (1, 1), JobState.QUEUED),
            ("at the limit", Step(count=1), (1, 2), JobState.FAILED),
            ("lasting tasks", Step(count=1, is_lasting=True), (1, 2, 3), JobState.QUEUED),
        ]
    )
    def test_a_job_fails_at_its_limit_of_failed_runs(
        self, _name: str, task_step: Step, runs: tuple[int, ...], expected: JobState
    ) -> None:
        """A job fails with the last attempt of one task; lasting tasks may fail without limit."""
        job_under_test = job("j", task_step, policy=policy(most_attempts=2))
        progress = JobProgress(queue="q")
        for run_id in runs:
            progress.note_failed(job_under_test, TaskName("j", 0, 0, 0), run_id, now_s=1.0)
        self.assertIs(expected, progress.state)

    def test_a_final_state_stays(self) -> None:
        """A task that ends after its job was cancelled must not complete the job."""
        job_under_test = job("j", step(1))
        progress = JobProgress(queue="q")
        progress.finish(JobState.CANCELLED, now_s=1.0)
        progress.note_done(job_under_test, TaskName("j", 0, 0, 0), now_s=2.0)
        self.assertIs(JobState.CANCELLED, progress.state)


class RecordTests(unittest.TestCase):
    def test_a_job_is_unchanged_by_encoding(self) -> None:
        """A decoded job equals the encoded one, so that no field is lost."""
        job_under_test = job(
            "j",
            step(2, label="a", near_rack="r1", most_per_worker=1, is_gang=True, may_miss=1),
            step(1, after=(0,), is_filler=True, target_s=0.2, image="i"),
            repeats=Repeats(first_s=1.5, interval_s=2.5, count=3),
        )
        self.assertEqual(job_under_test, decode_job(encode_job(job_under_test)))

    def test_progress_is_unchanged_by_encoding(self) -> None:
        """Done tasks, failures and the state are stored."""
        job_under_test = job("j", step(70), step(1))
        progress = JobProgress(queue="q")
        progress.note_done(job_under_test, TaskName("j", 0, 0, 69), now_s=1.0)
        progress.note_failed(job_under_test, TaskName("j", 0, 1, 0), 5, now_s=1.0)
        decoded = decode_progress(encode_progress(progress))
        self.assertEqual(encode_progress(progress), encode_progress(decoded))
        self.assertTrue(decoded.is_done(TaskName("j", 0, 0, 69)))
        self.assertEqual({(0, 1, 0): (5,)}, decoded.failures)

    @parameterized.expand([(b"",), (b"{}",), (b'{"queue":"q","state":"odd"}',), (b"[1]",)])
    def test_an_unreadable_progress_record_is_an_error(self, record: bytes) -> None:
        """A record that can't be read must not be taken for a job without progress."""
        with self.assertRaises(ValueError):
            decode_progress(record)

    def test_keys(self) -> None:
        """A key identifies its job; the scheduler's marker key sorts before all jobs."""
        keys = JobKeys(service="s")
        self.assertEqual(("ab", False), keys.parse(keys.job("ab")))
        self.assertEqual(("ab", True), keys.parse(keys.progress("ab")))
        self.assertLess(keys.marker_key, keys.job("0000000000000000"))


class ObjectiveTests(unittest.TestCase):
    def test_the_longest_chain_counts(self) -> None:
        """The estimates of steps that run in parallel are not added up."""
        job_under_test = job(
            "j",
            step(1, estimated_s=1.0),
            step(1, estimated_s=3.0),
            step(1, estimated_s=2.0, after=(0, 1)),
            policy=policy(stretch=1.5, target_latency_s=0.5),
        )
        self.assertEqual(5.0, job_under_test.critical_path_s())
        self.assertEqual(8.0, job_under_test.objective_s())


if __name__ == "__main__":
    unittest.main()
