"""Lasting tasks run again soon after their worker was lost at the end of its scheduler."""

import asyncio
import unittest

from parameterized import parameterized

from shallotworks.jobs import TaskName
from shallotworks.scheduling import OrderStatus
from shallotworks.standins import TaskWorker
from tests.lasting_task_simulation import LastingTaskSimulation, lasting_step
from tests.virtual_clock import run_scenario

BACK_WITHIN_S = 6.0
"""A lasting task runs again within this time after its last run. Source: the users' rules."""
SETTLE_S = 5.0
JOB = "00000000000000a1"


RESTART_INTERVAL_S = 3.0
RESTARTS = 6


class RestartedWorkerTests(unittest.TestCase):
    def test_starts_of_an_unreachable_worker_do_not_extend_the_wait_for_it(self) -> None:
        """All earlier tasks wait for as long as a worker starts again that can't be reached.

        Each start that discovery listed began the successor's wait for the worker anew.
        """
        away_s, violations = run_scenario(_time_without_a_task_of_a_restarting_worker())
        self.assertEqual([], violations)
        self.assertLessEqual(away_s, BACK_WITHIN_S)


async def _time_without_a_task_of_a_restarting_worker() -> tuple[float, list[str]]:
    """Return how long a task is away that ends with the first start of its worker."""
    simulation = LastingTaskSimulation(seed=1)
    simulation.start()
    await simulation.submit(JOB, lasting_step(3))
    await asyncio.sleep(SETTLE_S)
    lost = next(one for one in simulation.fleet.workers.values() if one.names())
    names, worker_id = lost.names(), lost.view.worker_id
    await simulation.kill_scheduler()
    simulation.fleet.isolated.add(worker_id)
    await asyncio.sleep(RESTART_INTERVAL_S)
    restarting = asyncio.create_task(_restart_repeatedly(simulation, worker_id))
    away_s = await _time_until_back(simulation, names)
    restarting.cancel()
    await simulation.close()
    return away_s, simulation.all_violations()


async def _restart_repeatedly(simulation: LastingTaskSimulation, worker_id: str) -> None:
    for _ in range(RESTARTS):
        simulation._register(simulation.fleet.restart(worker_id))
        await asyncio.sleep(RESTART_INTERVAL_S)


class StoppedSchedulerTests(unittest.TestCase):
    @parameterized.expand(
        [
            (f"{absence.value}_{stops}", absence, stops)
            for absence in (OrderStatus.UNSENT, OrderStatus.UNANSWERED)
            for stops in (1, 2)
        ]
    )
    def test_a_successor_waits_for_a_lost_worker_until_its_lease_is_out(
        self, _name: str, absence: OrderStatus, stops: int
    ) -> None:
        """A lasting task is away for longer than its worker's lease, since its scheduler stopped.

        The successor waited for the longest lease that a scheduler could have granted.
        """
        away_s, violations = run_scenario(_time_without_a_task(absence, stops))
        self.assertEqual([], violations)
        self.assertLessEqual(away_s, BACK_WITHIN_S)


class KilledSchedulerTests(unittest.TestCase):
    def test_a_task_is_back_after_its_worker_and_scheduler_are_lost_at_once(self) -> None:
        """A lasting task is away until no lease can be left of a scheduler that was killed."""
        away_s, violations = run_scenario(_time_without_a_task(OrderStatus.UNANSWERED, None))
        self.assertEqual([], violations)
        self.assertLessEqual(away_s, BACK_WITHIN_S)


async def _time_without_a_task(absence: OrderStatus, stops: int | None) -> tuple[float, list[str]]:
    """Return how long tasks are away whose worker and schedulers end, and violations.

    Args:
        absence: Outcome of calls to the lost worker.
        stops: Number of schedulers that are stopped in turn; ``None`` to kill one.
    """
    simulation = LastingTaskSimulation(seed=1)
    simulation.start()
    await simulation.submit(JOB, lasting_step(3))
    await asyncio.sleep(SETTLE_S)
    lost = next(one for one in simulation.fleet.workers.values() if one.names())
    names = lost.names()
    simulation.fleet.outcomes_when_absent[lost.view.worker_id] = absence
    simulation.crash_worker(lost.view.worker_id)
    stopping = asyncio.create_task(
        simulation.kill_scheduler() if stops is None else _stop_schedulers(simulation, stops)
    )
    away_s = await _time_until_back(simulation, names)
    await stopping
    await simulation.close()
    return away_s, simulation.all_violations()


async def _stop_schedulers(simulation: LastingTaskSimulation, stops: int) -> None:
    for _ in range(stops):
        await simulation.stop_scheduler()
        await asyncio.sleep(1.0)


async def _time_until_back(simulation: LastingTaskSimulation, names: set[TaskName]) -> float:
    """Return how long it takes until some tasks run that are away."""
    loop = asyncio.get_running_loop()
    began_s = loop.time()
    await asyncio.sleep(0.05)
    while loop.time() - began_s < 4 * BACK_WITHIN_S and not names <= _running(simulation):
        await asyncio.sleep(0.05)
    return loop.time() - began_s


def _running(simulation: LastingTaskSimulation) -> set[TaskName]:
    workers: list[TaskWorker] = [one for one in simulation.fleet.workers.values() if one.is_alive]
    return {name for worker in workers for name in worker.names()}


if __name__ == "__main__":
    unittest.main()
