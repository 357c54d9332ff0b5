"""Tests of which ends count as attempts.

Workers list the ends. An oracle counts the runs of each task, or of each gang, that they have
listed as failed, whatever schedulers have read of it.
"""

from __future__ import annotations

import random
import unittest
from collections.abc import Callable

from hypothesis import given, settings
from hypothesis import strategies as st
from parameterized import parameterized

from shallotworks.jobs import (
    JobProgress,
    JobState,
    Step,
    TaskName,
    decode_job,
    decode_progress,
    encode_job,
    encode_progress,
)
from shallotworks.scheduling import EndKind
from tests.attempt_history import (
    ENDS_PER_ANSWER,
    JOB_ID,
    WORKER_IDS,
    AttemptHistory,
    fail_next,
)
from tests.scheduling_fakes import job, policy, step

OTHER_JOB_ID = "00000000000000bb"
ATTEMPTS = 3
DRAWN_SEEDS = range(1, 61)
DRAWN_STEPS = 120


def listed_again_after_takeovers(history: AttemptHistory) -> None:
    for _ in range(ATTEMPTS - 1):
        fail_next(history)
        history.store()
        for _ in range(3):
            history.take_over()


def read_but_not_stored_before_takeovers(history: AttemptHistory) -> None:
    for _ in range(ATTEMPTS - 1):
        fail_next(history)
        for _ in range(3):
            history.take_over()
        history.store()


def page_read_again(history: AttemptHistory) -> None:
    for _ in range(ATTEMPTS - 1):
        (run,) = history.start()
        for number in range(ENDS_PER_ANSWER - 1):
            history.end(
                run.worker_id, TaskName(OTHER_JOB_ID, 0, 0, number), run.run_id, EndKind.FAILED
            )
        history.end_run(run, EndKind.FAILED, is_reported=False)
        for _ in range(3):
            history.report(run.worker_id)
        history.take_over()
        history.store()
        history.acknowledge(run.worker_id)
        history.report(run.worker_id)


def short_pages_read_again(history: AttemptHistory) -> None:
    for _ in range(ATTEMPTS - 1):
        (run,) = history.start()
        history.end_run(run, EndKind.FAILED, is_reported=False)
        history.end(run.worker_id, TaskName(OTHER_JOB_ID, 0, 0, 0), 1, EndKind.FAILED)
        for _ in range(3):
            history.report(run.worker_id, ends_per_answer=1)
        history.store()
        history.report(run.worker_id, ends_per_answer=1)
        history.acknowledge(run.worker_id)
        history.report(run.worker_id)


def workers_start_again(history: AttemptHistory) -> None:
    for _ in range(ATTEMPTS - 1):
        run = fail_next(history)
        history.store()
        history.restart(run.worker_id)
        history.report(run.worker_id)
        history.take_over()


def workers_start_again_before_their_ends_are_stored(history: AttemptHistory) -> None:
    for _ in range(ATTEMPTS - 1):
        run = fail_next(history)
        history.restart(run.worker_id)
        history.take_over()


def numbers_used_again_by_a_later_incarnation(history: AttemptHistory) -> None:
    run = fail_next(history)
    history.store()
    history.restart(run.worker_id)
    for _ in range(ATTEMPTS):
        history.end_run(run, EndKind.STOPPED)
    history.take_over()


def copies_of_one_task(history: AttemptHistory) -> None:
    (run,) = history.start()
    others = [worker_id for worker_id in WORKER_IDS if worker_id != run.worker_id]
    copy = history.start_copy(run, others[0])
    for one in (run, copy):
        history.end_run(one, EndKind.FAILED)
        history.store()
        history.take_over()


def runs_that_were_stopped(history: AttemptHistory) -> None:
    for kind in (EndKind.STOPPED, EndKind.LAPSED, EndKind.BROKEN, EndKind.ALONE) * 2:
        (run,) = history.start()
        history.state.request_stop(run, "moved")
        history.end_run(run, kind)
        history.store()
        history.take_over()


def runs_that_fail_while_they_are_stopped(history: AttemptHistory) -> None:
    for _ in range(ATTEMPTS - 1):
        (run,) = history.start()
        history.state.request_stop(run, "moved")
        history.end_run(run, EndKind.FAILED)
        history.end(run.worker_id, run.name, run.run_id, EndKind.STOPPED)
        history.report(run.worker_id)
        history.store()


