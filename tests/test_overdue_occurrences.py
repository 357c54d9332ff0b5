"""An accepted job costs a bounded amount, however many occurrences, steps and tasks it has."""

import json
import random
import time
import unittest
from unittest import mock

from parameterized import parameterized

from shallotworks.jobs import (
    Blame,
    Incarnation,
    Job,
    JobProgress,
    JobState,
    LostRun,
    Repeats,
    Step,
    TaskName,
    decode_progress,
    encode_progress,
)
from shallotworks.jobs._occurrences import OccurrenceRanges
from shallotworks.metrics import Metrics
from shallotworks.scheduling import EndKind, RunningTask, StartOrder
from shallotworks.scheduling import _job_entries as job_entries
from shallotworks.scheduling._waiting import WaitMonitor
from shallotworks.store import LeaseTiming
from tests.scheduling_fakes import WALL_S, SchedulingHarness, job, policy, quiet_log, step, view
from tests.test_pool_sizing import SizingHarness

MILLION = 1_000_000
MAX_VALUE_BYTES = 1_048_576
LEASE_S = LeaseTiming().ttl_s
STARTS_PER_DECISION = 64


def overdue_job(
    job_id: str, *steps: Step, count: int = MILLION, interval_s: float = 1.0, **changes: object
) -> Job:
    """Return a job of which all occurrences are due, the last one long ago."""
    repeats = Repeats(
        first_s=max(0.0, WALL_S - 1_000 - count * interval_s), interval_s=interval_s, count=count
    )
    return job(job_id, *steps, repeats=repeats, **changes)


def end_occurrences(one: Job, occurrences: list[int]) -> JobProgress:
    """Return the progress of a job of one step of one task after some occurrences have ended."""
    progress = JobProgress(queue="sweeps")
    for occurrence in occurrences:
        progress.note_done(one, TaskName(one.job_id, occurrence, 0, 0), now_s=WALL_S)
    return progress


