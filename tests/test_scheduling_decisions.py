"""Tests of scheduling decisions: order, placement, gangs, retries, stalls, pacing and budgets."""

import unittest
from collections.abc import Iterable

from parameterized import parameterized

from shallotworks.jobs import JobState, Repeats, Step, TaskName
from shallotworks.scheduling import (
    AdviceRequest,
    EndKind,
    PaceOrder,
    Run,
    RunningTask,
    RunPhase,
    StartOrder,
    StopOrder,
    WorkerView,
)
from tests.scheduling_fakes import WALL_S, SchedulingHarness, job, policy, step, view


def workers_of(starts: list[StartOrder]) -> list[str]:
    """Return the ids of the workers on which tasks were started."""
    return sorted(order.run.worker_id for order in starts)


class PlacementTests(unittest.TestCase):
    @parameterized.expand(
        [
            ("room", step(9), (view("a"), view("b")), ["a"] * 4 + ["b"] * 4),
            ("memory", step(3, memory_mb=2000), (view("a"),), ["a", "a"]),
            (
                "label",
                step(1, label="big"),
                (view("a"), view("b", labels=frozenset({"big"}))),
                ["b"],
            ),
            ("no such label", step(1, label="big"), (view("a"),), []),
            ("apart", step(3, most_per_worker=1), (view("a"), view("b")), ["a", "b"]),
            ("near its data", step(1, near_rack="r2"), (view("a"), view("b", rack="r2")), ["b"]),
            ("together", step(2), (view("a"), view("b")), ["a", "a"]),
            (
                "lasting, on three workers",
                step(6, is_lasting=True, cpu_millicores=500),
                tuple(view(name) for name in "abcd"),
                ["a", "a", "b", "b", "c", "c"],
            ),
            (
                "lasting with a target, apart",
                step(4, is_lasting=True, target_s=0.1, cpu_millicores=500),
                tuple(view(name) for name in "abcd"),
                ["a", "b", "c", "d"],
            ),
            (
                "lasting, over racks",
                step(2, is_lasting=True, cpu_millicores=500),
                tuple(view(name, rack=f"r{name in 'ab'}") for name in "abc"),
                ["a", "c"],
            ),
            ("draining", step(1), (view("a", is_draining=True), view("b")), ["b"]),
            ("fillers use no processor", step(6, is_filler=True), (view("a"),), ["a"] * 6),
            ("too large for any", step(1, cpu_millicores=4001), (view("a"),), []),
        ]
    )
    def test_where_tasks_start(
        self, _name: str, part: Step, workers: tuple[WorkerView, ...], expected: list[str]
    ) -> None:
        """Guards against starts on workers where a task may not run, doesn't fit or is slower."""
        harness = SchedulingHarness(*workers)
        harness.add_job(job("j", part))
        self.assertEqual(expected, workers_of(harness.start_orders()))

    def test_tasks_that_end_leave_whole_workers_free(self) -> None:
        """Guards against spreading tasks so that 100 machines a third full can't be lent."""
        # Tasks placed on the emptiest worker leave none idle for the queue that waits. They belong
        # on workers with lasting tasks, which stay anyway, and then on the fullest.
        harness = SchedulingHarness(view("a"), view("b"), view("c"))
        harness.add_job(job("lasting", step(1, is_lasting=True, cpu_millicores=500)))
        (first,) = harness.start_orders()
        for number in range(3):
            harness.add_job(job(f"j{number}", step(1, cpu_millicores=1000)))
        self.assertEqual([first.run.worker_id] * 3, workers_of(harness.start_orders()))
        harness.add_job(job("more", step(2, cpu_millicores=1000)))
        self.assertEqual(1, len(set(workers_of(harness.start_orders()))))

    def test_tasks_that_end_are_not_placed_beside_tasks_with_a_target(self) -> None:
        """Guards against slowing a serving task down while another worker is free."""
        harness = SchedulingHarness(view("a"), view("b"))
        harness.add_job(job("serving", step(1, is_lasting=True, target_s=0.1, cpu_millicores=500)))
        (first,) = harness.start_orders()
        harness.worker("b" if first.run.worker_id == "a" else "a").cpu_used += 600
        harness.add_job(job("j", step(1, cpu_millicores=1000)))
        self.assertNotEqual([first.run.worker_id], workers_of(harness.start_orders()))

    def test_all_members_of_a_gang_start_or_none(self) -> None:
        """Guards against a partly started gang, or one whose members have several run ids."""
        harness = SchedulingHarness(view("a"))
        harness.add_job(job("wide", step(5, is_gang=True)))
        self.assertEqual([], harness.start_orders())
        harness.add(view("b"))
        starts = harness.start_orders()
        self.assertEqual(5, len(starts))
        self.assertEqual(1, len({order.run.run_id for order in starts}))

    def test_a_gang_prefers_one_rack(self) -> None:
        """Guards against splitting a gang over racks while one rack holds all its members."""
        racks = (("a", "r1"), ("b", "r2"), ("c", "r2"))
        harness = SchedulingHarness(*(view(name, rack=rack) for name, rack in racks))
        harness.add_job(job("g", step(8, is_gang=True, is_one_rack=True)))
        self.assertEqual(["b"] * 4 + ["c"] * 4, workers_of(harness.start_orders()))

    def test_a_step_waits_for_its_predecessors(self) -> None:
        """Guards against starting a step before all tasks of the step before are done."""
        harness = SchedulingHarness(view("a"))
        harness.add_job(job("j", step(2), step(1, after=(0,))))
        first = harness.start_orders()
        self.assertEqual(2, len(first))
        ends = [(order.run.name, order.run.run_id, EndKind.DONE) for order in first]
        harness.report("a", ended=(ends[0],))
        self.assertEqual([], harness.start_orders())
        harness.report("a", ended=(ends[1],))
        self.assertEqual(
            [TaskName("j", 0, 1, 0)], [order.run.name for order in harness.start_orders()]
        )

    def test_occurrences_wait_until_they_are_due(self) -> None:
        """Guards against starting an occurrence early, or only after the one before has ended."""
        harness = SchedulingHarness(view("a"))
        harness.add_job(
            job("j", step(1), repeats=Repeats(first_s=WALL_S + 2, interval_s=3, count=2))
        )
        self.assertEqual([], harness.start_orders())
        harness.now_s += 2.1
        self.assertEqual([0], [order.run.name.occurrence for order in harness.start_orders()])
        harness.now_s += 3
        self.assertEqual([1], [order.run.name.occurrence for order in harness.start_orders()])


