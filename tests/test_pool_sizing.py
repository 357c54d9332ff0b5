"""Tests of `shallotworks.scheduling.PoolSizer`: demand that comes in bursts."""

import unittest

from parameterized import parameterized

from shallotworks.jobs import Blame, Incarnation, JobProgress, LostRun
from shallotworks.scheduling import EndKind, PoolDemand, PoolSizer, RunningTask, SizingLimits
from tests.scheduling_fakes import WALL_S, SchedulingHarness, job, policy, step, view

LIMITS = SizingLimits(backlog_s=0.8, idle_s=0.3, drain_grace_s=1.5)


class SizingHarness(SchedulingHarness):
    """A scheduler state with a pool sizer."""

    def __init__(self, *names: str) -> None:
        super().__init__(*(view(name) for name in names))
        self.sizer = PoolSizer(scheduler_state=self.scheduler_state, limits=LIMITS)

    def assess(self, *due: str, after_s: float = 0.0) -> PoolDemand:
        """Return the demand to publish, some time after the jobs' arrival."""
        return self.sizer.assess(frozenset(due), now_s=self.now_s, wall_s=WALL_S + after_s)

    def add_arrival(self, job_id: str, at_s: float, count: int) -> None:
        """Add an arriving job with a number of core-seconds."""
        wall_s = WALL_S + at_s
        self.add_job(job(job_id, step(count), accepted_s=wall_s), wall_s=wall_s)


class LackingTests(unittest.TestCase):
    def test_a_burst_requests_machines_at_once(self) -> None:
        """Guards against callers that wait while other pools are idle.

        12 core-seconds at a pool of 4 cores request machines for arriving and for waiting work.
        """
        harness = SizingHarness("a")
        for number in range(4):
            harness.add_job(job(f"j{number}", step(3)))
        harness.start_orders()
        self.assertEqual(5, harness.assess().lacking)

    def test_tasks_that_wait_for_isolation_request_machines(self) -> None:
        """Guards against late jobs that wait for isolation on a pool that requests no machines."""
        harness = SizingHarness("a", "b")
        lost = LostRun(
            run_id=1, incarnation=Incarnation(worker_id="z"), blame=Blame.SHARED, is_certain=True
        )
        for number in range(12):
            progress = JobProgress(queue="sweeps", lost={(0, 0, 0): (lost,)})
            harness.add_job(job(f"j{number}", step(1)), progress=progress)
        self.assertEqual(4, harness.assess(after_s=100.0).lacking)
        self.assertEqual(0, SizingHarness("a", "b").assess(after_s=100.0).lacking)

    def test_nothing_is_lacking_while_nothing_waits(self) -> None:
        """A full pool whose tasks all run needs no more machines."""
        harness = SizingHarness("a")
        harness.add_job(job("j", step(4)))
        harness.start_orders()
        self.assertEqual(0, harness.assess().lacking)

    def test_a_large_pool_requests_several_times_its_size(self) -> None:
        """Guards against a request limit sized for 30 machines while hundreds are idle elsewhere.

        60 workers of 4 cores get five times the work that they can do in a second.
        """
        harness = SizingHarness(*(f"w{number}" for number in range(60)))
        for number in range(100):
            harness.add_arrival(f"j{number}", at_s=number * 0.01, count=12)
        harness.start_orders()
        self.assertGreaterEqual(harness.assess(after_s=1.0).lacking, 240)

    def test_an_empty_pool_requests_one_machine(self) -> None:
        """A pool without machines requests one for any waiting task, however small."""
        harness = SizingHarness()
        harness.add_job(job("j", step(1, cpu_millicores=1)))
        self.assertEqual(1, harness.assess().lacking)