class OpenStepsTests(unittest.TestCase):
    @parameterized.expand(
        [
            (
                "none overdue",
                job("j", step(1), repeats=Repeats(first_s=2e6, interval_s=1, count=9)),
            ),
            ("a million, a second apart", overdue_job("j", step(1))),
            ("a million at one moment", overdue_job("j", step(1), interval_s=0.0)),
            ("of two steps", overdue_job("j", step(1), step(1, after=(0,)))),
            ("of many tasks", overdue_job("j", step(10_000), count=1_000)),
        ]
    )
    def test_a_job_with_overdue_occurrences_opens_a_bounded_number(
        self, _name: str, one: Job
    ) -> None:
        """Guards against a job that stops the event loop for longer than a lease."""
        for is_inherited in (False, True):
            harness = SchedulingHarness(view("w"))
            with mock.patch.object(
                job_entries, "TrackedStep", side_effect=job_entries.TrackedStep
            ) as created:
                harness.add_job(one, is_inherited=is_inherited)
                for _ in range(5):
                    harness.decide()
            self.assertLessEqual(created.call_count, 2 * STARTS_PER_DECISION + 4)

    def test_many_jobs_with_overdue_occurrences_open_a_bounded_number(self) -> None:
        """Guards against a takeover that is held up by many jobs of a thousand occurrences each."""
        harness = SchedulingHarness(view("w"))
        for number in range(500):
            harness.add_job(overdue_job(f"{number:016x}", step(1), count=1_000))
        harness.decide()
        self.assertLessEqual(sum(1 for _ in harness.scheduler_state.open_steps()), 2_000)

    def test_a_free_pool_is_supplied(self) -> None:
        """Guards against idle workers beside a backlog that is opened too slowly."""
        harness = SchedulingHarness(*(view(f"w{number}") for number in range(80)))
        harness.add_job(overdue_job("j", step(1)))
        self.assertEqual([64, 64, 64, 64, 64, 0], [len(harness.start_orders()) for _ in range(6)])

    @parameterized.expand(
        [
            ("a later step", step(1), step(1, label="rare", after=(0,))),
            ("another first step", step(1), step(1, label="rare")),
        ]
    )
    def test_a_step_that_waits_for_a_worker_holds_no_other_step_up(
        self, _name: str, *steps: Step
    ) -> None:
        """Guards against idle workers beside due occurrences whose first step they could run."""
        harness = SchedulingHarness(view("w"))
        harness.add_job(overdue_job("j", *steps))
        for _ in range(60):
            orders = harness.start_orders()
            self.assertEqual(4, len(orders))
            for order in orders:
                run = order.run
                harness.report("w", ended=((run.name, run.run_id, EndKind.DONE),))

    def test_a_step_that_waits_for_good_is_opened_a_bounded_number_of_times(self) -> None:
        """Guards against memory that grows while the later steps of a backlog wait."""
        harness = SchedulingHarness(view("w"))
        harness.add_job(overdue_job("j", step(1), step(1, label="rare", after=(0,))))
        with mock.patch.object(job_entries, "MAX_TASKS", 200):
            for _ in range(100):
                for order in harness.start_orders():
                    run = order.run
                    harness.report("w", ended=((run.name, run.run_id, EndKind.DONE),))
        self.assertLess(len(harness.scheduler_state.tracked_jobs["j"].steps), 250)

    def test_occurrences_that_request_nothing_have_a_bounded_number_of_runs(self) -> None:
        """Guards against a job whose tasks all fit at once, until reports of them take too long."""
        harness = SchedulingHarness(view("w"))
        one = overdue_job("j", step(1, cpu_millicores=0, memory_mb=0, is_lasting=True))
        with mock.patch.object(job_entries, "MAX_TASKS", 200):
            harness.add_job(one)
            for _ in range(20):
                harness.start_orders()
        self.assertLess(len(harness.worker("w").runs), 200 + 2 * STARTS_PER_DECISION)

    def test_tasks_that_wait_for_isolation_hold_no_other_occurrence_up(self) -> None:
        """Guards against a backlog that stands still behind tasks which lost their workers."""
        lost = LostRun(
            run_id=1, incarnation=Incarnation(worker_id="z"), blame=Blame.SOLE, is_certain=True
        )
        rows = {(occurrence, 0, 0): (lost,) for occurrence in range(500)}
        harness = SchedulingHarness(view("w"))
        harness.add_job(overdue_job("j", step(1)), progress=JobProgress(queue="sweeps", lost=rows))
        harness.decide()
        opened = [entry.occurrence for entry in harness.scheduler_state.open_steps()]
        self.assertGreater(max(opened), 500)

    def test_a_job_of_many_steps_is_added_within_a_lease(self) -> None:
        """Guards against a job whose steps are each compared with all others when it is read."""
        harness = SchedulingHarness(view("w"))
        started_s = time.perf_counter()
        harness.add_job(job("j", *[step(1)] * 10_000))
        harness.decide()
        self.assertLess(time.perf_counter() - started_s, LEASE_S)

    def test_large_gangs_without_room_are_passed_over_within_a_lease(self) -> None:
        """Guards against decisions that try the members of each large gang one by one."""
        pool = [view(f"w{n}", cpu_millicores=64_000, memory_mb=131_072) for n in range(20)]
        harness = SchedulingHarness(*pool)
        for number in range(100):
            harness.add_job(job(f"{number:016x}", step(10_000, is_gang=True)))
        started_s = time.perf_counter()
        self.assertEqual([], harness.start_orders())
        self.assertLess(time.perf_counter() - started_s, LEASE_S)

    def test_the_report_of_waiting_tasks_times_a_bounded_number(self) -> None:
        """Guards against a report that holds a time for each of a million waiting tasks."""
        harness = SchedulingHarness(view("w"))
        monitor = WaitMonitor(
            scheduler_state=harness.scheduler_state, metrics=Metrics(), log=quiet_log()
        )
        for number in range(10):
            harness.add_job(job(f"{number:016x}", step(10_000)))
        summary = monitor.summarise(now_s=harness.now_s, wall_s=WALL_S)
        self.assertEqual(100_000, sum(count for _, count in summary.counts))
        timed = sum(len(since) for since in monitor._waiting_since_s.values())
        self.assertLess(timed, 10_000)


