"""Tests of which runs are blamed for a crash, and of how suspects are started."""

import unittest

from parameterized import parameterized

from shallotworks.jobs import (
    Blame,
    Incarnation,
    JobProgress,
    JobState,
    LossCause,
    LostRun,
    Step,
    TaskName,
    decode_progress,
    encode_progress,
    is_crash_looping,
    is_suspect,
)
from shallotworks.scheduling import (
    EndKind,
    RunningTask,
    RunPhase,
    StartOrder,
    WaitReason,
    waiting_reason,
)
from tests.scheduling_fakes import WALL_S, SchedulingHarness, job, step, view

SOLE, SHARED, LATE = Blame.SOLE, Blame.SHARED, Blame.LATE
NAME = TaskName("j", 0, 0, 0)
PAST_PROBATION_S = 0.4
"""A run of this age has passed its probation."""


def lost(*blames: Blame, is_certain: bool = True) -> tuple[LostRun, ...]:
    """Return lost runs, each on a different worker."""
    return tuple(
        LostRun(
            run_id=number,
            incarnation=Incarnation(worker_id=f"w{number}"),
            blame=blame,
            is_certain=is_certain,
        )
        for number, blame in enumerate(blames)
    )


PROVEN = LostRun(
    run_id=0,
    incarnation=Incarnation(worker_id="w"),
    blame=SOLE,
    is_certain=True,
    cause=LossCause.REPLACED,
    is_witnessed=True,
)

CLOSED = PROVEN._replace(cause=LossCause.CONNECTIONS_CLOSED)


def with_proofs(count: int, *earlier: Blame) -> tuple[LostRun, ...]:
    """Return crashes without proof, and after them proven ones."""
    unproven = (run._replace(cause=LossCause.REPLACED) for run in lost(*earlier))
    proofs = (PROVEN._replace(run_id=len(earlier) + number) for number in range(count))
    return (*unproven, *proofs)


def repeated(run: LostRun, count: int) -> tuple[LostRun, ...]:
    """Return lost runs of different ids that are alike otherwise."""
    return tuple(run._replace(run_id=number) for number in range(count))


def confirm(harness: SchedulingHarness, *orders: StartOrder) -> None:
    """Let the workers confirm the starts."""
    for order in orders:
        order.run.enter(order.run.phase.RUNNING, harness.now_s)


def crash(harness: SchedulingHarness, worker_id: str) -> None:
    """Crash a worker: it closes its connections, and another incarnation answers later."""
    harness.scheduler_state.crashes.note_connection_closed(
        harness.worker(worker_id), harness.now_s, WALL_S
    )
    harness.scheduler_state.note_replaced(worker_id, harness.now_s, WALL_S)


def crash_alone(harness: SchedulingHarness, worker_id: str) -> None:
    """Crash a worker while all others go on answering."""
    harness.scheduler_state.crashes.note_connection_closed(
        harness.worker(worker_id), harness.now_s, WALL_S
    )
    harness.now_s += 0.1
    for other in list(harness.scheduler_state.workers):
        if other != worker_id:
            harness.report(other)
    harness.scheduler_state.note_replaced(worker_id, harness.now_s, WALL_S)


def blames_of(harness: SchedulingHarness, job_id: str = "j") -> list[list[Blame]]:
    """Return the blames of each task of a job."""
    progress = harness.scheduler_state.tracked_jobs[job_id].progress
    return [[one.blame for one in runs] for _, runs in sorted(progress.lost.items())]