class BurstOnsetTests(unittest.TestCase):
    """Bursts in which a queue's demand rises at once to several times its pool's capacity."""

    def test_a_burst_is_requested_in_full_soon_after_its_start(self) -> None:
        """Guards against late jobs in a burst's first second, which delay all jobs behind them.

        3 core-seconds every 0.1 s need 30 cores; nearly all are requested after 0.4 s, not 1 s.
        """
        harness = SizingHarness("a")
        for number in range(5):
            harness.add_arrival(f"j{number}", at_s=number * 0.1, count=3)
        self.assertGreaterEqual(harness.assess(after_s=0.4).lacking, (30 - 4) // 4)

    def test_a_few_concurrent_jobs_are_not_a_burst(self) -> None:
        """The pool's own workers handle three jobs that arrive close together."""
        harness = SizingHarness("a", "b", "c", "d")
        for number in range(3):
            harness.add_arrival(f"j{number}", at_s=number * 0.1, count=3)
        harness.start_orders()
        self.assertEqual(0, harness.assess(after_s=0.3).lacking)

    def test_machines_are_lacking_while_all_tasks_run(self) -> None:
        """Guards against a burst that gets no more machines because for a moment no task waits."""
        harness = SizingHarness("a", "b")
        for number in range(8):
            harness.add_arrival(f"j{number}", at_s=number * 0.1, count=3)
        harness.start_orders()
        for worker_id in ("a", "b"):
            harness.worker(worker_id).view = view(worker_id, cpu_millicores=12_000)
        harness.start_orders()
        self.assertEqual([], [one for one in harness.scheduler_state.open_steps() if one.waiting])
        self.assertEqual(1, harness.assess(after_s=0.75).lacking)


class LateWorkTests(unittest.TestCase):
    def test_late_work_is_kept_off_recalled_workers(self) -> None:
        """Guards against a burst that fails while another queue's late jobs occupy lent machines.

        Late jobs start on the workers that are not recalled; jobs that can be on time use all.
        """
        harness = SizingHarness("a", "b")
        harness.sizer.restrict_late_work(1)
        harness.add_job(job("late", step(8), accepted_s=WALL_S - 60))
        self.assertEqual(1, len({order.run.worker_id for order in harness.start_orders()}))
        harness.add_job(job("in time", step(1)))
        self.assertEqual(["in time"], [order.run.name.job_id for order in harness.start_orders()])

    def test_nothing_is_borrowed_for_late_work(self) -> None:
        """No amount of late work makes a pool request machines."""
        harness = SizingHarness("a")
        harness.add_job(job("late", step(40), accepted_s=WALL_S - 60))
        harness.scheduler_state.arrivals.clear()
        self.assertEqual(0, harness.assess().lacking)


class OfferTests(unittest.TestCase):
    def test_idle_workers_are_offered_and_withdrawn(self) -> None:
        """An idle worker is offered, and gets tasks again once its offer is withdrawn.

        Lasting tasks are kept off it for a while, because an order to take it may be in flight.
        """
        harness = SizingHarness("a")
        self.assertEqual((), harness.assess().free)
        harness.now_s += 0.4
        self.assertEqual(("a",), harness.assess().free)
        harness.add_job(job("ends", step(1)))
        harness.add_job(job("lasts", step(1, is_lasting=True)))
        self.assertEqual([], harness.start_orders())
        self.assertTrue(harness.sizer.withdraw(harness.now_s, wall_s=WALL_S))
        self.assertEqual(["ends"], [order.run.name.job_id for order in harness.start_orders()])
        harness.now_s += 3.1
        self.assertEqual(["lasts"], [order.run.name.job_id for order in harness.start_orders()])

    def test_a_job_withdraws_only_the_offers_it_needs(self) -> None:
        """Guards against a burst that gets none of ten idle machines as a job just arrived.

        The job needs one machine, and three more are reserved with it.
        """
        harness = SizingHarness(*"abcdefghij")
        harness.assess()
        harness.now_s += 0.4
        self.assertEqual(10, len(harness.assess().free))
        harness.add_job(job("j", step(4)))
        self.assertEqual([], harness.start_orders())
        self.assertTrue(harness.sizer.withdraw(harness.now_s, wall_s=WALL_S))
        self.assertEqual(1, len({order.run.worker_id for order in harness.start_orders()}))
        self.assertFalse(harness.sizer.withdraw(harness.now_s, wall_s=WALL_S))
        harness.now_s += 0.1
        self.assertEqual(9, len(harness.assess().free))

    @parameterized.expand([("any", 0), ("one_a_worker", 1)])
    def test_workers_are_reserved_for_lasting_tasks_that_may_be_lost(
        self, _name: str, most_per_worker: int
    ) -> None:
        """Guards against a lasting task that is down for 10 s since all idle machines were offered.

        Once its worker is silent for 2 s, room for it and three more machines are reserved. A pool
        that keeps all of them for a task which is spread over workers fails the second case.
        """
        harness = SizingHarness(*"abcdefghij")
        harness.add_job(job("lasts", step(1, is_lasting=True, most_per_worker=most_per_worker)))
        (order,) = harness.start_orders()
        row = RunningTask(name=order.run.name, run_id=order.run.run_id, percent=100)
        harness.report(order.run.worker_id, running=(row,))
        harness.assess()
        harness.now_s += 2.1
        self.assertEqual(5, len(harness.assess().free))

    def test_a_waiting_step_that_is_spread_reserves_a_worker_for_each_task(self) -> None:
        """Guards against a burst elsewhere that gets nothing since one small spread job waits."""
        harness = SizingHarness(*"abcdefghij")
        harness.assess()
        harness.now_s += 0.4
        harness.add_job(job("j", step(3, most_per_worker=1)))
        self.assertEqual(4, len(harness.assess().free))

    def test_workers_that_late_work_is_kept_off_are_offered(self) -> None:
        """Guards against 40 recalled machines that idle for seconds during another queue's burst.

        None was offered while 1,000 late tasks waited, although late work is kept off them.
        """
        harness = SizingHarness(*"abcdefgh")
        late = job("late", step(4 * 20), accepted_s=WALL_S - 60.0)
        harness.sizer.restrict_late_work(5)
        harness.add_job(late)
        harness.start_orders()
        harness.assess()
        harness.now_s += 0.4
        self.assertEqual(5, len(harness.assess().free))
        self.assertFalse(harness.sizer.withdraw(harness.now_s, wall_s=WALL_S))

    def test_work_in_time_withdraws_offers_of_yielding_workers(self) -> None:
        """Guards against late jobs of a queue whose own machines were freed for another burst."""
        harness = SizingHarness(*"abcdefgh")
        harness.add_job(job("late", step(4 * 20), accepted_s=WALL_S - 60.0))
        harness.sizer.restrict_late_work(5)
        harness.start_orders()
        harness.assess()
        harness.now_s += 0.4
        harness.assess()
        harness.add_job(job("in time", step(8), accepted_s=WALL_S + 0.4))
        self.assertTrue(harness.sizer.withdraw(harness.now_s, wall_s=WALL_S + 0.4))
        started = [order for order in harness.start_orders() if order.run.name.job_id == "in time"]
        self.assertEqual(8, len(started))

    def test_tasks_with_placement_constraints_reserve_all_workers(self) -> None:
        """If more than capacity decides the placement, all workers are reserved for the tasks."""
        harness = SizingHarness(*"abcdef")
        harness.assess()
        harness.now_s += 0.4
        harness.add_job(job("j", step(1, label="big")))
        self.assertEqual((), harness.assess().free)

    def test_a_step_that_needs_advice_keeps_the_workers_that_were_not_refused(self) -> None:
        """Guards against lending the only workers that may run a waiting step."""
        harness = SizingHarness(*(f"w{number}" for number in range(8)))
        harness.assess()
        harness.now_s += 1.0
        self.assertEqual(8, len(harness.assess().free))
        harness.add_job(job("j", step(1), policy=policy(is_advised=True)))
        self.assertEqual((), harness.assess().free)
        advice = harness.scheduler_state.tracked_jobs["j"].steps[(0, 0)].advice
        asked = [harness.worker(f"w{number}").incarnation for number in range(6)]
        advice.note_answered(asked, {"w2": "t"}, valid_s=1.0, now_s=harness.now_s)
        self.assertEqual(("w0", "w1", "w3", "w4", "w5"), harness.assess().free)

    def test_late_work_that_needs_advice_does_not_keep_recalled_workers(self) -> None:
        """Guards against idle workers that are neither used for late work nor returned."""
        harness = SizingHarness("a", "b")
        harness.add_job(job("j", step(1), policy=policy(is_advised=True)))
        harness.sizer.restrict_late_work(1)
        harness.assess()
        harness.now_s += 1.0
        yielding = [name for name in "ab" if harness.worker(name).is_yielding]
        self.assertEqual(tuple(yielding), harness.assess(after_s=100.0).free)

    def test_busy_workers_are_not_offered(self) -> None:
        """A worker with a running task is not offered."""
        harness = SizingHarness("a", "b")
        harness.add_job(job("j", step(1)))
        run = harness.start_orders()[0].run
        harness.now_s += 0.4
        harness.assess()
        harness.now_s += 0.4
        self.assertNotIn(run.worker_id, harness.assess().free)


class DrainingTests(unittest.TestCase):
    def test_a_due_worker_is_offered_once_no_lasting_task_is_left(self) -> None:
        """Guards against maintenance that ends a lasting task or waits forever for tasks that end.

        A due worker gets no task; it is offered after the drain grace if no lasting task is left.
        """
        harness = SizingHarness("a")
        harness.add_job(job("s", step(1, is_lasting=True)))
        harness.add_job(job("j", step(1)))
        runs = {order.run.name.job_id: order.run for order in harness.start_orders()}
        self.assertEqual((), harness.assess("a").free)
        harness.add_job(job("new", step(1)))
        self.assertEqual([], harness.start_orders())
        harness.now_s += 2.0
        self.assertEqual((), harness.assess("a").free)
        ends = runs["j"]
        row = RunningTask(name=ends.name, run_id=ends.run_id, percent=10)
        gone = (runs["s"].name, runs["s"].run_id, EndKind.STOPPED)
        harness.report("a", running=(row,), ended=(gone,))
        self.assertEqual(("a",), harness.assess("a").free)
        self.assertEqual((), harness.assess().free)


if __name__ == "__main__":
    unittest.main()
