"""Tests of second runs: one for each row of the table in ``docs/design/uneven-workers.md``."""

import json
import unittest

from parameterized import parameterized

from shallotworks.jobs import Blame, Incarnation, JobState, LostRun, Resources, TaskName
from shallotworks.logs import StructuredLog
from shallotworks.scheduling import (
    EndKind,
    Run,
    RunningTask,
    RunPhase,
    StartOrder,
    StopOrder,
)
from shallotworks.scheduling.teams import TeamRooms
from tests.scheduling_fakes import TOKEN, SchedulingHarness, job, policy, step, view

JOB_ID = "j"
TASK = TaskName(JOB_ID, 0, 0, 0)
EARLIER_RUN_ID = (TOKEN - 1) * 1_000_000 + 1
WIDE_POOL = 20
"""Workers with four cores, of which copies may use four in all."""


class CopyHarness(SchedulingHarness):
    """A pool in racks of five, a task on one of its workers, and that worker made slow or silent.

    Args:
        changes: Changes of the task's step.
        attempts: The queue's attempts.
    """

    def __init__(self, *, attempts: int = 3, count: int = 1, **changes: object) -> None:
        super().__init__(
            *(view(f"w{n:02}", rack=f"r{n // 5}", born_ms=n + 1) for n in range(WIDE_POOL))
        )
        self.lines: list[bytes] = []
        self.log = StructuredLog(process="test", write=self._record)
        self.scheduler_state.copies._log = self.log
        given: dict[str, object] = {"estimated_s": 10.0, "is_speculative": True}
        wanted = step(count, **(given | changes))
        self.add_job(job(JOB_ID, wanted, policy=policy(most_attempts=attempts, stretch=10.0)))

    def _record(self, data: bytes) -> int:
        self.lines.append(data)
        return len(data)

    def events(self, name: str) -> list[dict[str, object]]:
        """Return the lines logged so far for one kind of event."""
        self.log.flush()
        records = [json.loads(line) for line in b"".join(self.lines).splitlines()]
        return [record for record in records if record["event"] == name]

    def start_first(self) -> Run:
        """Start the task, and return its run once its worker has confirmed it."""
        (order,) = self.start_orders()
        self.confirm(order.run)
        return order.run

    def confirm(self, run: Run, percent: int = 0) -> None:
        """Let a run's worker report it."""
        self.report_runs(run.worker_id, {run: percent})

    def report_runs(self, worker_id: str, percents: dict[Run, int]) -> None:
        """Let a worker report runs with their progress."""
        rows = tuple(
            RunningTask(name=run.name, run_id=run.run_id, percent=percent)
            for run, percent in percents.items()
        )
        self.report(worker_id, running=rows)

    def slow_down(self, run: Run) -> None:
        """Let a run advance by 2 percent in 2 s, on a worker that counts as slow."""
        self.now_s += 2.0
        self.confirm(run, 2)
        worker = self.worker(run.worker_id)
        worker.is_slow, worker.pace = True, 1 / 7
        self.scheduler_state.evidence._reviewed_s = self.now_s

    def start_copy(self) -> tuple[Run, Run]:
        """Return a slow run and its copy, both running."""
        first = self.start_first()
        self.slow_down(first)
        (order,) = self.start_orders()
        self.confirm(order.run)
        return first, order.run

    def end(self, run: Run, kind: EndKind) -> None:
        """Let a run's worker report its end."""
        self.report(run.worker_id, ended=((run.name, run.run_id, kind),))

    def stops(self) -> list[Run]:
        """Return the runs that are to be stopped now."""
        self.now_s += 1.0
        self.scheduler_state.evidence._reviewed_s = self.now_s
        return [one.run for one in self.decide() if isinstance(one, StopOrder)]

    def starts(self) -> list[Run]:
        """Return the runs that are to be started now."""
        self.scheduler_state.evidence._reviewed_s = self.now_s
        return [one.run for one in self.decide() if isinstance(one, StartOrder)]

    def finish_stop(self, run: Run) -> None:
        """Let a worker obey a stop and report the end."""
        run.enter(RunPhase.STOPPED, self.now_s)
        self.end(run, EndKind.STOPPED)

    @property
    def job_state(self) -> JobState:
        """The state of the only job."""
        tracked = self.scheduler_state.tracked_jobs.get(JOB_ID)
        return tracked.progress.state if tracked is not None else JobState.COMPLETED