class CrashLoopTests(unittest.TestCase):
    @parameterized.expand(
        [
            ("one proven", with_proofs(1), False, True),
            ("three proven", with_proofs(3), False, True),
            ("three proven after another", with_proofs(3, SHARED), True, True),
            ("four proven", with_proofs(4), True, True),
            ("two proven after two", with_proofs(2, SHARED, SHARED), False, True),
            ("two proven after three", with_proofs(2, LATE, LATE, LATE), True, True),
            ("one proven after many", with_proofs(1, *[SHARED] * 6), False, True),
            ("many beside others", lost(*[SHARED] * 8), False, True),
            ("many as sole suspect that nobody saw", lost(*[SOLE] * 8), False, True),
            ("unlisted", repeated(PROVEN._replace(cause=LossCause.UNLISTED), 8), False, True),
            ("silent", repeated(PROVEN._replace(cause=LossCause.SILENT), 8), False, True),
            ("not certain", repeated(PROVEN._replace(is_certain=False), 8), False, True),
            (
                "two proven after three unlisted",
                (*lost(*[SHARED] * 3), *with_proofs(2)),
                False,
                True,
            ),
            (
                "two proven after three that ran for long",
                (*(run._replace(ran_s=60.0) for run in with_proofs(3)), *with_proofs(2)),
                False,
                True,
            ),
            (
                "five proven at different times after the starts",
                tuple(
                    run._replace(ran_s=ran_s)
                    for run, ran_s in zip(
                        with_proofs(5), (0.71, 3.9, 0.48, 0.41, 0.22), strict=True
                    )
                ),
                False,
                True,
            ),
            ("four closed", repeated(CLOSED, 4), False, True),
            ("five closed", repeated(CLOSED, 5), True, True),
            ("one late", lost(LATE), False, False),
            ("many late", lost(LATE, LATE, LATE, LATE), False, True),
        ]
    )
    def test_when_a_task_is_crash_looping(
        self, _name: str, runs: tuple[LostRun, ...], is_given_up: bool, is_isolated: bool
    ) -> None:
        """Guards against failing a sound job without proof, or restarting the cause of crashes."""
        self.assertEqual(is_given_up, is_crash_looping(runs))
        self.assertEqual(is_isolated, is_suspect(runs))

    @parameterized.expand(
        [
            ("closed", True, True, 0.1, True),
            ("closed_before_the_start_is_answered", True, False, 0.1, True),
            ("closed_after_probation", True, True, 0.3, False),
            ("closed_late_in_isolation", True, True, 0.8, False),
            ("silent", False, True, 0.1, True),
            ("silent_and_start_not_received", False, False, 0.1, False),
        ]
    )
    def test_what_proves_a_crash(
        self, _name: str, is_closed: bool, is_received: bool, lived_s: float, is_proven: bool
    ) -> None:
        """Guards against failing a sound job for starts that dead workers never received."""
        harness = SchedulingHarness(view("a"), view("b"))
        harness.add_job(job("j", step(1)))
        (order,) = harness.start_orders()
        worker = harness.worker(order.run.worker_id)
        if is_received:
            confirm(harness, order)
        harness.now_s += lived_s
        crashes = harness.scheduler_state.crashes
        if is_closed:
            crashes.note_connection_closed(worker, harness.now_s, WALL_S)
        else:
            crashes.note_worker_silent(worker, harness.now_s, WALL_S)
        harness.now_s += 0.1
        for other in {"a", "b"} - {worker.worker_id}:
            harness.report(other)
        if not is_received:
            order.run.enter(RunPhase.UNANSWERED, harness.now_s)
        harness.scheduler_state.note_replaced(worker.worker_id, harness.now_s, WALL_S)
        tracked_job = harness.scheduler_state.tracked_jobs["j"]
        (run,) = tracked_job.progress.lost_runs(tracked_job.job, NAME)
        self.assertEqual(is_proven, run.is_proof)

    @parameterized.expand([("all", True, False), ("all_but_one", False, True)])
    def test_a_worker_that_is_lost_with_all_others_proves_nothing(
        self, _name: str, are_all_lost: bool, is_proven: bool
    ) -> None:
        """Guards against failing sound jobs after power cuts, which idle workers don't show."""
        harness = SchedulingHarness(view("a"), view("b"), view("c"))
        harness.add_job(job("j", step(1)))
        (order,) = harness.start_orders()
        confirm(harness, order)
        worker_id = order.run.worker_id
        harness.scheduler_state.crashes.note_connection_closed(
            harness.worker(worker_id), harness.now_s, WALL_S
        )
        harness.now_s += 0.1
        # An answer that was under way shows nothing.
        others = sorted({"a", "b", "c"} - {worker_id})
        harness.report(others[0], sent_s=harness.now_s - 0.1)
        if not are_all_lost:
            harness.report(others[1])
        harness.scheduler_state.note_replaced(worker_id, harness.now_s, WALL_S)
        tracked_job = harness.scheduler_state.tracked_jobs["j"]
        (run,) = tracked_job.progress.lost_runs(tracked_job.job, NAME)
        self.assertEqual(is_proven, run.is_proof)

    @parameterized.expand([(3, False), (4, True)])
    def test_a_job_is_failed_by_its_fourth_crash(self, crashes: int, is_given_up: bool) -> None:
        """Guards against a verdict before the proof, and against a sixth start of the cause."""
        harness = SchedulingHarness(*(view(one) for one in "abcdef"))
        harness.add_job(job("j", step(1)))
        tracked_job = harness.scheduler_state.tracked_jobs["j"]
        for _ in range(crashes):
            (order,) = harness.start_orders()
            confirm(harness, order)
            crash_alone(harness, order.run.worker_id)
        self.assertEqual(is_given_up, tracked_job.progress.state is JobState.FAILED)

    def test_a_run_that_its_worker_outlives_refutes_earlier_crashes(self) -> None:
        """Guards against adding up crashes of a sound task over all its runs."""
        progress, one = JobProgress(queue="q"), job("j", step(1))
        for run in with_proofs(2, SHARED):
            progress.note_lost(one, NAME, run._replace(ran_s=0.1), now_s=5.0)
        late = PROVEN._replace(run_id=3, blame=LATE, ran_s=2.0)
        progress.note_lost(one, NAME, late, now_s=5.0)
        self.assertTrue(progress.note_outlived(one, NAME, 1.0))
        runs = progress.lost_runs(one, NAME)
        self.assertEqual([False] * 3 + [True], [run.is_crash for run in runs])
        self.assertEqual({LATE}, {run.blame for run in runs})

    def test_a_worker_that_comes_back_later_completes_the_proof(self) -> None:
        """Guards against a sixth start of a task whose workers are away for longer than a lease."""
        progress, one = JobProgress(queue="q"), job("j", step(1))
        unlisted = PROVEN._replace(cause=LossCause.UNLISTED)
        progress.note_lost(one, NAME, unlisted, now_s=5.0)
        silent = PROVEN._replace(cause=LossCause.SILENT)
        self.assertFalse(progress.note_lost(one, NAME, silent, now_s=5.0))
        self.assertTrue(progress.note_lost(one, NAME, PROVEN, now_s=5.0))
        self.assertEqual([True], [run.is_proof for run in progress.lost_runs(one, NAME)])

    def test_a_reset_is_withdrawn_once_the_worker_answers(self) -> None:
        """Guards against blaming a lasting run for a crash long after its connection was reset."""
        harness = SchedulingHarness(view("a"), view("b"))
        harness.add_job(job("j", step(1, is_lasting=True)))
        (order,) = harness.start_orders()
        confirm(harness, order)
        worker_id = order.run.worker_id
        harness.scheduler_state.crashes.note_connection_closed(
            harness.worker(worker_id), harness.now_s, WALL_S
        )
        self.assertEqual([[SOLE]], blames_of(harness))
        harness.now_s += 0.1
        running = (RunningTask(name=NAME, run_id=order.run.run_id),)
        harness.report(worker_id, running=running)
        self.assertEqual([], blames_of(harness))

    def test_a_certain_loss_is_kept_and_each_run_counts_once(self) -> None:
        """Guards against counting one crash twice because two schedulers recorded it."""
        progress, one = JobProgress(queue="q"), job("j", step(1))
        uncertain = LostRun(
            run_id=1, incarnation=Incarnation(worker_id="a"), blame=SOLE, is_certain=False
        )
        certain = uncertain._replace(is_certain=True)
        changed = [
            progress.note_lost(one, NAME, lost, now_s=5.0)
            for lost in (uncertain, certain, uncertain)
        ]
        self.assertEqual([True, True, False], changed)
        self.assertFalse(progress.note_survived(one, NAME, 1))
        self.assertEqual((certain,), progress.lost_runs(one, NAME))
        self.assertIs(JobState.QUEUED, progress.state)

    def test_lost_runs_stay_in_the_record_until_the_task_is_done(self) -> None:
        """Guards against a successor that misses a crash because the stored record omits it."""
        progress, one = JobProgress(queue="q"), job("j", step(2))
        for run in lost(LATE, SHARED):
            progress.note_lost(one, NAME, run, now_s=5.0)
        read = decode_progress(encode_progress(progress))
        self.assertEqual(progress.lost, read.lost)
        read.note_done(one, NAME, now_s=6.0)
        self.assertEqual({}, read.lost)