class UrgencyTests(unittest.TestCase):
    def test_the_order_of_waiting_steps(self) -> None:
        """Guards against another order than lasting tasks, priority, lateness and latest start."""
        harness = SchedulingHarness(view("a", cpu_millicores=0))
        low = policy(priority=1, stretch=2.0)
        urgent = policy(stretch=1.0, target_latency_s=0.5)
        patient = policy(stretch=1.0, target_latency_s=5.0)
        harness.add_job(job("low", step(1), policy=low))
        harness.add_job(job("hopeless", step(1), accepted_s=WALL_S - 60))
        harness.add_job(job("patient", step(1), policy=patient))
        harness.add_job(job("urgent", step(1), policy=urgent))
        harness.add_job(job("lasting", step(1, is_lasting=True)))
        harness.scheduler_state.update_worker(view("a", cpu_millicores=9000))
        order = [start.run.name.job_id for start in harness.start_orders()]
        self.assertEqual(["lasting", "urgent", "patient", "hopeless", "low"], order)


class OverloadTests(unittest.TestCase):
    def test_jobs_that_have_begun_are_finished_first(self) -> None:
        """Guards against an overload in which many jobs are started and few are finished."""
        # If room went to the job with the nearest latest start, begun or not, callers would wait in
        # vain for the second half of a begun job.
        harness = SchedulingHarness(view("a", cpu_millicores=1000))
        harness.add_job(job("begun", step(1), step(1, after=(0,)), accepted_s=WALL_S))
        first = harness.start_orders()[0].run
        harness.add_job(job("new", step(1), policy=policy(stretch=1.0, target_latency_s=0.3)))
        harness.report("a", ended=((first.name, first.run_id, EndKind.DONE),))
        self.assertEqual(["begun"], [order.run.name.job_id for order in harness.start_orders()])

    def test_late_jobs_come_before_jobs_that_are_no_longer_useful(self) -> None:
        """Guards against giving room to useless jobs after an outage until the late ones expire."""
        # Jobs from the first seconds of an outage are no longer useful. If they came first because
        # they are smaller or have begun, the late ones would expire too.
        harness = SchedulingHarness(view("a", cpu_millicores=1000))
        harness.add_job(job("past use", step(1), accepted_s=WALL_S - 60))
        harness.add_job(job("late", step(3), accepted_s=WALL_S - 3, policy=policy(stretch=2.0)))
        self.assertEqual(["late"], [order.run.name.job_id for order in harness.start_orders()])

    def test_small_jobs_come_first(self) -> None:
        """Guards against one large job that keeps ten small ones waiting."""
        harness = SchedulingHarness(view("a", cpu_millicores=1000))
        harness.add_job(job("large", step(9)))
        harness.add_job(job("small", step(1)))
        self.assertEqual(["small"], [order.run.name.job_id for order in harness.start_orders()])


