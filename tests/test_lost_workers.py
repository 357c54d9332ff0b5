"""Lasting tasks run again soon after their worker was lost, whatever is remembered of it."""

import asyncio
import unittest

from parameterized import parameterized

from shallotworks.jobs import Job
from shallotworks.scheduling import OrderStatus, OrderTimes, StartOrder
from shallotworks.standins import TaskWorker
from tests.lasting_task_simulation import LastingTaskSimulation, lasting_step
from tests.scheduling_fakes import WALL_S, SchedulingHarness, job, policy, step, view
from tests.scheduling_simulation import SERVICE
from tests.virtual_clock import run_scenario

BACK_WITHIN_S = 6.0
"""A lasting task runs again within this time after its last run. Source: the users' rules."""
SETTLE_S = 4.0
JOB = "00000000000000a1"
SHORT_TASKS = 4
SHORT_JOB_INTERVAL_S = 0.25


class LostWorkerTests(unittest.TestCase):
    @parameterized.expand(
        [
            ("refused", OrderStatus.UNSENT),
            ("unanswered", OrderStatus.UNANSWERED),
        ]
    )
    def test_orders_after_its_loss_do_not_extend_the_wait_for_a_worker(
        self, _name: str, absence: OrderStatus
    ) -> None:
        """A lasting task is not restarted while starts are sent to its worker, which is lost.

        Each start extended the lease that was remembered, though the worker never received it.
        """
        self.assertLessEqual(run_scenario(_time_without_a_task(absence)), BACK_WITHIN_S)

    @parameterized.expand([("short", 3.0, 2.5), ("usual", 6.0, 5.0), ("long", 10.0, 5.0)])
    def test_no_lease_is_longer_than_a_lasting_task_may_be_away(
        self, _name: str, longest_lease_s: float, lease_s: float
    ) -> None:
        """A task on a silent worker waits for its lease, which grew with what workers grant."""
        self.assertAlmostEqual(lease_s, OrderTimes.within(longest_lease_s).lease_s)


class EarlierLeaseTests(unittest.TestCase):
    def test_a_worker_that_answered_a_successor_is_waited_for_no_longer_than_one_lease(
        self,
    ) -> None:
        """A successor goes on to reckon with all leases that an epoch before it could have granted.

        The worker has answered it, and so refuses the orders of that epoch.
        """

        async def scenario() -> float:
            simulation = LastingTaskSimulation(seed=1, workers=4)
            simulation.start()
            await simulation.submit(JOB, lasting_step(2))
            await asyncio.sleep(SETTLE_S)
            lost = next(one for one in simulation.fleet.workers.values() if _lasting_tasks(one))
            await simulation.kill_scheduler()
            while not any(" recovery-over " in line for line in simulation.lines):
                await asyncio.sleep(0.05)
            return await _lose(simulation, lost, OrderStatus.UNANSWERED)

        self.assertLessEqual(run_scenario(scenario()), BACK_WITHIN_S)


class UnansweredPollTests(unittest.TestCase):
    def test_nothing_starts_at_a_worker_until_it_answers_a_poll(self) -> None:
        """Starts are sent every half second to a worker that answers nothing."""
        harness = SchedulingHarness(view("a"))
        harness.worker("a").has_answered_last_poll = False
        harness.add_job(job(JOB, step(1)))
        self.assertEqual([], _starts(harness))
        harness.report("a")
        self.assertEqual(1, len(_starts(harness)))

    def test_a_start_that_was_not_sent_leaves_no_lease_behind(self) -> None:
        """An idle worker is leased nothing more after a start that it never got, until its poll."""
        harness = SchedulingHarness(view("a"))
        harness.add_job(job(JOB, step(1)))
        (start,) = _starts(harness)
        worker = harness.worker("a")
        worker.leased_from_s = harness.now_s
        harness.scheduler_state.note_start_failed(start.run, harness.now_s)
        self.assertIsNone(worker.leased_from_s)

    def test_an_idle_worker_is_used_again_as_soon_as_it_answers(self) -> None:
        """A worker that was unreachable for a moment stays unused until its next idle poll."""

        async def scenario() -> float:
            simulation = LastingTaskSimulation(seed=1, workers=1)
            simulation.start()
            await asyncio.sleep(SETTLE_S)
            # Long enough for an idle poll to fail.
            await simulation.isolate_worker("w0", OrderTimes().idle_poll_s + 1.0)
            reachable_s = asyncio.get_running_loop().time()
            await _submit_short_job(simulation, 1)
            while not simulation.fleet.workers["w0"].names():
                await asyncio.sleep(0.05)
            await simulation.close()
            return asyncio.get_running_loop().time() - reachable_s

        self.assertLess(run_scenario(scenario()), OrderTimes().answer_overdue_s + 1.0)


def _starts(harness: SchedulingHarness) -> list[StartOrder]:
    decisions = harness.decision_engine.decide(now_s=harness.now_s, wall_s=WALL_S)
    return [one for one in decisions if isinstance(one, StartOrder)]


async def _time_without_a_task(absence: OrderStatus) -> float:
    """Return how long a lasting task is away whose worker is lost while short jobs arrive."""
    simulation = LastingTaskSimulation(seed=1, workers=4)
    simulation.start()
    await simulation.submit(JOB, lasting_step(2))
    await asyncio.sleep(SETTLE_S)
    short_jobs = asyncio.create_task(_submit_short_jobs(simulation))
    await asyncio.sleep(1.0)
    lost = next(one for one in simulation.fleet.workers.values() if _lasting_tasks(one))
    away_s = await _lose(simulation, lost, absence)
    short_jobs.cancel()
    return away_s


async def _lose(simulation: LastingTaskSimulation, lost: TaskWorker, absence: OrderStatus) -> float:
    """Lose a worker, whose entry stays in discovery; return how long its tasks are away."""
    names = _lasting_tasks(lost)
    simulation.fleet.outcomes_when_absent[lost.view.worker_id] = absence
    lost.crash()
    lost_s = asyncio.get_running_loop().time()
    away_s = 0.0
    while away_s < 4 * BACK_WITHIN_S and not names <= _running(simulation):
        await asyncio.sleep(0.05)
        away_s = asyncio.get_running_loop().time() - lost_s
    await simulation.close()
    return away_s


async def _submit_short_jobs(simulation: LastingTaskSimulation) -> None:
    number = 0
    while True:
        number += 1
        await _submit_short_job(simulation, number)
        await asyncio.sleep(SHORT_JOB_INTERVAL_S)


async def _submit_short_job(simulation: LastingTaskSimulation, number: int) -> None:
    instance = simulation.rng.choice(simulation.instances)
    short_job = Job(
        job_id=f"{number:016x}",
        policy=policy(service=SERVICE),
        spec="x",
        steps=(step(SHORT_TASKS, estimated_s=0.8),),
    )
    await instance.job_handler.submit(short_job, deadline_s=instance.now_s() + 1.5)


def _lasting_tasks(worker: TaskWorker) -> set[object]:
    return {name for name in worker.names() if name.job_id == JOB}


def _running(simulation: LastingTaskSimulation) -> set[object]:
    alive = [worker for worker in simulation.fleet.workers.values() if worker.is_alive]
    return {name for worker in alive for name in _lasting_tasks(worker)}


if __name__ == "__main__":
    unittest.main()