class BlameTests(unittest.TestCase):
    def test_runs_on_probation_share_the_blame_and_others_get_late_blame(self) -> None:
        """Guards against suspecting a task that had run for long beside one that just started."""
        harness = SchedulingHarness(view("a"))
        harness.add_job(job("old", step(1)))
        confirm(harness, *harness.start_orders())
        harness.now_s += PAST_PROBATION_S
        harness.add_job(job("j", step(2)))
        confirm(harness, *harness.start_orders())
        crash(harness, "a")
        self.assertEqual([[LATE]], blames_of(harness, "old"))
        self.assertEqual([[SHARED], [SHARED]], blames_of(harness))

    def test_an_unanswered_start_is_on_probation(self) -> None:
        """Guards against blaming no run if the worker dies before it answers the start."""
        harness = SchedulingHarness(view("a"))
        harness.add_job(job("j", step(1)))
        (order,) = harness.start_orders()
        order.run.enter(order.run.phase.UNANSWERED, harness.now_s)
        harness.now_s += 3.0
        crash(harness, "a")
        self.assertEqual([[SOLE]], blames_of(harness))

    def test_a_silent_crash_is_blamed_on_runs_on_probation_at_the_last_report(self) -> None:
        """Guards against blaming no run because a silent crash is detected only seconds later."""
        harness = SchedulingHarness(view("a"))
        harness.add_job(job("j", step(1)))
        (order,) = harness.start_orders()
        harness.now_s += 0.1
        harness.report("a", running=(RunningTask(name=NAME, run_id=order.run.run_id),))
        harness.now_s += 5.0
        harness.scheduler_state.note_replaced("a", harness.now_s, WALL_S)
        self.assertEqual([[SOLE]], blames_of(harness))

    def test_lasting_tasks_that_have_run_for_long_are_not_blamed(self) -> None:
        """Guards against failing a lasting task for unrelated crashes of the workers it ran on."""
        harness = SchedulingHarness(view("a"))
        harness.add_job(job("j", step(1, is_lasting=True)))
        (order,) = harness.start_orders()
        confirm(harness, order)
        harness.now_s += PAST_PROBATION_S
        harness.report("a", running=(RunningTask(name=NAME, run_id=order.run.run_id),))
        crash(harness, "a")
        self.assertEqual([], blames_of(harness))

    def test_a_crash_that_is_detected_late_is_blamed_on_the_run_on_probation(self) -> None:
        """Guards against never blaming a lasting task whose crashes close connections late."""
        harness = SchedulingHarness(view("a"))
        harness.add_job(job("j", step(1, is_lasting=True)))
        confirm(harness, *harness.start_orders())
        harness.now_s += 1.0
        crash(harness, "a")
        self.assertEqual([[SOLE]], blames_of(harness))

    def test_a_mass_crash_gives_late_blame_only(self) -> None:
        """Guards against isolating all recently started tasks after a rack lost power."""
        workers = ["a", "b", "c", "d"]
        harness = SchedulingHarness(*(view(one, cpu_millicores=1000) for one in workers))
        harness.add_job(job("j", step(4)))
        confirm(harness, *harness.start_orders())
        for one in workers:
            harness.scheduler_state.crashes.note_connection_closed(
                harness.worker(one), harness.now_s, WALL_S
            )
        harness.now_s += 3.0
        for one in workers:
            harness.scheduler_state.note_replaced(one, harness.now_s, WALL_S)
        self.assertEqual([[LATE]] * 4, blames_of(harness))

    @parameterized.expand([("taken away", True, False), ("drained", False, True)])
    def test_a_planned_departure_blames_no_run(
        self, _name: str, is_planned: bool, is_draining: bool
    ) -> None:
        """Guards against suspecting a task because its machine was moved or drained."""
        harness = SchedulingHarness(view("a"))
        harness.add_job(job("j", step(1)))
        harness.start_orders()
        harness.scheduler_state.crashes.note_connection_closed(
            harness.worker("a"), harness.now_s, WALL_S
        )
        harness.scheduler_state.update_worker(view("a", is_draining=is_draining))
        harness.scheduler_state.note_worker_ended(
            "a", "gone", harness.now_s, WALL_S, is_planned=is_planned
        )
        self.assertEqual([], blames_of(harness))

    @parameterized.expand([("refused by another incarnation", False), ("no answer", True)])
    def test_an_unanswered_start_is_blamed_only_if_it_may_have_run(
        self, _name: str, may_have_run: bool
    ) -> None:
        """Guards against blaming a task for a worker that was dead before the start was sent."""
        harness = SchedulingHarness(view("a"))
        harness.add_job(job("j", step(1)))
        (order,) = harness.start_orders()
        harness.scheduler_state.note_replaced("a", harness.now_s, WALL_S)
        self.assertEqual([], blames_of(harness))
        harness.scheduler_state.crashes.note_start_answered(
            order.run, WALL_S, may_have_run=may_have_run
        )
        self.assertEqual([[SOLE]] if may_have_run else [], blames_of(harness))

    def test_a_worker_that_answers_again_clears_its_runs(self) -> None:
        """Guards against failing a sound task because reset connections count as crashes."""
        harness = SchedulingHarness(view("a"), view("b"))
        harness.add_job(job("j", step(1)))
        (order,) = harness.start_orders()
        confirm(harness, order)
        worker = harness.worker(order.run.worker_id)
        harness.scheduler_state.crashes.note_connection_closed(worker, harness.now_s, WALL_S)
        self.assertEqual([[SOLE]], blames_of(harness))
        harness.report(worker.worker_id, ended=((NAME, order.run.run_id, EndKind.FAILED),))
        self.assertEqual([], blames_of(harness))
        self.assertIsNone(worker.connection_closed_s)

    def test_a_lapsed_run_is_cleared_when_its_worker_answers_again(self) -> None:
        """Guards against isolating tasks without end after their worker was unreachable once."""
        harness = SchedulingHarness(view("a"), view("b"))
        harness.add_job(job("j", step(1)))
        (order,) = harness.start_orders()
        worker = harness.worker(order.run.worker_id)
        confirm(harness, order)
        harness.scheduler_state.expire_lease(worker, harness.now_s, WALL_S)
        self.assertEqual([[SOLE]], blames_of(harness))
        harness.report(worker.worker_id)
        (again,) = harness.start_orders()
        self.assertEqual([], blames_of(harness))
        self.assertEqual([], harness.worker(again.run.worker_id).isolated_runs)

    @parameterized.expand([("another incarnation", True, SOLE), ("unlisted", False, SHARED)])
    def test_a_lapsed_run_is_confirmed_lost_when_its_worker_ends(
        self, _how: str, is_replaced: bool, blame: Blame
    ) -> None:
        """Guards against missing a crash if the next incarnation comes after the lease expired."""
        harness = SchedulingHarness(view("a"), view("b"))
        harness.add_job(job("j", step(1)))
        (order,) = harness.start_orders()
        worker = harness.worker(order.run.worker_id)
        harness.scheduler_state.expire_lease(worker, harness.now_s, WALL_S)
        if is_replaced:
            harness.scheduler_state.note_replaced(worker.worker_id, harness.now_s, WALL_S)
        else:
            harness.scheduler_state.note_worker_ended(
                worker.worker_id, "no longer listed", harness.now_s, WALL_S
            )
        (runs,) = harness.scheduler_state.tracked_jobs["j"].progress.lost.values()
        self.assertEqual([(blame, True)], [(one.blame, one.is_certain) for one in runs])