class RunTests(unittest.TestCase):
    @parameterized.expand([(seed,) for seed in range(5)])
    def test_each_overdue_occurrence_runs_once_over_takeovers(self, seed: int) -> None:
        """Guards against occurrences that are left out or run again by the next scheduler."""
        rng = random.Random(seed)
        one = overdue_job("j", step(2), step(1, after=(0,)), count=900)
        record = encode_progress(JobProgress(queue="sweeps"))
        done: set[TaskName] = set()
        while not decode_progress(record).state.is_final:
            harness = SchedulingHarness(*(view(f"w{number}") for number in range(20)))
            harness.add_job(one, progress=decode_progress(record), is_inherited=True)
            tracked_job = harness.scheduler_state.tracked_jobs["j"]
            for _ in range(rng.randint(1, 15)):
                harness.start_orders()
                runs = [
                    run
                    for each in harness.scheduler_state.workers.values()
                    for run in each.runs.values()
                ]
                for run in rng.sample(runs, len(runs) // 2 + bool(runs)):
                    self.assertNotIn(run.name, done)
                    kind = EndKind.DONE if rng.random() < 0.9 else EndKind.STOPPED
                    done |= {run.name} if kind is EndKind.DONE else set()
                    harness.report(run.worker_id, ended=((run.name, run.run_id, kind),))
            record = encode_progress(tracked_job.progress, one)
        self.assertIs(JobState.COMPLETED, decode_progress(record).state)
        self.assertEqual(900 * 3, len(done))

    def test_ended_occurrences_leave_nothing_behind(self) -> None:
        """Guards against memory that grows with each occurrence in which a task failed."""
        harness = SchedulingHarness(view("w"))
        harness.add_job(overdue_job("j", step(1, is_checkpointed=True)))
        tracked_job = harness.scheduler_state.tracked_jobs["j"]
        for kind in [EndKind.FAILED, EndKind.DONE] * 200:
            harness.start_orders()
            runs = list(harness.worker("w").runs.values())
            rows = (RunningTask(name=run.name, run_id=run.run_id, checkpoint="c") for run in runs)
            harness.report("w", running=tuple(rows))
            for run in runs:
                harness.report("w", ended=((run.name, run.run_id, kind),))
            harness.now_s += 60.0
        self.assertGreater(tracked_job.progress.ended.count, 200)
        kept = (
            tracked_job.avoided_workers,
            tracked_job.checkpoints,
            tracked_job.failed_ends,
            tracked_job.progress.failures,
        )
        self.assertLess(max(map(len, kept)), 20)


class OrderTests(unittest.TestCase):
    @parameterized.expand([("the same", 1, 1), ("a lower", 0, 5)])
    def test_a_job_handed_in_now_comes_before_overdue_occurrences(
        self, _name: str, overdue_priority: int, priority: int
    ) -> None:
        """Guards against callers who wait behind hours of overdue work that nobody waits for."""
        harness = SchedulingHarness(view("w"))
        harness.add_job(overdue_job("a", step(1), policy=policy(priority=overdue_priority)))
        harness.start_orders()
        new = job("b", step(1), policy=policy(queue="other", priority=priority))
        harness.add_job(new)
        run = next(iter(harness.worker("w").runs.values()))
        harness.report("w", ended=((run.name, run.run_id, EndKind.DONE),))
        orders = [one for one in harness.decide() if isinstance(one, StartOrder)]
        self.assertEqual(["b"], [order.run.name.job_id for order in orders])

    def test_overdue_occurrences_request_no_machines(self) -> None:
        """Guards against other services whose machines serve a backlog that is past any use."""
        harness = SizingHarness("w")
        harness.add_job(overdue_job("j", step(1)))
        harness.start_orders()
        self.assertEqual(0, harness.assess().lacking)


class RecordTests(unittest.TestCase):
    @parameterized.expand([("in order", False), ("out of order", True)])
    def test_a_million_ended_occurrences_fit_into_a_record(
        self, _name: str, is_shuffled: bool
    ) -> None:
        """Guards against a record that the store refuses, so that no end is acknowledged."""
        one = overdue_job("j", step(1))
        ended = list(range(MILLION - 20_000, MILLION))
        if is_shuffled:
            rng = random.Random(1)
            for start in range(0, len(ended), 100):
                ended[start : start + 100] = rng.sample(ended[start : start + 100], 100)
        earlier = OccurrenceRanges([(0, MILLION - 20_001)])
        progress = JobProgress(queue="sweeps", ended=earlier)
        for occurrence in ended[:-1]:
            progress.note_done(one, TaskName("j", occurrence, 0, 0), now_s=WALL_S)
        record = encode_progress(progress, one)
        self.assertLess(len(record), 1_000)
        decoded = decode_progress(record)
        self.assertEqual(MILLION - 1, decoded.ended.count)
        self.assertEqual(record, encode_progress(decoded, one))
        missing = TaskName("j", ended[-1], 0, 0)
        self.assertFalse(decoded.is_done(missing))
        decoded.note_done(one, missing, now_s=WALL_S)
        self.assertIs(JobState.COMPLETED, decoded.state)

    def test_a_record_stays_within_the_limit_of_the_store(self) -> None:
        """Guards against a record that lost runs make longer than the store takes."""
        runs = tuple(
            LostRun(
                run_id=10**9 + number,
                incarnation=Incarnation(worker_id="i-66186762cd", born_ms=1_700_000_000_000),
                blame=Blame.SHARED,
                is_certain=True,
            )
            for number in range(8)
        )
        progress = JobProgress(queue="q", lost={(0, 0, number): runs for number in range(10_000)})
        self.assertLess(len(encode_progress(progress)), MAX_VALUE_BYTES)

    def test_the_release_before_reads_few_ended_occurrences(self) -> None:
        """Guards against a job that runs again while instances are upgraded one after another."""
        one = overdue_job("j", step(3), step(1, after=(0,)), count=40)
        progress = JobProgress(queue="q")
        for occurrence in (0, 2):
            for number, count in ((0, 3), (1, 1)):
                for index in range(count):
                    progress.note_done(one, TaskName("j", occurrence, number, index), now_s=1.0)
        progress.note_done(one, TaskName("j", 3, 0, 1), now_s=1.0)
        fields = json.loads(encode_progress(progress, one))
        rows = [[0, 0, "7"], [0, 1, "1"], [2, 0, "7"], [2, 1, "1"], [3, 0, "2"]]
        self.assertEqual(rows, fields["done"])

    def test_the_release_before_refuses_ranges(self) -> None:
        """Guards against a release that skips the ranges and runs ended occurrences again."""
        one = overdue_job("j", step(1))
        (row,) = json.loads(encode_progress(end_occurrences(one, list(range(9_000))), one))["done"]
        self.assertEqual(2, len(row))

    def test_a_record_of_the_release_before_is_compacted(self) -> None:
        """Guards against a job of that release whose ended occurrences run again."""
        one = overdue_job("j", step(2), count=2_000)
        rows = [[occurrence, 0, "3"] for occurrence in range(1_500)] + [[1_501, 0, "1"]]
        record = json.dumps({"queue": "sweeps", "state": "running", "done": rows}).encode()
        harness = SchedulingHarness()
        harness.add_job(one, progress=decode_progress(record), is_inherited=True)
        harness.decide()
        progress = harness.scheduler_state.tracked_jobs["j"].progress
        self.assertEqual([(0, 1_499)], progress.ended.ranges())
        self.assertEqual({(1_501, 0): 1}, progress.done)
        lowest = min(entry.occurrence for entry in harness.scheduler_state.open_steps())
        self.assertEqual(1_500, lowest)

    @parameterized.expand([([[5, 3]],), ([[0, 3], [3, 5]],), ([[4, 5], [0, 1]],), ([["a", 1]],)])
    def test_ranges_that_are_out_of_order_are_unreadable(self, ranges: list[object]) -> None:
        """Guards against a damaged record that is taken for progress."""
        fields = {"queue": "q", "state": "running", "done": [["ended", ranges]]}
        with self.assertRaises(ValueError):
            decode_progress(json.dumps(fields).encode())


if __name__ == "__main__":
    unittest.main()
