"""Tests of `shallotworks.scheduling.PoolSizer`: demand that comes by turns."""

import unittest

from shallotworks.scheduling import EndKind, PoolDemand, PoolSizer, RunningTask, SizingLimits
from tests.scheduling_fakes import WALL_S, SchedulingHarness, job, step, view

LIMITS = SizingLimits(backlog_s=0.8, idle_s=0.3, drain_grace_s=1.5)


class SizingHarness(SchedulingHarness):
    """A board with a sizer."""

    def __init__(self, *names: str) -> None:
        super().__init__(*(view(name) for name in names))
        self.sizer = PoolSizer(scheduler_state=self.scheduler_state, limits=LIMITS)

    def assess(self, *due: str, after_s: float = 0.0) -> PoolDemand:
        """Return what the keeper is told, some time after the jobs' arrival."""
        return self.sizer.assess(frozenset(due), now_s=self.now_s, wall_s=WALL_S + after_s)

    def add_arrival(self, job_id: str, at_s: float, count: int) -> None:
        """Let a job of so many core-seconds arrive."""
        wall_s = WALL_S + at_s
        self.add_job(job(job_id, step(count), accepted_s=wall_s), wall_s=wall_s)


class LackingTests(unittest.TestCase):
    def test_a_burst_requests_machines_at_once(self) -> None:
        """Callers of a queue's turn wait while other pools are idle.

        Within a moment twelve core-seconds arrive at a pool of four cores: it asks for machines at
        once, for what arrives and for what waits, not only when callers have waited for long.
        """
        harness = SizingHarness("a")
        for number in range(4):
            harness.add_job(job(f"j{number}", step(3)))
        harness.start_orders()
        self.assertEqual(5, harness.assess().lacking)

    def test_nothing_is_lacking_while_nothing_waits(self) -> None:
        """A full pool whose tasks all run needs no more."""
        harness = SizingHarness("a")
        harness.add_job(job("j", step(4)))
        harness.start_orders()
        self.assertEqual(0, harness.assess().lacking)

    def test_a_large_pool_requests_several_times_its_size(self) -> None:
        """A turn on a large pool waits for machines though hundreds are idle elsewhere.

        Sixty workers of four cores get in a second five times what they can work off. The most that
        was asked for at once was a number that suited thirty machines in all.
        """
        harness = SizingHarness(*(f"w{number}" for number in range(60)))
        for number in range(100):
            harness.add_arrival(f"j{number}", at_s=number * 0.01, count=12)
        harness.start_orders()
        self.assertGreaterEqual(harness.assess(after_s=1.0).lacking, 240)

    def test_an_empty_pool_requests_one_machine(self) -> None:
        """Whatever the size of its tasks."""
        harness = SizingHarness()
        harness.add_job(job("j", step(1, cpu_millicores=1)))
        self.assertEqual(1, harness.assess().lacking)