class IsolationTests(unittest.TestCase):
    """A task of job j was lost on worker c, and has to be started in isolation."""

    def setUp(self) -> None:
        self.harness = SchedulingHarness(view("a"), view("b"))

    def suspect(self, *steps: Step, **changes: object) -> None:
        """Add a job whose first task has lost a run."""
        progress = JobProgress(queue="sweeps", lost={(0, 0, 0): lost(SHARED)})
        self.harness.add_job(job("j", *steps, **changes), progress=progress)

    def test_the_start_is_stored_before_it_is_sent(self) -> None:
        """Guards against a successor that misses a start if the scheduler dies with the worker."""
        self.suspect(step(1))
        for _ in range(2):
            self.assertEqual([], self.harness.decide())
        self.assertEqual([[SHARED, SOLE]], blames_of(self.harness))
        self.harness.store()
        (order,) = self.harness.decide()
        assert isinstance(order, StartOrder)
        self.assertEqual(NAME, order.run.name)

    def test_a_suspect_starts_only_on_a_worker_that_reported_since_its_reservation(self) -> None:
        """Guards against failing a sound task for a start on a worker that was dead undetected."""
        self.suspect(step(1))
        self.harness.now_s += 1.0
        self.harness.decide()
        self.harness.store()
        self.assertEqual([], self.harness.decide())
        for worker_id in ("a", "b"):
            self.harness.report(worker_id)
        (order,) = self.harness.decide()
        assert isinstance(order, StartOrder)
        self.assertEqual(NAME, order.run.name)

    def test_the_reservation_of_an_unresponsive_worker_is_cancelled_at_once(self) -> None:
        """Guards against a lasting task that waits 10 s for reserved workers which have left."""
        self.suspect(step(1, is_lasting=True))
        self.harness.now_s += 1.0
        self.harness.decide()
        (kept,) = [
            one for one in self.harness.scheduler_state.workers.values() if one.isolated_runs
        ]
        # A failed poll pauses the worker in this way.
        kept.pause_until_s = self.harness.now_s + 0.5
        self.harness.now_s += 0.1
        (order,) = self.harness.start_orders()
        self.assertNotEqual(kept.worker_id, order.run.worker_id)

    def test_nothing_else_is_started_beside_a_suspect(self) -> None:
        """Guards against losing tasks of other jobs with a worker that isolates a suspect."""
        self.suspect(step(1))
        self.harness.start_orders()
        (isolated,) = [w for w in self.harness.scheduler_state.workers.values() if w.isolated_runs]
        self.harness.add_job(job("k", step(8)))
        others = self.harness.start_orders()
        self.assertEqual(4, len(others))
        self.assertNotIn(isolated.worker_id, {one.run.worker_id for one in others})
        (waiting,) = self.harness.scheduler_state.open_steps()
        reason = waiting_reason(
            self.harness.scheduler_state, waiting, now_s=self.harness.now_s, wall_s=WALL_S
        )
        self.assertIs(WaitReason.QUARANTINED, reason)

    def test_a_suspect_waits_for_the_probation_of_other_runs(self) -> None:
        """Guards against blaming a sound task that was started a moment before the crash."""
        for worker_id in ("a", "b"):
            self.harness.add_job(
                job(f"k{worker_id}", step(1, estimated_s=9.0, cpu_millicores=2500))
            )
        confirm(self.harness, *self.harness.start_orders())
        self.suspect(step(1))
        self.assertEqual([], self.harness.start_orders())
        self.harness.now_s += PAST_PROBATION_S
        self.assertEqual([NAME], [one.run.name for one in self.harness.start_orders()])

    def test_other_tasks_of_the_job_wait_until_the_suspect_is_cleared(self) -> None:
        """Guards against restarting all tasks of a job at once if each crashes a worker."""
        self.suspect(step(3))
        (order,) = self.harness.start_orders()
        confirm(self.harness, order)
        worker = self.harness.worker(order.run.worker_id)
        running = (RunningTask(name=order.run.name, run_id=order.run.run_id),)
        self.harness.report(worker.worker_id, running=running)
        self.assertEqual([], self.harness.start_orders())
        self.harness.now_s += 1.0
        self.harness.report(worker.worker_id, running=running)
        self.assertEqual([], worker.isolated_runs)
        self.assertEqual([1, 2], sorted(one.run.name.number for one in self.harness.start_orders()))

    def test_all_suspects_of_a_step_start_together_in_isolation(self) -> None:
        """Guards against starting hundreds of tasks one by one after a series of crashes."""
        runs = {(0, 0, number): lost(SHARED) for number in range(3)}
        runs[0, 0, 3] = lost(SHARED, SHARED)
        progress = JobProgress(queue="sweeps", lost=runs)
        self.harness.add_job(job("j", step(4)), progress=progress)
        together = self.harness.start_orders()
        self.assertEqual([0, 1, 2, 3], sorted(one.run.name.number for one in together))
        (worker,) = {self.harness.worker(one.run.worker_id) for one in together}
        self.assertEqual({one.run for one in together}, set(worker.isolated_runs))

    def test_lasting_suspects_are_isolated_on_a_worker_each(self) -> None:
        """Guards against losing all tasks of a lasting step with the one worker they started on."""
        progress = JobProgress(queue="sweeps", lost={(0, 0, n): lost(SHARED) for n in range(2)})
        self.harness.add_job(job("j", step(2, is_lasting=True)), progress=progress)
        (first,) = self.harness.start_orders()
        confirm(self.harness, first)
        self.harness.now_s += 1.0
        running = (RunningTask(name=first.run.name, run_id=first.run.run_id),)
        self.harness.report(first.run.worker_id, running=running)
        (second,) = self.harness.start_orders()
        self.assertNotEqual(first.run.worker_id, second.run.worker_id)

    def test_suspects_that_are_done_on_probation_clear_their_step(self) -> None:
        """Guards against isolating the tasks of a job one by one if they end within probation."""
        progress = JobProgress(queue="sweeps", lost={(0, 0, n): lost(SHARED) for n in range(4)})
        self.harness.add_job(job("j", step(6, cpu_millicores=2000)), progress=progress)
        first = self.harness.start_orders()
        self.assertEqual([0, 1], sorted(one.run.name.number for one in first))
        confirm(self.harness, *first)
        self.harness.now_s += 0.1
        (worker_id,) = {one.run.worker_id for one in first}
        ended = tuple((one.run.name, one.run.run_id, EndKind.DONE) for one in first)
        self.harness.report(worker_id, ended=ended)
        later = self.harness.start_orders()
        self.assertEqual([2, 3, 4, 5], sorted(one.run.name.number for one in later))

    def test_a_cleared_step_does_not_clear_another_one(self) -> None:
        """Guards against crashing a worker again with tasks of which no similar one was tried."""
        runs = {(0, 0, 0): lost(SHARED), (0, 1, 0): lost(SHARED), (0, 1, 1): lost(SHARED)}
        progress = JobProgress(queue="sweeps", lost=runs)
        self.harness.add_job(job("j", step(1), step(2, after=(0,))), progress=progress)
        (order,) = self.harness.start_orders()
        confirm(self.harness, order)
        self.harness.now_s += 0.1
        ended = ((order.run.name, order.run.run_id, EndKind.DONE),)
        self.harness.report(order.run.worker_id, ended=ended)
        together = self.harness.start_orders()
        self.assertEqual([(1, 0), (1, 1)], sorted(one.run.name[2:] for one in together))
        (worker,) = {self.harness.worker(one.run.worker_id) for one in together}
        self.assertEqual({one.run for one in together}, set(worker.isolated_runs))

    def test_a_crash_of_a_worker_with_all_suspects_of_a_job_fails_the_job(self) -> None:
        """Guards against a sixth start because the cause was started beside its siblings."""
        proven = with_proofs(2, SHARED)
        progress = JobProgress(queue="sweeps", lost={(0, 0, n): proven for n in range(4)})
        self.harness.add_job(job("j", step(4)), progress=progress)
        together = self.harness.start_orders()
        self.assertEqual(4, len(together))
        confirm(self.harness, *together)
        self.harness.now_s += 0.1
        crash_alone(self.harness, together[0].run.worker_id)
        entry = self.harness.scheduler_state.tracked_jobs["j"]
        self.assertIs(JobState.FAILED, entry.progress.state)

    @parameterized.expand([("few", 1, 1), ("many", 6, 2)])
    def test_more_busy_workers_are_reserved_while_more_jobs_wait_for_isolation(
        self, _name: str, jobs: int, expected: int
    ) -> None:
        """Guards against isolating one job at a time while each worker runs some other task."""
        harness = SchedulingHarness(*(view(one) for one in "abcd"))
        harness.add_job(job("other", step(4, cpu_millicores=2500, estimated_s=9.0)))
        confirm(harness, *harness.start_orders())
        harness.now_s += PAST_PROBATION_S
        for number in range(jobs):
            progress = JobProgress(queue="sweeps", lost={(0, 0, 0): lost(SHARED)})
            harness.add_job(job(f"j{number}", step(1)), progress=progress)
        harness.decide()
        reserved = [one for one in harness.scheduler_state.workers.values() if one.isolated_runs]
        self.assertEqual(expected, len(reserved))

    @parameterized.expand([("second_proof", 1, False), ("third_proof", 2, True)])
    def test_a_crash_during_isolation(self, _name: str, proofs: int, is_given_up: bool) -> None:
        """Guards against restarting a task that is proven to crash its workers in isolation."""
        progress = JobProgress(queue="sweeps", lost={(0, 0, 0): with_proofs(proofs, SHARED)})
        self.harness.add_job(job("j", step(1)), progress=progress)
        (order,) = self.harness.start_orders()
        confirm(self.harness, order)
        self.harness.now_s += 0.1
        crash_alone(self.harness, order.run.worker_id)
        entry = self.harness.scheduler_state.tracked_jobs["j"]
        self.assertEqual(is_given_up, entry.progress.state is JobState.FAILED)
        self.assertEqual(is_given_up, not self.harness.start_orders())

    def test_cancelling_a_job_releases_its_reserved_worker(self) -> None:
        """Guards against a worker that stays reserved for a start that is never sent."""
        self.suspect(step(1))
        self.harness.decide()
        cancelled = JobProgress(queue="sweeps")
        cancelled.finish(JobState.CANCELLED, now_s=WALL_S)
        self.harness.scheduler_state.update_progress("j", cancelled, 9)
        self.assertEqual([], self.harness.start_orders())
        workers = self.harness.scheduler_state.workers.values()
        self.assertEqual([[], []], [worker.isolated_runs for worker in workers])
        self.assertEqual([0, 0], [len(worker.runs) for worker in workers])

    def test_a_start_that_cannot_be_stored_is_cancelled(self) -> None:
        """Guards against a worker reserved in a store outage for a start that can't be sent."""
        self.suspect(step(1))
        self.harness.decide()
        self.harness.now_s += 2.5
        self.harness.report("a")
        self.harness.report("b")
        self.harness.decide()
        self.assertEqual([[SHARED, SOLE]], blames_of(self.harness))
        self.assertEqual(
            1, sum(len(one.runs) for one in self.harness.scheduler_state.workers.values())
        )

    @parameterized.expand(
        [
            ("its worker lives", (LATE,), True, 1),
            ("its worker is over", (LATE,), False, 2),
            ("the third", (SHARED, SHARED), False, 3),
            ("after many", (SHARED,) * 6, False, 7),
        ]
    )
    def test_a_successor_resolves_the_outcome_of_a_start(
        self, _name: str, earlier: tuple[Blame, ...], is_alive: bool, crashes: int
    ) -> None:
        """Guards against forgetting a start of a dead scheduler, or a verdict for a list's gap."""
        row = LostRun(
            run_id=10,
            incarnation=Incarnation(worker_id="a" if is_alive else "z"),
            blame=SOLE,
            is_certain=False,
        )
        progress = JobProgress(queue="sweeps", lost={(0, 0, 0): (*lost(*earlier), row)})
        self.harness.add_job(job("j", step(1)), progress=progress, is_inherited=True)
        self.harness.decide()
        entry = self.harness.scheduler_state.tracked_jobs["j"]
        known = entry.progress.lost_runs(entry.job, NAME)
        self.assertEqual(crashes, sum(one.is_certain for one in known))
        self.assertIsNot(JobState.FAILED, entry.progress.state)