def one_run_number_on_two_workers(history: AttemptHistory) -> None:
    (run,) = history.start()
    others = [worker_id for worker_id in WORKER_IDS if worker_id != run.worker_id]
    history.end_run(run, EndKind.FAILED)
    history.end(others[0], run.name, run.run_id, EndKind.FAILED)
    history.report(others[0])


def ends_of_other_jobs_and_tasks(history: AttemptHistory) -> None:
    for number in range(ATTEMPTS * 2):
        run_id = number + 1
        for name in (
            TaskName(OTHER_JOB_ID, 0, 0, 0),
            TaskName(JOB_ID, 0, 0, 7),
            TaskName(JOB_ID, 0, 5, 0),
            TaskName(JOB_ID, 3, 0, 0),
        ):
            history.workers["a"].end(name, run_id, EndKind.FAILED)
        history.report("a")
        history.store()


def members_of_one_gang_run(history: AttemptHistory) -> None:
    for _ in range(ATTEMPTS - 1):
        for run in history.start():
            history.end_run(run, EndKind.FAILED)
        history.store()
        history.take_over()


def members_of_one_gang_run_read_by_two_schedulers(history: AttemptHistory) -> None:
    for _ in range(ATTEMPTS - 1):
        first, second = history.start()
        history.end_run(first, EndKind.FAILED)
        history.store()
        history.acknowledge(first.worker_id)
        history.take_over()
        history.end_run(second, EndKind.FAILED)
        history.store()
        history.take_over()


def gang_runs_with_broken_members(history: AttemptHistory) -> None:
    for number in range(ATTEMPTS - 1):
        runs = history.start()
        failed = runs.pop(number % len(runs))
        for run in runs:
            history.end_run(run, EndKind.BROKEN)
        history.end_run(failed, EndKind.FAILED)
        history.store()
        history.take_over()


def gang_runs_whose_members_wait_in_vain(history: AttemptHistory) -> None:
    for _ in range(ATTEMPTS + 1):
        for run in history.start():
            history.end_run(run, EndKind.ALONE)
        history.store()


PLAIN, GANG, SPECULATIVE = step(1), step(2, is_gang=True), step(1, is_speculative=True)
Way = Callable[[AttemptHistory], None]
WAYS: tuple[tuple[Way, Step, int], ...] = (
    (listed_again_after_takeovers, PLAIN, ATTEMPTS - 1),
    (read_but_not_stored_before_takeovers, PLAIN, ATTEMPTS - 1),
    (page_read_again, PLAIN, ATTEMPTS - 1),
    (short_pages_read_again, PLAIN, ATTEMPTS - 1),
    (workers_start_again, PLAIN, ATTEMPTS - 1),
    (workers_start_again_before_their_ends_are_stored, PLAIN, 0),
    (numbers_used_again_by_a_later_incarnation, PLAIN, 1),
    (copies_of_one_task, SPECULATIVE, ATTEMPTS - 1),
    (runs_that_were_stopped, PLAIN, 0),
    (runs_that_fail_while_they_are_stopped, PLAIN, ATTEMPTS - 1),
    (one_run_number_on_two_workers, PLAIN, 1),
    (ends_of_other_jobs_and_tasks, PLAIN, 0),
    (members_of_one_gang_run, GANG, ATTEMPTS - 1),
    (members_of_one_gang_run_read_by_two_schedulers, GANG, ATTEMPTS - 1),
    (gang_runs_with_broken_members, GANG, ATTEMPTS - 1),
    (gang_runs_whose_members_wait_in_vain, GANG, 0),
)
WAYS_OF_BOTH_KINDS = [
    (f"{way.__name__}_{kind}", way, one, expected, kind == "born_stated")
    for way, one, expected in WAYS
    for kind in ("born_stated", "born_unknown")
]