class StartTests(unittest.TestCase):
    def test_a_run_on_a_slow_worker_has_a_copy_on_another_rack(self) -> None:
        """Guards against a job that waits for its one task on a slow worker."""
        harness = CopyHarness()
        first, copy = harness.start_copy()
        racks = {harness.worker(run.worker_id).view.rack for run in (first, copy)}
        self.assertEqual(2, len(racks))
        self.assertEqual(first.name, copy.name)
        self.assertGreater(copy.run_id, first.run_id)
        (line,) = harness.events("copy-started")
        self.assertEqual((copy.run_id, first.run_id), (line["run"], line["of_run"]))

    def test_a_run_on_a_silent_worker_has_a_copy(self) -> None:
        """Guards against a task that waits for the lease of a dark worker to expire."""
        harness = CopyHarness()
        first = harness.start_first()
        harness.now_s += 1.4
        self.assertEqual([], harness.starts())
        harness.now_s += 0.2
        (copy,) = harness.starts()
        self.assertEqual(TASK, copy.name)
        self.assertNotEqual(first.worker_id, copy.worker_id)

    def test_a_task_has_one_copy_at_most(self) -> None:
        """Guards against copies of copies, which use the room of other jobs."""
        harness = CopyHarness()
        _, copy = harness.start_copy()
        harness.slow_down(copy)
        self.assertEqual([], harness.starts())

    @parameterized.expand(
        [
            ("not allowed", {"is_speculative": False}),
            ("gang", {"is_gang": True}),
            ("lasting", {"is_lasting": True}),
            ("filler", {"is_filler": True}),
        ]
    )
    def test_no_copy_where_the_rules_forbid_two_runs(
        self, _: str, changes: dict[str, object]
    ) -> None:
        """Guards against TWICE and GANG: two runs of a task that may have one only."""
        harness = CopyHarness(**changes)
        first = harness.start_first()
        harness.slow_down(first)
        self.assertEqual([], harness.starts())
        harness.now_s += 2.0
        self.assertEqual([], harness.starts())

    def test_no_copy_of_a_suspect(self) -> None:
        """Guards against a second worker that a task in isolation may crash."""
        harness = CopyHarness()
        first = harness.start_first()
        tracked_job = harness.scheduler_state.tracked_jobs[JOB_ID]
        lost = LostRun(
            run_id=1,
            incarnation=Incarnation(worker_id="lost"),
            blame=Blame.SHARED,
            is_certain=True,
        )
        tracked_job.progress.note_lost(tracked_job.job, first.name, lost, now_s=1e6)
        harness.slow_down(first)
        self.assertTrue(tracked_job.progress.lost)
        self.assertEqual([], harness.starts())

    def test_no_copy_with_one_attempt_left(self) -> None:
        """Guards against a copy that uses up the attempts of a sound task."""
        harness = CopyHarness(attempts=1)
        first = harness.start_first()
        harness.slow_down(first)
        self.assertEqual([], harness.starts())

    def test_no_copy_for_a_run_that_is_nearly_done(self) -> None:
        """Guards against work done twice for nothing."""
        harness = CopyHarness()
        first = harness.start_first()
        harness.slow_down(first)
        harness.now_s += 1.0
        harness.confirm(first, 90)
        self.assertEqual([], harness.starts())

    def test_no_copy_on_a_young_worker(self) -> None:
        """Guards against copies of all that a worker runs while it warms up."""
        harness = CopyHarness()
        first = harness.start_first()
        worker = harness.worker(first.worker_id)
        worker.view = view(worker.worker_id, rack=worker.view.rack, born_ms=999_999_000)
        first.incarnation = worker.incarnation
        harness.slow_down(first)
        self.assertEqual([], harness.starts())

    def test_no_copy_while_a_task_in_time_waits(self) -> None:
        """Guards against copies that take the room of first runs."""
        harness = CopyHarness()
        first = harness.start_first()
        harness.slow_down(first)
        large = step(1, cpu_millicores=9000, estimated_s=1.0)
        harness.add_job(job("k", large, policy=policy(stretch=100.0)))
        self.assertEqual([], harness.starts())

    def test_copies_use_a_twentieth_of_the_pool(self) -> None:
        """Guards against a rack's loss that doubles the pool's work."""
        harness = CopyHarness(count=16)
        runs = [order.run for order in harness.start_orders()]
        for run in runs:
            run.enter(RunPhase.RUNNING, harness.now_s)
        self.assertEqual(4, len({run.worker_id for run in runs}))
        harness.now_s += 2.0
        self.assertEqual(4, len(harness.starts()))
        self.assertEqual([], harness.starts())