class CrashSeriesTests(unittest.TestCase):
    @parameterized.expand([("none", 0, "a"), ("two", 2, "a"), ("three", 3, "b")])
    def test_frequent_crashes_spread_jobs_over_workers(
        self, _name: str, crashes: int, expected: str
    ) -> None:
        """Guards against packing five jobs on one worker during a series of crashes."""
        harness = SchedulingHarness(view("a"), view("b"))
        harness.add_job(job("k", step(1, estimated_s=9.0)))
        harness.start_orders()
        (first,) = [one for one in harness.scheduler_state.workers.values() if one.runs]
        self.assertEqual("a", first.worker_id)
        for number in range(crashes):
            worker = harness.add(view(f"x{number}"))
            harness.add_job(job(f"c{number}", step(1, label="none", is_lasting=True)))
            entry = harness.scheduler_state.tracked_jobs[f"c{number}"]
            (lost_step,) = entry.steps.values()
            harness.scheduler_state.new_run(
                lost_step, 0, worker, harness.scheduler_state.next_run_id(), harness.now_s
            )
            crash(harness, worker.worker_id)
        harness.add_job(job("j", step(2)))
        workers = {
            one.run.worker_id for one in harness.start_orders() if one.run.name.job_id == "j"
        }
        self.assertEqual({expected}, workers)


if __name__ == "__main__":
    unittest.main()