class LastingTaskRestartTests(unittest.TestCase):
    @parameterized.expand(
        [
            ("processor", step(1, is_lasting=True, cpu_millicores=3000, memory_mb=100)),
            ("memory", step(1, is_lasting=True, cpu_millicores=1000, memory_mb=3000)),
        ]
    )
    def test_a_large_lasting_task_is_restarted_within_a_turn(
        self, _name: str, lasting: Step
    ) -> None:
        """Guards against a lasting task down for 10 s while short tasks take all freed room."""
        # The lost task needs three quarters of a worker. All workers are full of short tasks, and
        # each time one ends the next takes its room, although the lasting task is first in the
        # order.
        harness = SchedulingHarness(view("a"), view("b"))
        clips = [f"clip{number:02}" for number in range(40)]
        for job_id in clips:
            harness.add_job(job(job_id, step(1, memory_mb=1000)))
        running = {order.run.name: order.run for order in harness.start_orders()}
        self.assertEqual(8, len(running))
        harness.add_job(job("archive", lasting))
        for _ in range(8):
            ended = next(iter(running.values()))
            del running[ended.name]
            harness.now_s += 0.1
            harness.report(
                ended.worker_id,
                running=_rows(run for run in running.values() if run.worker_id == ended.worker_id),
                ended=((ended.name, ended.run_id, EndKind.DONE),),
            )
            for order in harness.start_orders():
                if order.run.name.job_id == "archive":
                    return
                running[order.run.name] = order.run
        self.fail("the lasting task waits although each worker could run it")

    def test_other_workers_accept_tasks_meanwhile(self) -> None:
        """Guards against holding room for a lasting task on more than one worker."""
        harness = SchedulingHarness(view("a"), view("b"))
        harness.add_job(job("first", step(8)))
        self.assertEqual(8, len(harness.start_orders()))
        harness.add_job(job("archive", step(5, is_lasting=True, cpu_millicores=3000)))
        harness.add_job(job("clip", step(8)))
        for worker_id in ("a", "b"):
            harness.report(
                worker_id,
                ended=tuple(
                    (name, run_id, EndKind.DONE)
                    for (name, run_id) in list(harness.worker(worker_id).runs)[:1]
                ),
            )
        self.assertEqual(1, len(harness.start_orders()))


def _rows(runs: Iterable[Run]) -> tuple[RunningTask, ...]:
    return tuple(RunningTask(name=run.name, run_id=run.run_id) for run in runs)


class RetryTests(unittest.TestCase):
    def test_a_failed_task_is_retried_on_another_worker(self) -> None:
        """Guards against one failing worker that uses up all attempts of a job."""
        harness = SchedulingHarness(view("a"), view("b"))
        harness.add_job(job("j", step(1)))
        first = harness.start_orders()[0].run
        harness.report(first.worker_id, ended=((first.name, first.run_id, EndKind.FAILED),))
        second = harness.start_orders()[0].run
        self.assertNotEqual(first.worker_id, second.worker_id)
        self.assertGreater(second.run_id, first.run_id)

    def test_a_worker_on_which_jobs_fail_is_used_last(self) -> None:
        """Guards against a worker that is always free as it fails at once, and draws all tasks."""
        harness = SchedulingHarness(view("a"), view("b"))
        for job_id in ("x", "y"):
            name = TaskName(job_id, 0, 0, 0)
            harness.add_job(job(job_id, step(1)))
            harness.report("a", ended=((name, 1, EndKind.FAILED),))
        harness.add_job(job("j", step(2)))
        self.assertEqual({"b"}, set(workers_of(harness.start_orders())))

    def test_a_stopped_task_resumes_where_it_was(self) -> None:
        """Guards against a restart without the last checkpoint."""
        harness = SchedulingHarness(view("a"))
        harness.add_job(job("j", step(1, is_checkpointed=True)))
        run = harness.start_orders()[0].run
        row = RunningTask(name=run.name, run_id=run.run_id, checkpoint="c1", percent=50)
        harness.report("a", running=(row,))
        harness.report("a", ended=((run.name, run.run_id, EndKind.LAPSED),))
        self.assertEqual(["c1"], [order.checkpoint for order in harness.start_orders()])

    def test_a_refused_start_is_tried_again(self) -> None:
        """Guards against retrying with a run id that the worker may have recorded already."""
        harness = SchedulingHarness(view("a"))
        harness.add_job(job("j", step(1)))
        first = harness.start_orders()[0].run
        harness.scheduler_state.note_start_failed(first, harness.now_s)
        self.assertGreater(harness.start_orders()[0].run.run_id, first.run_id)

    def test_a_stalled_task_is_moved_to_another_worker(self) -> None:
        """Guards against leaving a task on a worker whose tasks hang while it answers polls."""
        harness = SchedulingHarness(view("a"), view("b"))
        harness.add_job(job("j", step(1)))
        run = harness.start_orders()[0].run
        run.enter(RunPhase.RUNNING, harness.now_s)
        row = RunningTask(name=run.name, run_id=run.run_id, percent=10)
        for _ in range(4):
            harness.report(run.worker_id, running=(row,))
            harness.now_s += 1.0
        stops = [order for order in harness.decide() if isinstance(order, StopOrder)]
        self.assertEqual([run], [order.run for order in stops])
        harness.report(run.worker_id, ended=((run.name, run.run_id, EndKind.STOPPED),))
        self.assertNotEqual(run.worker_id, harness.start_orders()[0].run.worker_id)