class CountedEndTests(unittest.TestCase):
    def _check(self, history: AttemptHistory, expected: int) -> None:
        """Check that a job with fewer failed runs than allowed goes on, and then fails."""
        self.assertEqual([], history.violations())
        self.assertLess(history.most_failed, ATTEMPTS)
        counted = max((len(runs) for runs in history.progress.failures.values()), default=0)
        self.assertEqual(expected, counted)
        for _ in range(ATTEMPTS - expected):
            self.assertFalse(history.progress.state.is_final)
            for run in history.start():
                history.end_run(run, EndKind.FAILED)
            history.store()
            self.assertEqual([], history.violations())
        self.assertIs(JobState.FAILED, history.progress.state)

    @parameterized.expand(WAYS_OF_BOTH_KINDS)
    def test_a_job_fails_only_after_its_attempts(
        self, _name: str, way: Way, one: Step, expected: int, is_born_stated: bool
    ) -> None:
        """Guards against a failed job because of ends that are no attempts, or counted twice."""
        one_job = job(JOB_ID, one, policy=policy(most_attempts=ATTEMPTS))
        history = AttemptHistory(one_job, is_born_stated=is_born_stated)
        way(history)
        self._check(history, expected)

    def test_runs_lost_with_their_workers_are_no_attempts(self) -> None:
        """Guards against a failed job because workers that start again lose its runs."""
        history = AttemptHistory(job(JOB_ID, PLAIN, policy=policy(most_attempts=ATTEMPTS)))
        fail_next(history)
        for _ in range(ATTEMPTS + 1):
            (run,) = history.start()
            history.restart(run.worker_id)
            history.report(run.worker_id)
            history.store()
        self._check(history, 1)

    def test_failed_runs_of_different_tasks_are_not_added_up(self) -> None:
        """Guards against a failed job of which each task has an attempt left."""
        one_job = job(JOB_ID, step(3), GANG, policy=policy(most_attempts=ATTEMPTS))
        history = AttemptHistory(one_job)
        for _ in range(ATTEMPTS - 1):
            for run in history.start():
                history.end_run(run, EndKind.FAILED)
            history.store()
            history.take_over()
        self.assertEqual(4, len(history.progress.failures))
        self._check(history, ATTEMPTS - 1)

    @parameterized.expand(
        [
            ("done_is_read_first", ATTEMPTS, True),
            ("failed_is_read_first", ATTEMPTS, False),
            ("done_is_read_first_without_another_attempt", 1, True),
        ]
    )
    def test_a_failed_run_of_a_task_that_another_run_has_done(
        self, _name: str, attempts: int, is_done_first: bool
    ) -> None:
        """Guards against a failed job whose task was known to be done by another run."""
        one_job = job(JOB_ID, SPECULATIVE, PLAIN, policy=policy(most_attempts=attempts))
        history = AttemptHistory(one_job)
        run, other = sorted(history.start(), key=lambda one: one.name.step)
        copy = history.start_copy(run, next(one for one in WORKER_IDS if one != run.worker_id))
        history.end_run(run, EndKind.DONE, is_reported=False)
        history.end_run(copy, EndKind.FAILED, is_reported=False)
        for one in (run, copy) if is_done_first else (copy, run):
            history.report(one.worker_id)
        history.end_run(other, EndKind.DONE)
        for _ in range(2):
            self.assertEqual([], history.violations())
            self.assertIs(JobState.COMPLETED, history.progress.state)
            history.store()
            history.take_over()


