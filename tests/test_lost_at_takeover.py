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


async def _time_without_a_task(absence: OrderStatus, stops: int) -> tuple[float, list[str]]:
    """Return how long tasks are away whose worker and schedulers end, and violations."""
    simulation = LastingTaskSimulation(seed=1)
    simulation.start()
    await simulation.submit(JOB, lasting_step(3))
    await asyncio.sleep(SETTLE_S)
    lost = next(one for one in simulation.fleet.workers.values() if one.names())
    names = lost.names()
    simulation.fleet.outcomes_when_absent[lost.view.worker_id] = absence
    loop = asyncio.get_running_loop()
    simulation.crash_worker(lost.view.worker_id)
    lost_s = loop.time()
    stopping = asyncio.create_task(_stop_schedulers(simulation, stops))
    while loop.time() - lost_s < 4 * BACK_WITHIN_S and not names <= _running(simulation):
        await asyncio.sleep(0.05)
    away_s = loop.time() - lost_s
    await stopping
    await simulation.close()
    return away_s, simulation.all_violations()


async def _stop_schedulers(simulation: LastingTaskSimulation, stops: int) -> None:
    for _ in range(stops):
        await simulation.stop_scheduler()
        await asyncio.sleep(1.0)


def _running(simulation: LastingTaskSimulation) -> set[TaskName]:
    workers: list[TaskWorker] = [one for one in simulation.fleet.workers.values() if one.is_alive]
    return {name for worker in workers for name in worker.names()}


if __name__ == "__main__":
    unittest.main()