class RepeatedDecisionTests(unittest.TestCase):
    def test_a_decided_start_is_not_decided_again(self) -> None:
        """Guards against two runs of one task at once after a start on an idle worker."""
        # An idle worker has no lease; the order of the start grants one. A decision between the
        # start's decision and its order must not take the lease as expired and the run as ended.
        harness = SchedulingHarness(view("a"), view("b"))
        for worker_id in ("a", "b"):
            harness.worker(worker_id).lease_ends_s = 0.0
        harness.add_job(job("j", step(1)))
        self.assertEqual(1, len(harness.start_orders()))
        self.assertEqual([], harness.decide())


class UnansweredStartTests(unittest.TestCase):
    def test_an_unanswered_start_is_stopped_before_a_new_start(self) -> None:
        """Guards against two runs of a task if an unanswered start is carried out late."""
        # The start got no answer and a poll does not list the run, but it may still be carried out.
        # The task may start again only after a stop was obeyed and a poll that was sent later lists
        # nothing.
        harness = SchedulingHarness(view("a"))
        harness.add_job(job("j", step(1)))
        run = harness.start_orders()[0].run
        run.enter(RunPhase.UNANSWERED, harness.now_s)
        harness.now_s += 1
        harness.report("a")
        decisions = harness.decide()
        self.assertEqual([StopOrder], [type(one) for one in decisions])
        run.enter(RunPhase.STOPPED, harness.now_s)
        harness.report("a", sent_s=harness.now_s - 0.1)
        self.assertEqual([], harness.start_orders())
        harness.now_s += 0.1
        harness.report("a")
        self.assertEqual(1, len(harness.start_orders()))

    def test_an_unanswered_start_that_runs_is_kept(self) -> None:
        """Guards against stopping a run because only the answer to its start was lost."""
        harness = SchedulingHarness(view("a"))
        harness.add_job(job("j", step(1)))
        run = harness.start_orders()[0].run
        run.enter(RunPhase.UNANSWERED, harness.now_s)
        harness.now_s += 1
        harness.report("a", running=(RunningTask(name=run.name, run_id=run.run_id, percent=3),))
        self.assertEqual([], harness.decide())
        self.assertIs(RunPhase.RUNNING, run.phase)


class CancelTests(unittest.TestCase):
    def test_runs_of_a_cancelled_job_are_stopped(self) -> None:
        """Guards against a cancelled job whose tasks run on or are started."""
        harness = SchedulingHarness(view("a"))
        one = job("j", step(2, cpu_millicores=3000))
        harness.add_job(one)
        run = harness.start_orders()[0].run
        run.enter(RunPhase.RUNNING, harness.now_s)
        progress = harness.scheduler_state.tracked_jobs["j"].progress.__class__(
            queue="q", state=JobState.CANCELLED
        )
        harness.scheduler_state.update_progress("j", progress, revision=2)
        self.assertEqual([run], [order.run for order in harness.decide()])
        harness.report("a", ended=((run.name, run.run_id, EndKind.STOPPED),))
        self.assertEqual([], harness.decide())