class DrawnHistory(AttemptHistory):
    """A job of several kinds of tasks through drawn ends and faults.

    Args:
        rng: Draws what happens.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._ended_runs: list[tuple[TaskName, int]] = []
        attempts = rng.randint(1, 4)
        super().__init__(
            job(JOB_ID, step(2), GANG, SPECULATIVE, policy=policy(most_attempts=attempts)),
            is_born_stated=rng.random() < 0.7,
        )

    def act(self) -> None:
        """Do one thing."""
        acts: tuple[tuple[int, Callable[[], object]], ...] = (
            (6, self.start),
            (8, self._end_any),
            (8, self._report_any),
            (3, self.store),
            (3, lambda: self.acknowledge(self._rng.choice(WORKER_IDS))),
            (2, self.take_over),
            (1, lambda: self.restart(self._rng.choice(WORKER_IDS))),
            (2, self._copy_any),
            (1, self._stop_any),
            (1, self._carry_out_late),
        )
        weights = [weight for weight, _ in acts]
        self._rng.choices([act for _, act in acts], weights=weights)[0]()

    def _report_any(self) -> None:
        ends_per_answer = self._rng.choice((1, 2, ENDS_PER_ANSWER))
        self.report(self._rng.choice(WORKER_IDS), ends_per_answer=ends_per_answer)

    def _end_any(self) -> None:
        at_work = [
            (worker_id, name, run_id)
            for worker_id, worker in self.workers.items()
            for name, run_id in worker.running
        ]
        if not at_work:
            return
        worker_id, name, run_id = self._rng.choice(at_work)
        kind = self._rng.choices(list(EndKind), weights=(1, 6, 1, 1, 1, 1))[0]
        self._end_drawn(worker_id, name, run_id, kind)
        if not self.job.steps[name.step].is_gang:
            return
        for other_id, other, other_run in at_work:
            if other != name and (other.step, other_run) == (name.step, run_id):
                rest = (EndKind.DONE,) if kind is EndKind.DONE else (EndKind.BROKEN, kind)
                self._end_drawn(other_id, other, other_run, self._rng.choice(rest))

    def _end_drawn(self, worker_id: str, name: TaskName, run_id: int, kind: EndKind) -> None:
        self._ended_runs.append((name, run_id))
        self.end(worker_id, name, run_id, kind)

    def _copy_any(self) -> None:
        tracked_job = self.state.tracked_jobs.get(JOB_ID)
        runs = tracked_job.runs.values() if tracked_job is not None else ()
        for run in list(runs):
            if run.step.is_speculative and not run.is_paired and self.state.open_step(run.name):
                others = [one for one in WORKER_IDS if one != run.worker_id]
                self.start_copy(run, self._rng.choice(others))

    def _stop_any(self) -> None:
        runs = [run for worker in self.state.workers.values() for run in worker.runs.values()]
        if runs:
            self.state.request_stop(self._rng.choice(runs), "moved")

    def _carry_out_late(self) -> None:
        """Carry a start out again on a worker that has not had the run."""
        if not self._ended_runs:
            return
        name, run_id = self._rng.choice(self._ended_runs)
        worker = self.workers[self._rng.choice(WORKER_IDS)]
        known = {*worker.running, *((end.name, end.run_id) for end in worker.ended)}
        if (name, run_id) not in known:
            worker.running.append((name, run_id))


class DrawnEndTests(unittest.TestCase):
    def test_drawn_ends_and_takeovers(self) -> None:
        """Guards against a failed job because of ends in an order that no table has."""
        final_states = []
        for seed in DRAWN_SEEDS:
            with self.subTest(seed=seed):
                history = DrawnHistory(random.Random(seed))
                for _ in range(DRAWN_STEPS):
                    history.act()
                    self.assertEqual([], history.violations())
                final_states.append(history.progress.state)
        self.assertIn(JobState.FAILED, final_states)
        self.assertIn(JobState.COMPLETED, final_states)


class ProgressRecordTests(unittest.TestCase):
    @given(
        attempts=st.integers(min_value=1, max_value=4),
        run_ids=st.lists(st.integers(min_value=1, max_value=6), max_size=12),
        decode_after=st.integers(min_value=0, max_value=3),
    )
    @settings(max_examples=200, deadline=None, derandomize=True, database=None)
    def test_attempts_are_counted_once_across_records(
        self, attempts: int, run_ids: list[int], decode_after: int
    ) -> None:
        """Guards against an attempt that counts again after its record was read."""
        one_job = decode_job(encode_job(job(JOB_ID, PLAIN, policy=policy(most_attempts=attempts))))
        progress = JobProgress(queue="sweeps")
        for number, run_id in enumerate(run_ids, start=1):
            progress.note_failed(one_job, TaskName(JOB_ID, 0, 0, 0), run_id, now_s=1.0)
            if decode_after and number % decode_after == 0:
                progress = decode_progress(encode_progress(progress))
            has_failed = len(set(run_ids[:number])) >= attempts
            self.assertIs(has_failed, progress.state is JobState.FAILED)


if __name__ == "__main__":
    unittest.main()
