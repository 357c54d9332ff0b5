"""No lasting task is stopped to be moved while its scheduler may not start it again."""

import asyncio
import unittest

from shallotworks.jobs import TaskName
from shallotworks.scheduling import OrderStatus
from tests.lasting_task_simulation import MISSED_AFTER_S, LastingTaskSimulation, lasting_step
from tests.virtual_clock import run_scenario

JOB = "00000000000000a1"
MOVED_JOB = "00000000000000a2"
SETTLE_S = 6.0
OBSERVATION_S = 12.0
SAMPLE_S = 0.05


def host_of(simulation: LastingTaskSimulation, job_id: str, *, beside: str = "") -> str:
    """Return a live worker that runs a task of a job, and none of the job ``beside``."""
    for worker_id, worker in simulation.fleet.workers.items():
        jobs = {name.job_id for name in worker.names()}
        if worker.is_alive and job_id in jobs and beside not in jobs:
            return worker_id
    raise LookupError("no such worker")


async def measure_missed_s(simulation: LastingTaskSimulation, task: TaskName) -> float:
    """Return for how long at a stretch a task did not run."""
    longest_s = missed_s = 0.0
    for _ in range(int(OBSERVATION_S / SAMPLE_S)):
        await asyncio.sleep(SAMPLE_S)
        alive = [worker for worker in simulation.fleet.workers.values() if worker.is_alive]
        for worker in alive:
            worker.end_due_runs()
        is_running = any(task in worker.names() for worker in alive)
        missed_s = 0.0 if is_running else missed_s + SAMPLE_S
        longest_s = max(longest_s, missed_s)
    return longest_s


async def measure_move(*, is_recovering: bool) -> tuple[float, list[str]]:
    """Return how long a task was away when its worker was due for maintenance, and violations.

    Args:
        is_recovering: Whether the scheduler has just begun and awaits another worker, which is
            lost.
    """
    simulation = LastingTaskSimulation(workers=8)
    simulation.start()
    await simulation.submit(JOB, lasting_step(3))
    await simulation.submit(MOVED_JOB, lasting_step(1))
    await asyncio.sleep(SETTLE_S)
    host = host_of(simulation, MOVED_JOB)
    if is_recovering:
        lost = host_of(simulation, JOB, beside=MOVED_JOB)
        simulation.fleet.outcomes_when_absent[lost] = OrderStatus.UNSENT
        simulation.crash_worker(lost)
        await simulation.stop_scheduler()
        await asyncio.sleep(0.5)
    maintenance = asyncio.create_task(simulation.maintain_worker(host))
    missed_s = await measure_missed_s(simulation, TaskName(MOVED_JOB, 0, 0, 0))
    maintenance.cancel()
    await asyncio.gather(maintenance, return_exceptions=True)
    await simulation.close()
    return missed_s, simulation.all_violations()


class MoveTests(unittest.TestCase):
    def assert_moved_in_time(self, *, is_recovering: bool) -> None:
        """Assert that a move takes a task away for a short time only."""
        missed_s, violations = run_scenario(measure_move(is_recovering=is_recovering))
        self.assertEqual([], violations)
        self.assertLess(missed_s, MISSED_AFTER_S)

    def test_a_task_is_moved_at_once_by_a_recovered_scheduler(self) -> None:
        """A lasting task is away for seconds because its worker is due for maintenance."""
        self.assert_moved_in_time(is_recovering=False)

    def test_a_task_is_not_stopped_before_its_scheduler_has_recovered(self) -> None:
        """A scheduler that awaits a lost worker stops tasks elsewhere, and may not start them."""
        self.assert_moved_in_time(is_recovering=True)


if __name__ == "__main__":
    unittest.main()