class PacingTests(unittest.TestCase):
    @parameterized.expand(
        [
            ("well", 50, 100, []),
            ("near the target", 90, 100, [50]),
            ("over the target", 120, 100, [0]),
            ("well again", 40, 50, [60]),
            ("nearly stopped", 90, 8, [0]),
        ]
    )
    def test_fillers_are_paced_by_the_tail_latency(
        self, _name: str, tail_ms: int, percent: int, expected: list[int]
    ) -> None:
        """Guards against fillers that slow serving tasks down, or that speed up too fast."""
        harness = SchedulingHarness(view("a"))
        serving = step(1, is_lasting=True, target_s=0.1)
        filling = step(1, is_lasting=True, is_filler=True)
        harness.add_job(job("s", serving))
        harness.add_job(job("f", filling))
        runs = {order.run.name.job_id: order.run for order in harness.start_orders()}
        rows = tuple(
            RunningTask(name=run.name, run_id=run.run_id, percent=100, measurement=tail_ms)
            for run in runs.values()
        )
        runs["f"].pace_percent = percent
        harness.report("a", running=rows)
        paces = [order for order in harness.decide() if isinstance(order, PaceOrder)]
        self.assertEqual(expected, [order.percent for order in paces])


class BudgetTests(unittest.TestCase):
    def test_lasting_tasks_are_moved_within_their_budget(self) -> None:
        """Guards against stopping more of a service's tasks in maintenance than its budget says."""
        # Two of five tasks may be unavailable. All run on the worker that is evacuated: two are
        # stopped, and the others only once those serve again elsewhere.
        harness = SchedulingHarness(view("a", cpu_millicores=9000))
        harness.add_job(job("s", step(5, is_lasting=True, may_miss=2)))
        runs = [order.run for order in harness.start_orders()]
        rows = tuple(RunningTask(name=run.name, run_id=run.run_id, percent=100) for run in runs)
        harness.report("a", running=rows)
        worker = harness.worker("a")
        worker.is_cordoned = True
        harness.add(view("b"))
        harness.decision_engine.evacuate(worker)
        stops = [order.run for order in harness.decide() if isinstance(order, StopOrder)]
        self.assertEqual(2, len(stops))
        gone = tuple((run.name, run.run_id, EndKind.STOPPED) for run in stops)
        left = tuple(row for row in rows if row.name not in {run.name for run in stops})
        harness.report("a", running=left, ended=gone)
        moved = [order.run for order in harness.start_orders()]
        harness.decision_engine.evacuate(worker)
        self.assertEqual([], harness.decide())
        back = tuple(RunningTask(name=run.name, run_id=run.run_id, percent=100) for run in moved)
        harness.report("b", running=back)
        harness.decision_engine.evacuate(worker)
        self.assertEqual(2, len(harness.decide()))

    def test_tasks_on_a_silent_worker_count_as_unavailable(self) -> None:
        """Guards against maintenance that exceeds a budget after a worker died silently."""
        # One of two tasks may be unavailable. Worker b dies silently; its last report shows its
        # task as serving until its lease expires seconds later. The task on a must not be stopped
        # meanwhile.
        harness = SchedulingHarness(view("a"), view("b"))
        harness.add_job(job("s", step(2, is_lasting=True, may_miss=1, most_per_worker=1)))
        for order in harness.start_orders():
            run = order.run
            row = RunningTask(name=run.name, run_id=run.run_id, percent=100)
            harness.report(run.worker_id, running=(row,))
        rows = tuple(
            RunningTask(name=name, run_id=run_id, percent=100)
            for name, run_id in harness.worker("a").runs
        )
        harness.now_s += 3.0
        harness.report("a", running=rows)
        harness.worker("a").is_cordoned = True
        harness.decide()
        harness.decision_engine.evacuate(harness.worker("a"))
        self.assertEqual([], harness.decide())


class AdviceTests(unittest.TestCase):
    def test_only_allowed_workers_are_used_with_their_ticket(self) -> None:
        """Guards against repeated advice requests, and starts without a permit."""
        harness = SchedulingHarness(view("a"), view("b"))
        harness.add_job(job("j", step(2), policy=policy(is_advised=True)))
        asked = harness.decide()
        self.assertEqual([AdviceRequest], [type(one) for one in asked])
        self.assertEqual([], harness.decide())
        entry = harness.scheduler_state.tracked_jobs["j"].steps[(0, 0)]
        incarnations = [harness.worker(one).incarnation for one in "ab"]
        entry.advice.note_answered(incarnations, {"b": "t-b"}, valid_s=1.0, now_s=harness.now_s)
        starts = harness.start_orders()
        self.assertEqual([("b", "t-b")] * 2, [(one.run.worker_id, one.ticket) for one in starts])


if __name__ == "__main__":
    unittest.main()