class BurstOnsetTests(unittest.TestCase):
    """A queue's turn: calm, and then several times what its pool holds, from one moment on."""

    def test_a_burst_is_requested_in_full_soon_after_its_start(self) -> None:
        """The first second of a turn is late, and with it all that waits behind it.

        Clips of three core-seconds come every tenth of a second, so the turn takes 30 cores. After
        0.4 s a pool of four is to ask for nearly all of them, not for what it has seen of a second.
        """
        harness = SizingHarness("a")
        for number in range(5):
            harness.add_arrival(f"j{number}", at_s=number * 0.1, count=3)
        self.assertGreaterEqual(harness.assess(after_s=0.4).lacking, (30 - 4) // 4)

    def test_a_few_concurrent_jobs_are_not_a_burst(self) -> None:
        """Three jobs that come close together are carried by the pool's own workers."""
        harness = SizingHarness("a", "b", "c", "d")
        for number in range(3):
            harness.add_arrival(f"j{number}", at_s=number * 0.1, count=3)
        harness.start_orders()
        self.assertEqual(0, harness.assess(after_s=0.3).lacking)

    def test_machines_are_lacking_while_all_tasks_run(self) -> None:
        """A turn stands still at the machines that came first, since for a moment nothing waits."""
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
        """A queue's turn is lost while late jobs of another keep its lent machines busy.

        Asked to give one worker back, the scheduler starts late jobs on the others only; jobs that
        can still be on time use all.
        """
        harness = SizingHarness("a", "b")
        harness.sizer.yield_some(1)
        harness.add_job(job("late", step(8), accepted_s=WALL_S - 60))
        self.assertEqual(1, len({order.run.worker_id for order in harness.start_orders()}))
        harness.add_job(job("in time", step(1)))
        self.assertEqual(["in time"], [order.run.name.job_id for order in harness.start_orders()])

    def test_nothing_is_borrowed_for_late_work(self) -> None:
        """However much of it waits."""
        harness = SizingHarness("a")
        harness.add_job(job("late", step(40), accepted_s=WALL_S - 60))
        harness.scheduler_state.arrivals.clear()
        self.assertEqual(0, harness.assess().lacking)


class OfferTests(unittest.TestCase):
    def test_idle_workers_are_offered_and_withdrawn(self) -> None:
        """A worker may be lent between turns, and serves again as soon as tasks wait.

        Lasting tasks are not placed on it for a while: an order to take it may be on its way.
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
        """A turn gets none of ten idle machines, as a job of another queue has just come.

        The job needs one machine; three more are kept beside it.
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

    def test_workers_are_reserved_for_lasting_tasks_that_may_be_lost(self) -> None:
        """A lasting task is down for 10 s, since all idle machines were offered as its worker died.

        Its worker has been silent for two seconds. Room for the task and three machines more are
        kept back, so that it has not to wait for offers that are taken back; the others are lent.
        """
        harness = SizingHarness(*"abcdefghij")
        harness.add_job(job("lasts", step(1, is_lasting=True)))
        (order,) = harness.start_orders()
        row = RunningTask(name=order.run.name, run_id=order.run.run_id, percent=100)
        harness.report(order.run.worker_id, running=(row,))
        harness.assess()
        harness.now_s += 2.1
        self.assertEqual(5, len(harness.assess().free))

    def test_workers_that_late_work_is_kept_off_are_offered(self) -> None:
        """Forty machines stand idle for seconds beside a thousand late tasks and another's turn.

        The keeper has asked for some of what the queue borrowed, so late work keeps off it; but as
        long as that work waited, no idle machine was offered.
        """
        harness = SizingHarness(*"abcdefgh")
        late = job("late", step(4 * 20), accepted_s=WALL_S - 60.0)
        harness.sizer.yield_some(5)
        harness.add_job(late)
        harness.start_orders()
        harness.assess()
        harness.now_s += 0.4
        self.assertEqual(5, len(harness.assess().free))
        self.assertFalse(harness.sizer.withdraw(harness.now_s, wall_s=WALL_S))

    def test_work_in_time_withdraws_offers_of_yielding_workers(self) -> None:
        """A queue's own callers are late, since its machines were given up for another's turn."""
        harness = SizingHarness(*"abcdefgh")
        harness.add_job(job("late", step(4 * 20), accepted_s=WALL_S - 60.0))
        harness.sizer.yield_some(5)
        harness.start_orders()
        harness.assess()
        harness.now_s += 0.4
        harness.assess()
        harness.add_job(job("in time", step(8), accepted_s=WALL_S + 0.4))
        self.assertTrue(harness.sizer.withdraw(harness.now_s, wall_s=WALL_S + 0.4))
        started = [order for order in harness.start_orders() if order.run.name.job_id == "in time"]
        self.assertEqual(8, len(started))

    def test_tasks_with_placement_constraints_reserve_all_workers(self) -> None:
        """Where more than room decides, no guess is made."""
        harness = SizingHarness(*"abcdef")
        harness.assess()
        harness.now_s += 0.4
        harness.add_job(job("j", step(1, label="big")))
        self.assertEqual((), harness.assess().free)

    def test_busy_workers_are_not_offered(self) -> None:
        """What runs is not taken away."""
        harness = SizingHarness("a", "b")
        harness.add_job(job("j", step(1)))
        run = harness.start_orders()[0].run
        harness.now_s += 0.4
        harness.assess()
        harness.now_s += 0.4
        self.assertNotIn(run.worker_id, harness.assess().free)


class DrainingTests(unittest.TestCase):
    def test_a_due_worker_is_offered_once_no_lasting_task_is_left(self) -> None:
        """Maintenance that ends a serving task, or waits for ever for tasks that end.

        A due worker takes nothing new. It is told to be free once its lasting tasks have moved
        away, and tasks that end have had their time.
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
