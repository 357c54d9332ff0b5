"""A lasting task runs again though most idle workers of its pool are silent and stay listed."""

import asyncio
import unittest

from parameterized import parameterized

from shallotworks.scheduling import OrderStatus
from tests.lasting_task_simulation import LastingTaskSimulation, lasting_step
from tests.scheduling_fakes import job, step
from tests.test_pool_sizing import SizingHarness
from tests.virtual_clock import run_scenario

JOB = "00000000000000a1"
SETTLE_S = 8.0
BACK_WITHIN_S = 7.0
"""The lease of the lost worker, and the timeouts of a start and of a poll."""
OBSERVATION_S = 20.0


class SilentIdleWorkerTests(unittest.TestCase):
    @parameterized.expand([(silent,) for silent in range(1, 6)])
    def test_a_task_moves_to_the_idle_workers_that_answer(self, silent: int) -> None:
        """A lasting task waits for as long as idle workers are cut off, beside one that answers.

        The pool kept the silent ones for the task, and offered the other one to other pools.
        """
        away_s, violations = run_scenario(_time_without_a_task(silent))
        self.assertEqual([], violations)
        self.assertLessEqual(away_s, BACK_WITHIN_S)

    def test_a_start_on_an_idle_worker_that_fell_silent_does_not_hold_a_task_up(self) -> None:
        """A lasting task waits for the lease of a start on a worker whose last report is old."""
        away_s, violations = run_scenario(_time_without_a_task(1, after_s=3.0))
        self.assertEqual([], violations)
        self.assertLessEqual(away_s, BACK_WITHIN_S)

    def test_silent_workers_are_not_kept_in_place_of_those_that_answer(self) -> None:
        """All workers that answer are offered while a task waits, since silent ones are kept."""
        harness = SizingHarness(*"abcdefgh")
        harness.assess()
        harness.now_s += 1.0
        self.assertEqual(8, len(harness.assess().free))
        for name in "abcdef":
            harness.worker(name).has_answered_last_poll = False
        harness.add_job(job("lasts", step(1, is_lasting=True)))
        self.assertTrue({"g", "h"}.isdisjoint(harness.assess().free))


async def _time_without_a_task(silent: int, *, after_s: float = 0.0) -> tuple[float, list[str]]:
    """Return how long a task is away that loses its worker, and violations.

    Args:
        silent: Number of idle workers that are cut off.
        after_s: Time from the loss of the task's worker until then.
    """
    simulation = LastingTaskSimulation(seed=1, workers=7)
    simulation.start()
    await simulation.submit(JOB, lasting_step(1))
    await asyncio.sleep(SETTLE_S)
    workers = simulation.fleet.workers
    lost = next(one for one in workers.values() if one.names())
    idle = [worker_id for worker_id, one in workers.items() if one is not lost]
    simulation.fleet.outcomes_when_absent[lost.view.worker_id] = OrderStatus.UNANSWERED
    simulation.crash_worker(lost.view.worker_id)
    loop = asyncio.get_running_loop()
    lost_s = loop.time()
    await asyncio.sleep(after_s)
    simulation.fleet.isolated.update(idle[:silent])
    while loop.time() - lost_s < OBSERVATION_S:
        await asyncio.sleep(0.05)
        if any(one.names() for one in workers.values() if one.is_alive):
            break
    away_s = loop.time() - lost_s
    await simulation.close()
    return away_s, simulation.all_violations()


if __name__ == "__main__":
    unittest.main()