class TableTests(unittest.TestCase):
    """One test for each row of the table of the rules."""

    def test_the_first_end_done_counts_and_the_other_run_is_stopped(self) -> None:
        """Guards against TWICE and ORDER: a run that goes on, or starts, after the task is done."""
        for index in (0, 1):
            with self.subTest(first_done=index):
                harness = CopyHarness()
                pair = harness.start_copy()
                done, other = pair[index], pair[1 - index]
                harness.end(done, EndKind.DONE)
                self.assertIs(JobState.COMPLETED, harness.job_state)
                self.assertEqual([other], harness.stops())
                harness.finish_stop(other)
                self.assertEqual([], harness.starts())
                (waste,) = harness.events("copy-in-vain")
                self.assertEqual(
                    (other.run_id, bool(1 - index), "stopped", "done-elsewhere"),
                    (waste["run"], waste["is_copy"], waste["how"], waste["reason"]),
                )

    def test_a_copy_that_is_being_started_is_stopped_once_the_task_is_done(self) -> None:
        """Guards against TWICE: a start under way at the end that nobody stops."""
        harness = CopyHarness()
        first = harness.start_first()
        harness.slow_down(first)
        (copy,) = harness.starts()
        harness.end(first, EndKind.DONE)
        self.assertEqual([], harness.stops())
        copy.enter(RunPhase.UNANSWERED, harness.now_s)
        self.assertEqual([copy], harness.stops())

    def test_the_first_run_fails_and_the_copy_is_done(self) -> None:
        """Guards against BUDGET: a third run, or a job failed for the worse of two runs."""
        harness = CopyHarness(attempts=2)
        first, copy = harness.start_copy()
        harness.end(first, EndKind.FAILED)
        self.assertEqual([], harness.starts())
        self.assertIs(JobState.RUNNING, harness.job_state)
        harness.end(copy, EndKind.DONE)
        self.assertIs(JobState.COMPLETED, harness.job_state)

    def test_a_failed_copy_counts_as_one_run(self) -> None:
        """Guards against BUDGET: a copy that costs a task more attempts than a run does."""
        harness = CopyHarness(attempts=3)
        first, copy = harness.start_copy()
        harness.end(copy, EndKind.FAILED)
        self.assertEqual([], harness.starts())
        harness.end(first, EndKind.FAILED)
        (again,) = harness.starts()
        self.assertEqual(TASK, again.name)
        harness.confirm(again)
        harness.end(again, EndKind.FAILED)
        self.assertIs(JobState.FAILED, harness.job_state)
        self.assertEqual([], harness.starts())

    @parameterized.expand([("copy first", 1), ("first run first", 0)])
    def test_both_ends_are_held_up(self, _: str, index: int) -> None:
        """Guards against a second end that changes a task that is done."""
        harness = CopyHarness(attempts=2, count=2)
        orders = harness.start_orders()
        for order in orders:
            order.run.enter(RunPhase.RUNNING, harness.now_s)
        first = orders[0].run
        harness.now_s += 2.0
        copies = {run.name: run for run in harness.starts()}
        pair = (first, copies[first.name])
        harness.confirm(pair[1])
        harness.end(pair[index], EndKind.DONE)
        progress = harness.scheduler_state.tracked_jobs[JOB_ID].progress
        harness.end(pair[1 - index], EndKind.FAILED)
        self.assertIs(JobState.RUNNING, harness.job_state)
        self.assertEqual({}, progress.failures)
        self.assertTrue(progress.is_done(first.name))

    def test_two_ends_done_change_the_job_once(self) -> None:
        """Guards against a second end ``done`` that is stored, or opens a step twice."""
        harness = CopyHarness(count=2)
        orders = harness.start_orders()
        for order in orders:
            order.run.enter(RunPhase.RUNNING, harness.now_s)
        harness.now_s += 2.0
        copies = {run.name: run for run in harness.starts()}
        first = orders[0].run
        tracked = harness.scheduler_state.tracked_jobs[JOB_ID]
        harness.end(first, EndKind.DONE)
        changes = tracked.changes
        harness.end(copies[first.name], EndKind.DONE)
        self.assertEqual(changes, tracked.changes)

    def test_a_copy_goes_on_when_the_first_run_is_lost(self) -> None:
        """Guards against a third run when the lease of a silent worker expires."""
        harness = CopyHarness()
        first, copy = harness.start_copy()
        harness.worker(first.worker_id).lease_ends_s = harness.now_s
        harness.now_s += 0.5
        self.assertEqual([], harness.starts())
        self.assertNotIn((first.name, first.run_id), harness.worker(first.worker_id).runs)
        tracked = harness.scheduler_state.tracked_jobs[JOB_ID]
        self.assertIs(copy, tracked.runs[TASK])
        self.assertFalse(copy.is_copy)

    def test_a_task_waits_again_once_both_runs_are_lost(self) -> None:
        """Guards against LOST: a task that never runs again once its copy is lost too."""
        harness = CopyHarness()
        first, copy = harness.start_copy()
        harness.now_s += 1.0
        for run in (first, copy):
            harness.confirm(run, 5)
            harness.worker(run.worker_id).lease_ends_s = harness.now_s
        harness.now_s += 0.5
        (again,) = harness.starts()
        self.assertEqual(TASK, again.name)

    def test_a_takeover_between_the_two_adopts_both(self) -> None:
        """Guards against a successor that stops one of two sound runs as a stray."""
        harness = CopyHarness()
        runs = [RunningTask(name=TASK, run_id=EARLIER_RUN_ID + n, percent=10) for n in range(3)]
        harness.report("w00", running=(runs[0],))
        harness.report("w07", running=(runs[1],))
        self.assertEqual([], harness.starts())
        self.assertEqual([], harness.stops())
        tracked = harness.scheduler_state.tracked_jobs[JOB_ID]
        self.assertEqual(
            [False, True],
            sorted(run.is_copy for run in tracked.live_runs[TASK]),
        )
        harness.report("w12", running=(runs[2],))
        self.assertEqual(["w12"], [run.worker_id for run in harness.stops()])

    def test_a_successor_stops_both_runs_of_a_task_that_is_done(self) -> None:
        """Guards against TWICE after a takeover: runs that go on after a stored end."""
        harness = CopyHarness(count=2)
        tracked = harness.scheduler_state.tracked_jobs[JOB_ID]
        tracked.progress.note_done(tracked.job, TASK, now_s=0.0)
        for number, worker_id in enumerate(("w00", "w07")):
            row = RunningTask(name=TASK, run_id=EARLIER_RUN_ID + number, percent=10)
            harness.report(worker_id, running=(row,))
        self.assertEqual({"w00", "w07"}, {run.worker_id for run in harness.stops()})

    def test_two_runs_of_other_steps_are_not_adopted(self) -> None:
        """Guards against TWICE after a takeover where the step allows no copies."""
        harness = CopyHarness(is_speculative=False)
        for number, worker_id in enumerate(("w00", "w07")):
            row = RunningTask(name=TASK, run_id=EARLIER_RUN_ID + number, percent=10)
            harness.report(worker_id, running=(row,))
        self.assertEqual(["w07"], [run.worker_id for run in harness.stops()])

    def test_a_copy_on_a_worker_that_starts_again(self) -> None:
        """Guards against a lost copy that is looked for, or whose task is queued, for good."""
        harness = CopyHarness()
        first, copy = harness.start_copy()
        harness.restart(copy.worker_id, view(copy.worker_id, rack="r1", born_ms=10_000))
        tracked = harness.scheduler_state.tracked_jobs[JOB_ID]
        self.assertEqual({first}, tracked.live_runs[TASK])
        self.assertEqual([], harness.starts())
        harness.end(first, EndKind.DONE)
        self.assertIs(JobState.COMPLETED, harness.job_state)

    def test_an_unconfirmed_copy_on_a_worker_that_starts_again(self) -> None:
        """Guards against a start that the later incarnation may carry out and nobody stops."""
        harness = CopyHarness()
        first = harness.start_first()
        harness.slow_down(first)
        (copy,) = harness.starts()
        copy.enter(RunPhase.UNANSWERED, harness.now_s)
        harness.restart(copy.worker_id, view(copy.worker_id, rack="r1", born_ms=10_000))
        harness.now_s += 0.1
        harness.report(copy.worker_id)
        self.assertIn(copy, harness.stops())
        harness.finish_stop(copy)
        self.assertEqual([], harness.starts())
        self.assertFalse(harness.scheduler_state.tracked_jobs[JOB_ID].progress.state.is_final)

    def test_cancel_between_the_two_stops_both(self) -> None:
        """Guards against UNASKED: a copy that runs on after its job was cancelled."""
        harness = CopyHarness()
        pair = harness.start_copy()
        tracked = harness.scheduler_state.tracked_jobs[JOB_ID]
        tracked.progress.finish(JobState.CANCELLED, now_s=1.0)
        harness.scheduler_state.close_job(tracked, "cancelled")
        self.assertEqual(set(pair), set(harness.stops()))
        for run in pair:
            harness.finish_stop(run)
        self.assertEqual([], harness.starts())

    def test_a_refused_copy_changes_nothing_for_the_first_run(self) -> None:
        """Guards against a task that is queued although its first run goes on."""
        harness = CopyHarness()
        first = harness.start_first()
        harness.slow_down(first)
        (copy,) = harness.starts()
        harness.scheduler_state.note_start_failed(copy, harness.now_s)
        tracked = harness.scheduler_state.tracked_jobs[JOB_ID]
        self.assertEqual({first}, tracked.live_runs[TASK])
        self.assertIs(first, tracked.runs[TASK])
        self.assertEqual([], harness.scheduler_state.open_step(TASK).waiting)

    def test_limits_of_teams_count_both_runs(self) -> None:
        """Guards against LIMIT of a team: a copy that its share leaves no room for."""
        for cores, copies in ((1, 0), (2, 1)):
            with self.subTest(cores=cores):
                harness = CopyHarness()
                harness.scheduler_state.tracked_jobs[JOB_ID].job = job(
                    JOB_ID,
                    step(1, estimated_s=10.0, is_speculative=True),
                    team="blue",
                    policy=policy(most_attempts=3, stretch=10.0),
                )
                first = harness.start_first()
                harness.slow_down(first)
                left = Resources(cores * 1000 - 1000, 100_000, 0)
                harness.decision_engine._team_rooms = lambda left=left: TeamRooms({"blue": left})
                started = harness.starts()
                self.assertEqual(copies, len(started))
                self.assertTrue(all(run.team == "blue" for run in started))

    def test_a_copy_takes_room_on_its_worker(self) -> None:
        """Guards against LIMIT of a worker: a copy that isn't counted."""
        harness = CopyHarness()
        _, copy = harness.start_copy()
        worker = harness.worker(copy.worker_id)
        self.assertEqual(1000, worker.cpu_used)
        harness.end(copy, EndKind.DONE)
        self.assertEqual(0, worker.cpu_used)


if __name__ == "__main__":
    unittest.main()
